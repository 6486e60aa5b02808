/* Orders, the memory ledger and one engine. An order is written to the log
 * before it is sent, and at most one order is open at a time. An order is
 * resolved by reading the engine's state back; for an engine that ignores
 * fencing numbers, only when no copy of the order can still arrive. Two models
 * of size 2 share an accelerator of size 2, so they must never be resident
 * together. Targets are bit sets of models. */

#define CAPACITY 2
#define MAXORDER 3
#define SIZE(set) ((((set) & 1) + (((set) >> 1) & 1)) * 2)

/* The end of the hold time: no copy of the open order can still arrive. */
#if defined(FENCED) || defined(MUTATION_NO_HOLD)
#define HOLD_RULE true
#else
#define HOLD_RULE (copies_in_flight == 0)
#endif

chan net = [3] of { byte, byte };   /* order, target */
byte confirmed;                     /* ledger: the last state read back */
byte open_id;
byte open_target;
byte next_id = 1;
byte sends;                         /* of the open order */
byte actual;                        /* state of the engine */
byte applied;
byte highest;                       /* greatest order id applied */
byte copies_in_flight;              /* copies of the open order in flight */

inline engine_apply(id, target) {
  if
#ifdef FENCED
  :: id < highest -> skip
#endif
  :: else ->
     /* The engine holds both states during the change. */
     assert(SIZE(actual | target) <= CAPACITY);
     actual = target;
     applied = id;
     if
     :: id > highest -> highest = id
     :: else
     fi
  fi
}

active proctype system() {
  byte id;
  byte target;
  do
  :: atomic {  /* The leader appends an order to the log. */
       open_id == 0 && next_id <= MAXORDER ->
       select(target : 0 .. 2);
       if
       :: SIZE(confirmed | target) <= CAPACITY ->
#ifdef MUTATION_SEND_BEFORE_WRITE
          /* Sends first; the leader may crash before the write. */
          if
          :: nfull(net) -> net!next_id,target; copies_in_flight++
          :: full(net)
          fi;
          if
          :: open_id = next_id; open_target = target; next_id++; sends = 1
          :: skip  /* crash: the next leader does not have the order */
          fi
#else
          open_id = next_id; open_target = target; next_id++; sends = 0
#endif
       :: else
       fi;
       target = 0
     }
  :: atomic {  /* The leader, or its successor, sends the open order. */
       open_id != 0 && sends < 2 && nfull(net) ->
       net!open_id,open_target; sends++; copies_in_flight++
     }
  :: atomic {  /* Copies are reordered. */
       nempty(net) -> net?id,target; net!id,target; id = 0; target = 0
     }
  :: atomic {  /* A copy is lost. */
       nempty(net) -> net?id,target;
       if :: copies_in_flight > 0 -> copies_in_flight-- :: else fi;
       id = 0; target = 0
     }
  :: atomic {  /* A copy arrives. */
       nempty(net) -> net?id,target;
       if :: copies_in_flight > 0 -> copies_in_flight-- :: else fi;
       engine_apply(id, target);
       id = 0; target = 0
     }
  :: atomic {  /* The engine's state is read back and the order resolved. */
       open_id != 0 && applied == open_id && actual == open_target &&
       HOLD_RULE ->
       confirmed = open_target; open_id = 0; open_target = 0; sends = 0
     }
  od
}
