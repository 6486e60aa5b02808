#ifndef EBONY_ENTRY_RELAY_RULES_H_
#define EBONY_ENTRY_RELAY_RULES_H_

#include <optional>
#include <string_view>

#include "core/caller_terms.h"
#include "core/error_kind.h"
#include "core/site_config.h"

namespace ebony {

// How one attempt at a server ended.
enum class relay_end {
  whole,     // a whole answer
  not_sent,  // no byte left, so it cannot have run
  not_run,   // the server states that it did not run it
  cut,       // may have run
  spoiled,   // an answer that cannot be the server's own
  stalled,   // no answer, or no event, for too long
};

// Returns a short name for logs.
auto GetRelayEndText(relay_end end) -> std::string_view;

// What a session knows when an attempt has ended.
struct relay_facts {
  relay_end end = relay_end::cut;
  server_answer answer;  // of a whole answer
  repeat_rule repeat = repeat_rule::at_most_once;
  int attempts = 0;  // servers that it was sent to
  int max_attempts = 1;
  bool has_run_maybe = false;     // an earlier attempt may have run
  bool has_shown_events = false;  // the caller has seen part of a stream
};

enum class relay_step {
  deliver,    // pass the answer on as it is
  again,      // another server may be tried, if the repeats allow it
  refuse,     // the request has not run and will not
  fail,       // whether it has run is not known, or it has
  break_off,  // end the stream so that it does not look complete
};

// Returns a short name for logs.
auto GetRelayStepText(relay_step step) -> std::string_view;

// Decides what the end of an attempt allows. At most once means at most once:
// only what cannot have run is tried again.
auto DecideRelay(const relay_facts& facts) -> relay_step;

// What to answer when `again` is not possible.
auto GetFallback(const relay_facts& facts) -> relay_step;

// When a refused caller should come back.
struct return_facts {
  error_kind kind = error_kind::overloaded;
  duration time_left{0};      // of the caller's deadline
  duration expected_wait{0};  // until room or a model is there; 0: unknown
  double draw = 0;            // in [0, 1): spreads the returns
};

// Returns a time within a third of what is left, spread so that callers who
// were refused together do not come back together.
auto GetReturnTime(const return_facts& facts) -> duration;

}  // namespace ebony

#endif  // EBONY_ENTRY_RELAY_RULES_H_
