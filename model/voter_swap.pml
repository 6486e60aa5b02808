/* A voter is replaced by a node of another VM: first both sets of voters have to
 * agree, then only the new one. Nodes 0 to 2 are the voters, 3 takes the place of
 * 2. Any node may be cut off or frozen at any time: an action takes place between
 * the nodes that it happens to reach. Node 2 and its successor may be gone for
 * good, or, while both may return, the disk of node 1 may be lost.
 *
 * Never: two leaders of a term, a committed entry that a later leader lacks, or a
 * state in which the nodes that are left have no quorum. */

#define N 4
#ifndef MAXTERM
#define MAXTERM 3
#endif
#define MAXLOG 5

#define BARRIER 0
#define BEGIN 1   /* both sets of voters have to agree from here on */
#define END 2     /* only the new set */
#define UNDO 3    /* only the old set again */

typedef node_log {
  byte term[MAXLOG];
  byte kind[MAXLOG];
  byte size
};

node_log logs[N];
node_log committed;
byte terms[N];
bool leads[N];
bool gone[N];

#ifdef MUTATION_LEARNER_AHEAD
#define SENDS_ALL true
#else
#define SENDS_ALL false
#endif

#define HAS(set, n) (((set) >> (n)) & 1)
#define COUNT3(set, a, b, c) (HAS(set, a) + HAS(set, b) + HAS(set, c))
#define OLD_AGREES(set) (COUNT3(set, 0, 1, 2) >= 2)
#define NEW_AGREES(set) (COUNT3(set, 0, 1, 3) >= 2)

/* A quorum of the membership after an entry of this kind. */
#if defined(MUTATION_ADD_FIRST)
#define MIDDLE_AGREES(set) (COUNT3(set, 0, 1, 2) + HAS(set, 3) >= 3)
#define MIDDLE_VOTER(n) true
#elif defined(MUTATION_REMOVE_FIRST)
#define MIDDLE_AGREES(set) (HAS(set, 0) && HAS(set, 1))
#define MIDDLE_VOTER(n) ((n) < 2)
#elif defined(MUTATION_NEW_SET_DECIDES)
#define MIDDLE_AGREES(set) NEW_AGREES(set)
#define MIDDLE_VOTER(n) ((n) != 2)
#else
#define MIDDLE_AGREES(set) (OLD_AGREES(set) && NEW_AGREES(set))
#define MIDDLE_VOTER(n) true
#endif
#define AGREES(kind, set) \
  ((((kind) == BARRIER || (kind) == UNDO) && OLD_AGREES(set)) || \
   ((kind) == BEGIN && MIDDLE_AGREES(set)) || \
   ((kind) == END && NEW_AGREES(set)))
#define IS_VOTER(kind, n) \
  ((((kind) == BARRIER || (kind) == UNDO) && (n) != 3) || \
   ((kind) == BEGIN && MIDDLE_VOTER(n)) || \
   ((kind) == END && (n) != 2))

#define LAST_TERM(n) (logs[n].size == 0 -> 0 : logs[n].term[logs[n].size - 1])
#define UP_TO_DATE(c, n) \
  (LAST_TERM(c) > LAST_TERM(n) || \
   (LAST_TERM(c) == LAST_TERM(n) && logs[c].size >= logs[n].size))

/* Whether node `c` has the committed entries. */
#define KNOWS_COMMITTED(c) \
  (committed.size <= logs[c].size && \
   (committed.size == 0 || logs[c].term[committed.size - 1] == \
                               committed.term[committed.size - 1]))

byte i;
byte n;
byte c;
byte set;
byte state;
byte other;
bool is_same;

/* Sets `state` to the membership that node `x` goes by: that of its log. */
inline find_state(x) {
  state = BARRIER;
  i = 0;
  do
  :: i < logs[x].size ->
     if
     :: logs[x].kind[i] != BARRIER -> state = logs[x].kind[i]
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline copy_log(from, to) {
  i = 0;
  do
  :: i < MAXLOG ->
     to.term[i] = from.term[i];
     to.kind[i] = from.kind[i];
     i++
  :: else -> break
  od;
  to.size = from.size
}

inline append(x, what) {
  logs[x].term[logs[x].size] = terms[x];
  logs[x].kind[logs[x].size] = what;
  logs[x].size = logs[x].size + 1
}

/* Fails unless node `x` has all committed entries. */
inline check_has_committed(x) {
  assert(logs[x].size >= committed.size);
  i = 0;
  do
  :: i < committed.size ->
     assert(logs[x].term[i] == committed.term[i]);
     i++
  :: else -> break
  od
}

/* The node asks for votes. Any of the others may be out of reach. */
inline elect() {
  find_state(c);
  if
  :: IS_VOTER(state, c) && terms[c] < MAXTERM && logs[c].size < MAXLOG ->
     terms[c] = terms[c] + 1;
     leads[c] = false;
     set = 1 << c;
     n = 0;
     do
     :: n < N ->
        if
        :: n != c && !gone[n] && terms[n] < terms[c] && UP_TO_DATE(c, n) ->
           terms[n] = terms[c]; leads[n] = false; set = set | (1 << n)
        :: true
        fi;
        n++
     :: else -> break
     od;
     if
     :: AGREES(state, set) ->
        n = 0;
        do
        :: n < N -> assert(!(leads[n] && terms[n] == terms[c])); n++
        :: else -> break
        od;
        check_has_committed(c);
        leads[c] = true;
        append(c, BARRIER)
     :: else
     fi
  :: else
  fi
}

/* A leader changes the membership once all its entries are committed, of which
 * the last one is of its own term. Node 2 does not remove itself. */
inline change() {
  find_state(c);
  if
  :: leads[c] && logs[c].size < MAXLOG && committed.size == logs[c].size &&
     KNOWS_COMMITTED(c) && LAST_TERM(c) == terms[c] ->
     if
     :: state == BARRIER || state == UNDO -> append(c, BEGIN)
     :: state == BEGIN && c != 2 -> append(c, END)
     :: state == BEGIN && c != 3 -> append(c, UNDO)
     :: else
     fi
  :: else
  fi
}

/* A leader sends its log to the voters that it goes by, and committed entries to
 * other nodes: with a longer log, these would not vote for the others. */
inline replicate() {
  find_state(c);
  if
  :: leads[c] && n != c && !gone[n] && terms[n] <= terms[c] ->
     if :: terms[n] < terms[c] -> leads[n] = false :: else fi;
     terms[n] = terms[c];
     if
     :: IS_VOTER(state, n) || SENDS_ALL -> copy_log(logs[c], logs[n])
     :: else ->
        if
        :: KNOWS_COMMITTED(c) && logs[n].size < committed.size -> copy_log(committed, logs[n])
        :: else
        fi
     fi
  :: else
  fi
}

/* Commits the last entry of a leader that enough nodes have. */
inline commit() {
  find_state(c);
  if
  :: leads[c] && LAST_TERM(c) == terms[c] ->
     set = 0;
     n = 0;
     do
     :: n < N ->
        is_same = !gone[n] && logs[n].size >= logs[c].size;
        if
        :: is_same ->
           is_same = logs[n].term[logs[c].size - 1] == terms[c]
        :: else
        fi;
        if :: is_same -> set = set | (1 << n) :: else fi;
        n++
     :: else -> break
     od;
     if
     :: AGREES(state, set) && logs[c].size > committed.size ->
        check_has_committed(c);
        copy_log(logs[c], committed)
     :: else
     fi
  :: else
  fi
}

/* Fails unless some node that is left can be elected by those that are left. */
inline check_not_stuck() {
  set = 0;
  c = 0;
  do
  :: c < N ->
     if
     :: !gone[c] ->
        find_state(c);
        other = 0;
        n = 0;
        do
        :: n < N ->
           if
           :: !gone[n] && UP_TO_DATE(c, n) -> other = other | (1 << n)
           :: else
           fi;
           n++
        :: else -> break
        od;
        if
        :: IS_VOTER(state, c) && AGREES(state, other) -> set = 1
        :: else
        fi
     :: else
     fi;
     c++
  :: else -> break
  od;
  assert(set == 1)
}

inline clear() {
  i = 0; n = 0; c = 0; set = 0; state = 0; other = 0; is_same = false
}

active proctype group() {
  do
  :: atomic {
       select(c : 0 .. 3);
       if
       :: !gone[c] ->
          if
          :: elect()
          :: change()
          :: select(n : 0 .. 3); replicate()
          :: commit()
          fi
       :: else
       fi;
       clear()
     }
  :: atomic {
       !gone[1] ->
       if
       :: !gone[2] -> gone[2] = true; leads[2] = false
       :: !gone[3] -> gone[3] = true; leads[3] = false
       :: else
       fi;
       check_not_stuck();
       clear()
     }
  :: atomic {
       !gone[1] && !gone[2] && !gone[3] ->
       gone[1] = true; leads[1] = false;
       check_not_stuck();
       clear()
     }
  od
}
