#ifndef EBONY_ENTRY_ATTEMPT_POLICY_H_
#define EBONY_ENTRY_ATTEMPT_POLICY_H_

#include <optional>
#include <string_view>

#include "core/caller_terms.h"
#include "core/error_kind.h"
#include "core/site_config.h"

namespace ebony {

// How one attempt at a server ended.
enum class attempt_outcome {
  complete,     // a whole answer
  not_sent,     // no byte left, so it cannot have run
  not_run,      // the server states that it did not run it
  interrupted,  // may have run
  invalid,      // an answer that cannot be the server's own
  stalled,      // no answer, or no event, for too long
};

// Returns a short name for logs.
auto GetAttemptOutcomeText(attempt_outcome end) -> std::string_view;

// What a session knows when an attempt has ended.
struct attempt_summary {
  attempt_outcome end = attempt_outcome::interrupted;
  server_answer answer;  // of a whole answer
  repeat_rule retry_rule = repeat_rule::at_most_once;
  int attempts = 0;  // servers that it was sent to
  int max_attempts = 1;
  bool may_have_run = false;          // an earlier attempt may have run
  bool has_delivered_events = false;  // the caller has seen part of a stream
};

enum class attempt_action {
  deliver,       // pass the answer on as it is
  retry,         // another server may be tried, if the repeats allow it
  refuse,        // the request has not run and will not
  fail,          // whether it has run is not known, or it has
  abort_stream,  // end the stream so that it does not look complete
};

// Returns a short name for logs.
auto GetAttemptActionText(attempt_action step) -> std::string_view;

// Decides what the end of an attempt allows. At most once means at most once:
// only what cannot have run is tried again.
auto DecideAction(const attempt_summary& facts) -> attempt_action;

// What to answer when `again` is not possible.
auto GetFallback(const attempt_summary& facts) -> attempt_action;

// When a refused caller should come back.
struct retry_delay_inputs {
  error_kind kind = error_kind::overloaded;
  duration time_left{0};      // of the caller's deadline
  duration expected_wait{0};  // until room or a model is there; 0: unknown
  double jitter = 0;          // in [0, 1): spreads the returns
};

// Returns a time within a third of what is left, spread so that callers who
// were refused together do not come back together.
auto GetRetryDelay(const retry_delay_inputs& facts) -> duration;

}  // namespace ebony

#endif  // EBONY_ENTRY_ATTEMPT_POLICY_H_
