/* A voter restarts after it lost its disk. The new disk has a new identity,
 * which joins as a learner and becomes a voter once it has the log; then the old
 * identity is removed. A committed entry must be in the log of every later
 * leader. Nodes 0 to 2 are the initial voters, 3 is the new identity of node
 * 0. */

#define N 4

bool has_entry[N];    /* the committed entry is in the node's log */
bool is_up[N];
byte voters = 7;      /* bit set of the current voters */
bool is_learner;      /* node 3 receives the log */
bool is_committed;
bool is_disk_lost;    /* node 0 lost its disk */
byte stopped;         /* nodes stopped in addition */

#define VOTER(n) ((voters >> n) & 1)
#define BIT(n, c) ((c) -> (1 << n) : 0)

/* Sets `result` to the number of nodes in `set`, `size` to that of voters. */
inline count(set, size, result) {
  result = ((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) +
           (((set) >> 3) & 1);
  size = (voters & 1) + ((voters >> 1) & 1) + ((voters >> 2) & 1) +
         ((voters >> 3) & 1)
}

/* A candidate receives the votes of running voters whose log is not longer
 * than its own. */
inline elect(c) {
  set = 0;
  i = 0;
  do
  :: i < N ->
     if
     :: VOTER(i) && is_up[i] && (has_entry[c] || !has_entry[i]) ->
        set = set | (1 << i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  count(set, size, matching);
  if
  :: matching * 2 > size -> assert(!is_committed || has_entry[c])
  :: else
  fi
}

inline try_commit() {
  set = BIT(0, has_entry[0] && is_up[0] && VOTER(0)) |
        BIT(1, has_entry[1] && is_up[1] && VOTER(1)) |
        BIT(2, has_entry[2] && is_up[2] && VOTER(2)) |
        BIT(3, has_entry[3] && is_up[3] && VOTER(3));
  count(set, size, matching);
  if
  :: matching * 2 > size -> is_committed = true
  :: else
  fi
}

active proctype group() {
  byte i;
  byte set;
  byte size;
  byte matching;
  byte n;
  is_up[0] = true; is_up[1] = true; is_up[2] = true;
  do
  :: atomic {
       select(n : 0 .. 3);
       if
       /* Node 1 appends the entry and replicates it to the other nodes. */
       :: n == 1 && is_up[1] && !has_entry[1] -> has_entry[1] = true
       :: is_up[n] && !has_entry[n] && VOTER(n) && has_entry[1] && is_up[1] ->
          has_entry[n] = true
       :: is_learner && !has_entry[3] && is_up[3] && has_entry[1] && is_up[1] ->
          has_entry[3] = true
       :: try_commit()
       :: !is_disk_lost ->
          is_disk_lost = true; is_up[0] = false; has_entry[0] = false
#ifdef MUTATION_SAME_IDENTITY
       :: is_disk_lost && !is_up[0] -> is_up[0] = true
#else
       :: is_disk_lost && !is_learner && !VOTER(3) ->
          is_learner = true; is_up[3] = true
       /* The membership change is a log entry after the committed one, so a
        * majority that has the change has every entry before it. */
       :: is_learner && (has_entry[3] || !is_committed) ->
          is_learner = false; voters = voters | 8
       :: VOTER(3) && VOTER(0) && (has_entry[3] || !is_committed) ->
          voters = voters & 14
#endif
       :: stopped == 0 && is_up[n] && n != 3 && n != 1 -> is_up[n] = false;
          stopped++
       :: VOTER(n) && is_up[n] -> elect(n)
       fi;
       i = 0; set = 0; size = 0; matching = 0; n = 0
     }
  od
}
