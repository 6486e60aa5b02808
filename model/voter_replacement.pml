/* A voter loses its disk and comes back. Its new disk is a new identity, which
 * joins as a learner and votes once it holds the log; then the old identity
 * goes. A committed entry must be in the log of every later leader.
 * Nodes: 0 to 2 are the first voters, 3 is the new identity of node 0. */

#define N 4

bool holds[N];        /* the committed entry is in the node's log */
bool alive[N];
byte voters = 7;      /* bit set of the group in force */
bool learner;         /* node 3 receives the log */
bool is_committed;
bool lost;            /* node 0 lost its disk */
byte killed;          /* further VMs lost */

#define VOTER(n) ((voters >> n) & 1)
#define BIT(n, c) ((c) -> (1 << n) : 0)

inline count(set, size, result) {
  result = ((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) +
           (((set) >> 3) & 1);
  size = (voters & 1) + ((voters >> 1) & 1) + ((voters >> 2) & 1) +
         ((voters >> 3) & 1)
}

/* A candidate gets the votes of live voters whose log is no longer than its
 * own. */
inline elect(c) {
  set = 0;
  i = 0;
  do
  :: i < N ->
     if
     :: VOTER(i) && alive[i] && (holds[c] || !holds[i]) -> set = set | (1 << i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  count(set, size, have);
  if
  :: have * 2 > size -> assert(!is_committed || holds[c])
  :: else
  fi
}

inline try_commit() {
  set = BIT(0, holds[0] && alive[0] && VOTER(0)) |
        BIT(1, holds[1] && alive[1] && VOTER(1)) |
        BIT(2, holds[2] && alive[2] && VOTER(2)) |
        BIT(3, holds[3] && alive[3] && VOTER(3));
  count(set, size, have);
  if
  :: have * 2 > size -> is_committed = true
  :: else
  fi
}

active proctype group() {
  byte i;
  byte set;
  byte size;
  byte have;
  byte n;
  alive[0] = true; alive[1] = true; alive[2] = true;
  do
  :: atomic {
       select(n : 0 .. 3);
       if
       /* The entry spreads from a node that holds it; node 1 writes it. */
       :: n == 1 && alive[1] && !holds[1] -> holds[1] = true
       :: alive[n] && !holds[n] && VOTER(n) && holds[1] && alive[1] ->
          holds[n] = true
       :: learner && !holds[3] && alive[3] && holds[1] && alive[1] ->
          holds[3] = true
       :: try_commit()
       :: !lost -> lost = true; alive[0] = false; holds[0] = false
#ifdef MUTATION_SAME_IDENTITY
       :: lost && !alive[0] -> alive[0] = true
#else
       :: lost && !learner && !VOTER(3) -> learner = true; alive[3] = true
       /* The group's change is itself an entry behind the committed one, so a
        * majority that holds it holds everything before it. */
       :: learner && (holds[3] || !is_committed) ->
          learner = false; voters = voters | 8
       :: VOTER(3) && VOTER(0) && (holds[3] || !is_committed) ->
          voters = voters & 14
#endif
       :: killed == 0 && alive[n] && n != 3 && n != 1 -> alive[n] = false;
          killed++
       :: VOTER(n) && alive[n] -> elect(n)
       fi;
       i = 0; set = 0; size = 0; have = 0; n = 0
     }
  od
}
