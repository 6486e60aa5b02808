/* Orders, the ledger and an engine. Every order is in the log before it is
 * sent; one order is open at a time; an order is resolved by reading back, and
 * for an engine that ignores fencing numbers only when no copy of it can still
 * arrive. Two models of size 2 on an accelerator of size 2: they may never be
 * there together. Targets are bit sets of models. */

#define CAPACITY 2
#define MAXORDER 3
#define SIZE(set) ((((set) & 1) + (((set) >> 1) & 1)) * 2)

/* The hold time: no copy of the open order can still arrive. */
#if defined(FENCED) || defined(MUTATION_NO_HOLD)
#define HOLD_RULE true
#else
#define HOLD_RULE (old_copies == 0)
#endif

chan net = [3] of { byte, byte };   /* order, target */
byte confirmed;                     /* ledger: what was read back */
byte open_id;
byte open_target;
byte next_id = 1;
byte sends;                         /* of the open order */
byte actual;                        /* engine */
byte applied;
byte highest;
byte old_copies;                    /* copies of the open order under way */

inline engine_takes(id, target) {
  if
#ifdef FENCED
  :: id < highest -> skip
#endif
  :: else ->
     /* While it changes, the engine holds both states. */
     assert(SIZE(actual | target) <= CAPACITY);
     actual = target;
     applied = id;
     if
     :: id > highest -> highest = id
     :: else
     fi
  fi
}

active proctype world() {
  byte id;
  byte target;
  do
  :: atomic {  /* The leader writes an order to the log. */
       open_id == 0 && next_id <= MAXORDER ->
       select(target : 0 .. 2);
       if
       :: SIZE(confirmed | target) <= CAPACITY ->
#ifdef MUTATION_SEND_BEFORE_WRITE
          /* It is sent first, and the leader may crash before the write. */
          if
          :: nfull(net) -> net!next_id,target; old_copies++
          :: full(net)
          fi;
          if
          :: open_id = next_id; open_target = target; next_id++; sends = 1
          :: skip  /* the crash: the next leader knows nothing of it */
          fi
#else
          open_id = next_id; open_target = target; next_id++; sends = 0
#endif
       :: else
       fi;
       target = 0
     }
  :: atomic {  /* The leader, or the next one, sends the open order. */
       open_id != 0 && sends < 2 && nfull(net) ->
       net!open_id,open_target; sends++; old_copies++
     }
  :: atomic { nempty(net) -> net?id,target; net!id,target; id = 0; target = 0 }
  :: atomic {  /* A copy is lost. */
       nempty(net) -> net?id,target;
       if :: old_copies > 0 -> old_copies-- :: else fi;
       id = 0; target = 0
     }
  :: atomic {  /* A copy arrives. */
       nempty(net) -> net?id,target;
       if :: old_copies > 0 -> old_copies-- :: else fi;
       engine_takes(id, target);
       id = 0; target = 0
     }
  :: atomic {  /* The outcome is read back. */
       open_id != 0 && applied == open_id && actual == open_target &&
       HOLD_RULE ->
       confirmed = open_target; open_id = 0; open_target = 0; sends = 0
     }
  od
}
