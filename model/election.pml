/* Leader election and log replication. Votes are durable, and a leader commits
 * by counting replicas only of entries of its own term. Three nodes, at most
 * MAXTERM terms and MAXLOG entries. A message and its reply are one step; a lost
 * message is a step that is not taken. */

#define N 3
#ifndef MAXTERM
#define MAXTERM 3
#define MAXLOG 2
#endif

typedef node_state {
  byte term;
  byte voted;          /* 0: no vote, else node + 1 */
  bool is_leader;
  byte length;
  byte log[MAXLOG];    /* the term of each entry */
  byte votes;          /* bit set of votes received as a candidate */
  byte match[N];       /* as a leader: replicated length per node */
};

node_state s[N];
byte leader_of[MAXTERM + 1];   /* node + 1 of the term's leader, or 0 */
byte committed[MAXLOG];        /* the term of each committed entry */
byte committed_in[MAXLOG];     /* the term of the leader that committed it */

#define LAST(n) (s[n].length == 0 -> 0 : s[n].log[s[n].length - 1])
#define UP_TO_DATE(c, v) \
  (LAST(c) > LAST(v) || (LAST(c) == LAST(v) && s[c].length >= s[v].length))
/* The last entry is of the leader's own term and on a majority. */
#ifdef MUTATION_COMMIT_OLD_TERM
#define COMMIT_RULE(l) true
#else
#define COMMIT_RULE(l) \
  (s[l].log[s[l].length - 1] == s[l].term && \
   (s[l].match[(l + 1) % N] >= s[l].length || \
    s[l].match[(l + 2) % N] >= s[l].length))
#endif
#define IS_MAJORITY(b) (b == 3 || b == 5 || b == 6 || b == 7)

inline check_leader(n) {
  assert(leader_of[s[n].term] == 0 || leader_of[s[n].term] == n + 1);
  leader_of[s[n].term] = n + 1;
  i = 0;
  do
  :: i < MAXLOG ->
     /* A leader of a later term has the entry. A candidate that wins an earlier
      * term late may lack it. */
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
  s[n].is_leader = false
}

inline vote(c, v) {
  if
  :: s[v].term < s[c].term ->
     s[v].term = s[c].term; s[v].voted = 0; s[v].is_leader = false; s[v].votes = 0
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
  s[n].is_leader = true;
  s[n].votes = 0;
  s[n].match[0] = 0; s[n].match[1] = 0; s[n].match[2] = 0;
  check_leader(n)
}

inline replicate(l, f) {
  s[f].term = s[l].term;
  s[f].is_leader = false;
  s[f].votes = 0;
  /* Sends the whole log; equal entries are overwritten by themselves. */
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
  s[n].is_leader = false;
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
       :: s[n].term < MAXTERM && !s[n].is_leader -> campaign(n)
       :: n != m && s[n].votes != 0 && s[m].term <= s[n].term -> vote(n, m)
       :: IS_MAJORITY(s[n].votes) && !s[n].is_leader -> win(n)
       :: s[n].is_leader && s[n].length < MAXLOG ->
          s[n].log[s[n].length] = s[n].term; s[n].length++
       :: n != m && s[n].is_leader && s[m].term <= s[n].term -> replicate(n, m)
       :: s[n].is_leader && s[n].length > 0 -> commit(n)
       :: restart(n)
       fi;
       i = 0; n = 0; m = 0
     }
  od
}
