/* The configuration at the entries. An entry acts on what it holds while it has
 * a lease, from the leader or from a majority of the entries that confirm to
 * hold nothing newer. A change is accepted once a majority of the entries hold
 * it, and in force once every lease that began before has ended. A restarted
 * entry is blank until the leader serves it. One change from 0 to 1. */

#define N 3

/* A lease, or a round of confirmations: none, begun before the acceptance of
 * the change, or after it. */
#define NONE 0
#define BEFORE 1
#define AFTER 2

bool holds_new[N];
bool is_blank[N];
byte lease[N];           /* with one, the entry acts on what it holds */
byte round[N];           /* an open round of confirmations */
bool committed;
bool accepted;
bool in_force;
byte acked;              /* entries that the leader knows to hold the change */
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
     assert(!(in_force && lease[i] != NONE && !holds_new[i]));
     i++
  :: else -> break
  od
}

/* Every lease that began before the acceptance has ended, and answers to rounds
 * that began before it come too late to give one. */
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

active proctype world() {
  byte n;
  byte m;
  byte i;
  do
  :: atomic {
       select(n : 0 .. 2); select(m : 0 .. 2);
       if
       :: !committed -> committed = true
       /* The leader, if there is one, serves a poll: the state, and a lease. */
       :: holds_new[n] = holds_new[n] || committed;
          is_blank[n] = false;
          lease[n] = NOW
       :: holds_new[n] && committed -> acked = acked | (1 << n)
       :: committed && !accepted && ACCEPTANCE_RULE -> accepted = true
       :: accepted && !in_force -> wait_for_leases(); in_force = true
       :: lease[n] != NONE -> lease[n] = NONE
       :: !is_blank[n] && round[n] == NONE -> round[n] = NOW
       /* With three entries the asker and one other are a majority. */
       :: round[n] != NONE && n != m && MAY_CONFIRM(m) ->
          holds_new[n] = holds_new[n] || holds_new[m];
          lease[n] = round[n];
          round[n] = NONE
       :: restarts < 2 ->
          restarts++;
          holds_new[n] = false; is_blank[n] = true;
          lease[n] = NONE; round[n] = NONE
       fi;
       n = 0; m = 0; i = 0;
       check();
       i = 0
     }
  od
}
