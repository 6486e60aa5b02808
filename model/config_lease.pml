/* Configuration leases of the entries. An entry uses its configuration while it
 * has a lease, granted by the leader or by a majority of the entries, which
 * confirm that they have no newer configuration. A change is accepted once a
 * majority of the entries have it, and in force once every lease that began
 * before the acceptance has expired. A restarted entry is blank until the leader
 * answers its poll. The model covers one change, from version 0 to 1. */

#define N 3

/* State of a lease or a confirmation round: none, begun before the change was
 * accepted, or begun after it. */
#define NONE 0
#define BEFORE 1
#define AFTER 2

bool has_new[N];
bool is_blank[N];
byte lease[N];           /* the entry uses its configuration while not NONE */
byte round[N];           /* the open confirmation round */
bool committed;
bool accepted;
bool in_force;
byte acked;              /* bit set of entries that reported the change */
byte restarts;

#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))
#define MAJORITY(b) (COUNT(b) >= 2)
#define NOW (accepted -> AFTER : BEFORE)

#ifdef MUTATION_ACCEPT_WITHOUT_ENTRIES
#define ACCEPTANCE_RULE (acked != 0)
#else
#define ACCEPTANCE_RULE MAJORITY(acked)
#endif
#ifdef MUTATION_BLANK_CONFIRMS
#define MAY_CONFIRM(m) true
#else
#define MAY_CONFIRM(m) (!is_blank[m])
#endif

inline check() {
  i = 0;
  do
  :: i < N ->
     assert(!(in_force && lease[i] != NONE && !has_new[i]));
     i++
  :: else -> break
  od
}

/* Waits until every lease that began before the acceptance has expired.
 * Replies to rounds that began before it arrive too late to renew a lease. */
inline wait_for_leases() {
#ifndef MUTATION_NO_WAIT
  i = 0;
  do
  :: i < N ->
     if :: lease[i] == BEFORE -> lease[i] = NONE :: else fi;
     if :: round[i] == BEFORE -> round[i] = NONE :: else fi;
     i++
  :: else -> break
  od
#else
  skip
#endif
}

active proctype system() {
  byte n;
  byte m;
  byte i;
  do
  :: atomic {
       select(n : 0 .. 2); select(m : 0 .. 2);
       if
       :: !committed -> committed = true
       /* The leader, if any, answers a poll with the state and a lease. */
       :: has_new[n] = has_new[n] || committed;
          is_blank[n] = false;
          lease[n] = NOW
       :: has_new[n] && committed -> acked = acked | (1 << n)
       :: committed && !accepted && ACCEPTANCE_RULE -> accepted = true
       :: accepted && !in_force -> wait_for_leases(); in_force = true
       :: lease[n] != NONE -> lease[n] = NONE
       :: !is_blank[n] && round[n] == NONE -> round[n] = NOW
       /* Of three entries, the requester and one peer are a majority. */
       :: round[n] != NONE && n != m && MAY_CONFIRM(m) ->
          has_new[n] = has_new[n] || has_new[m];
          lease[n] = round[n];
          round[n] = NONE
       :: restarts < 2 ->
          restarts++;
          has_new[n] = false; is_blank[n] = true;
          lease[n] = NONE; round[n] = NONE
       fi;
       n = 0; m = 0; i = 0;
       check();
       i = 0
     }
  od
}
