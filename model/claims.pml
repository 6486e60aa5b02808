/* Claims on the key of a request that may run at most once. There are three
 * holders; an entry runs the request after a majority of two granted the claim.
 * Two entries compete for the same key; each may abandon its attempt, release
 * the claim and start another attempt. A restarted holder has lost its grants
 * and grants no claims until the key expires, which is after the end of the
 * modelled period. */

#define HOLDERS 3
#define OWNERS 2
#define MAXATTEMPT 2
#ifdef MUTATION_ONE_IS_ENOUGH
#define QUORUM 1
#else
#define QUORUM 2
#endif

#ifdef MUTATION_RELEASE_OF_ANY_ATTEMPT
#define SAME_ATTEMPT(k, a) true
#else
#define SAME_ATTEMPT(k, a) (h[k].attempt == a)
#endif

typedef holder_state { byte owner; byte attempt; bool is_restarted; };
typedef owner_state {
  byte attempt;
  byte asked;      /* bit set of holders asked; bit 3: attempt open */
  byte granted;    /* bit set of holders that granted it */
  bool running;
};

holder_state h[HOLDERS];
owner_state o[OWNERS];
chan releases = [3] of { byte, byte, byte };  /* holder, owner, attempt */
byte runs;
byte restarts;

#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))

active proctype system() {
  byte n;
  byte k;
  byte a;
  do
  :: atomic {
       select(n : 0 .. 1); select(k : 0 .. 2);
       if
       /* An entry starts an attempt; its earlier ones did not run. */
       :: o[n].attempt < MAXATTEMPT && !o[n].running && o[n].asked == 0 ->
          o[n].attempt++; o[n].asked = 8
       /* It asks a holder, which replies; either message may be lost. */
       :: (o[n].asked & 8) && !(o[n].asked & (1 << k)) && !o[n].running ->
          o[n].asked = o[n].asked | (1 << k);
          if
          :: !h[k].is_restarted && (h[k].owner == 0 ||
             (h[k].owner == n + 1 && h[k].attempt <= o[n].attempt)) ->
             h[k].owner = n + 1; h[k].attempt = o[n].attempt;
             if
             :: o[n].granted = o[n].granted | (1 << k)
             :: skip  /* the reply is lost */
             fi
          :: else
          fi
       :: COUNT(o[n].granted) >= QUORUM && !o[n].running ->
          o[n].running = true; runs++; assert(runs <= 1)
       /* It abandons the attempt; releases may be lost or delayed. */
       :: (o[n].asked & 8) && !o[n].running ->
          if
          :: nfull(releases) -> releases!k,n,o[n].attempt
          :: full(releases)
          fi;
          o[n].asked = 0; o[n].granted = 0
       :: nempty(releases) ->
          releases?k,n,a;
          if
          :: h[k].owner == n + 1 && SAME_ATTEMPT(k, a) ->
             h[k].owner = 0; h[k].attempt = 0
          :: else
          fi
       :: restarts < 2 ->
          restarts++; h[k].owner = 0; h[k].attempt = 0;
#ifndef MUTATION_RESTARTED_HOLDER_GRANTS
          h[k].is_restarted = true
#endif
       fi;
       n = 0; k = 0; a = 0
     }
  od
}
