/* Leader election and the log: votes are durable, a leader commits by counting
 * only entries of its own term. Three nodes, at most MAXTERM terms and MAXLOG
 * entries; a message and its answer are one step, and any of them may be lost,
 * which is a step that does not happen. */

#define N 3
#ifndef MAXTERM
#define MAXTERM 3
#define MAXLOG 2
#endif

typedef node_state {
  byte term;
  byte voted;          /* 0: nobody, else node + 1 */
  bool leads;
  byte length;
  byte log[MAXLOG];    /* the term of each entry */
  byte votes;          /* bit set of voters, while campaigning */
  byte match[N];       /* as a leader: what each node is known to hold */
};

node_state s[N];
byte leader_of[MAXTERM + 1];   /* node + 1 that led the term */
byte committed[MAXLOG];        /* the term of each committed entry */
byte committed_in[MAXLOG];     /* the term of the leader that committed it */

#define LAST(n) (s[n].length == 0 -> 0 : s[n].log[s[n].length - 1])
#define UP_TO_DATE(c, v) \
  (LAST(c) > LAST(v) || (LAST(c) == LAST(v) && s[c].length >= s[v].length))
/* The newest entry is the leader's own and on a majority. */
#ifdef MUTATION_COMMIT_OLD_TERM
#define COMMIT_RULE(l) true
#else
#define COMMIT_RULE(l) \
  (s[l].log[s[l].length - 1] == s[l].term && \
   (s[l].match[(l + 1) % N] >= s[l].length || \
    s[l].match[(l + 2) % N] >= s[l].length))
#endif
#define TWO(b) (b == 3 || b == 5 || b == 6 || b == 7)

inline check_leader(n) {
  assert(leader_of[s[n].term] == 0 || leader_of[s[n].term] == n + 1);
  leader_of[s[n].term] = n + 1;
  i = 0;
  do
  :: i < MAXLOG ->
     /* A leader of a later term holds it; a late winner of an earlier term
      * need not. */
     assert(committed[i] == 0 || committed_in[i] >= s[n].term ||
            (s[n].length > i && s[n].log[i] == committed[i]));
     i++
  :: else -> break
  od
}

inline campaign(n) {
  s[n].term++;
  s[n].voted = n + 1;
  s[n].votes = 1 << n;
  s[n].leads = false
}

inline vote(c, v) {
  if
  :: s[v].term < s[c].term ->
     s[v].term = s[c].term; s[v].voted = 0; s[v].leads = false; s[v].votes = 0
  :: else
  fi;
  if
  :: (s[v].voted == 0 || s[v].voted == c + 1) && UP_TO_DATE(c, v) ->
     s[v].voted = c + 1;
     s[c].votes = s[c].votes | (1 << v)
  :: else
  fi
}

inline win(n) {
  s[n].leads = true;
  s[n].votes = 0;
  s[n].match[0] = 0; s[n].match[1] = 0; s[n].match[2] = 0;
  check_leader(n)
}

inline replicate(l, f) {
  s[f].term = s[l].term;
  s[f].leads = false;
  s[f].votes = 0;
  /* The whole log is sent; entries that agree stay as they are. */
  i = 0;
  do
  :: i < s[l].length -> s[f].log[i] = s[l].log[i]; i++
  :: else -> break
  od;
  s[f].length = s[l].length;
  do
  :: i < MAXLOG -> s[f].log[i] = 0; i++
  :: else -> break
  od;
  s[l].match[f] = s[l].length
}

inline commit(l) {
  i = 0;
  do
  :: i < s[l].length ->
     if
     :: (s[l].match[(l + 1) % N] > i || s[l].match[(l + 2) % N] > i) &&
        COMMIT_RULE(l) ->
        assert(committed[i] == 0 || committed[i] == s[l].log[i]);
        if
        :: committed[i] == 0 -> committed_in[i] = s[l].term
        :: else
        fi;
        committed[i] = s[l].log[i]
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline restart(n) {
  s[n].leads = false;
  s[n].votes = 0;
#ifdef MUTATION_VOTE_NOT_DURABLE
  s[n].voted = 0
#endif
}

active proctype group() {
  byte i;
  byte n;
  byte m;
  do
  :: atomic {
       select(n : 0 .. 2); select(m : 0 .. 2);
       if
       :: s[n].term < MAXTERM && !s[n].leads -> campaign(n)
       :: n != m && s[n].votes != 0 && s[m].term <= s[n].term -> vote(n, m)
       :: TWO(s[n].votes) && !s[n].leads -> win(n)
       :: s[n].leads && s[n].length < MAXLOG ->
          s[n].log[s[n].length] = s[n].term; s[n].length++
       :: n != m && s[n].leads && s[m].term <= s[n].term -> replicate(n, m)
       :: s[n].leads && s[n].length > 0 -> commit(n)
       :: restart(n)
       fi;
       i = 0; n = 0; m = 0
     }
  od
}
