/* A claim on the key of a request that may run at most once: three holders,
 * two of which must grant it to the entry before it runs. Two entries are asked
 * for the same key; each may give up, release and ask again. A holder that
 * restarted grants nothing while the key lives, which is the whole model. */

#define HOLDERS 3
#define OWNERS 2
#define MAXATTEMPT 2
#ifdef MUTATION_ONE_IS_ENOUGH
#define NEEDED 1
#else
#define NEEDED 2
#endif

#ifdef MUTATION_RELEASE_OF_ANY_ATTEMPT
#define SAME_ATTEMPT(k, a) true
#else
#define SAME_ATTEMPT(k, a) (h[k].attempt == a)
#endif

typedef holder_state { byte owner; byte attempt; bool abstains; };
typedef owner_state {
  byte attempt;
  byte asked;      /* bit set of holders asked in this attempt */
  byte granted;    /* bit set of holders that granted it */
  bool running;
};

holder_state h[HOLDERS];
owner_state o[OWNERS];
chan releases = [3] of { byte, byte, byte };  /* holder, owner, attempt */
byte runs;
byte restarts;

#define COUNT(b) (((b) & 1) + (((b) >> 1) & 1) + (((b) >> 2) & 1))

active proctype world() {
  byte n;
  byte k;
  byte a;
  do
  :: atomic {
       select(n : 0 .. 1); select(k : 0 .. 2);
       if
       /* An entry begins an attempt; earlier ones never ran. */
       :: o[n].attempt < MAXATTEMPT && !o[n].running && o[n].asked == 0 ->
          o[n].attempt++; o[n].asked = 8
       /* It asks a holder, which answers; either may be lost. */
       :: (o[n].asked & 8) && !(o[n].asked & (1 << k)) && !o[n].running ->
          o[n].asked = o[n].asked | (1 << k);
          if
          :: !h[k].abstains && (h[k].owner == 0 ||
             (h[k].owner == n + 1 && h[k].attempt <= o[n].attempt)) ->
             h[k].owner = n + 1; h[k].attempt = o[n].attempt;
             if
             :: o[n].granted = o[n].granted | (1 << k)
             :: skip  /* the answer is lost */
             fi
          :: else
          fi
       :: COUNT(o[n].granted) >= NEEDED && !o[n].running ->
          o[n].running = true; runs++; assert(runs <= 1)
       /* It gives up: the releases travel, and may be lost or late. */
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
          h[k].abstains = true
#endif
       fi;
       n = 0; k = 0; a = 0
     }
  od
}
