#ifndef EBONY_ENTRY_ATTEMPT_POLICY_H_
#define EBONY_ENTRY_ATTEMPT_POLICY_H_

#include <optional>
#include <string_view>

#include "core/error_kind.h"
#include "core/request_metadata.h"
#include "core/site_config.h"

namespace ebony {

// Outcome of one attempt at a backend server.
enum class attempt_outcome {
  complete,     // the whole answer was received
  not_sent,     // no byte was sent, so the request cannot have been executed
  not_run,      // the server reported that it did not execute the request
  interrupted,  // the connection ended; the request may have been executed
  invalid,      // the answer is malformed or comes from another server
  truncated,    // the answer ended in an orderly way, but inside an event
  stalled,      // no answer or no stream event within the time limit
};

// Returns the name used in log lines.
auto GetAttemptOutcomeText(attempt_outcome outcome) -> std::string_view;

// State of a request when one of its attempts has ended.
struct attempt_summary {
  attempt_outcome outcome = attempt_outcome::interrupted;
  server_answer answer;  // set for `complete`
  retry_policy retry_rule = retry_policy::at_most_once;
  int attempts = 0;  // attempts that sent at least one byte
  int max_attempts = 1;
  bool may_have_run = false;  // an earlier attempt may have been executed
  // Part of a stream was delivered to the caller.
  bool has_delivered_events = false;
  // Another attempt can follow what was delivered, if anything.
  bool can_go_on = true;
};

// Action to take when an attempt has ended.
enum class attempt_action {
  deliver,       // forward the answer unchanged
  retry,         // try another server if the retry allowance permits it
  refuse,        // the request was not and will not be executed
  fail,          // the request was or may have been executed
  abort_stream,  // end the stream such that the caller sees it as incomplete
};

// Returns the name used in log lines.
auto GetAttemptActionText(attempt_action action) -> std::string_view;

// Returns what to do after an attempt has ended. A request with the rule
// `at_most_once` is retried only when it cannot have been executed, and none is
// retried after bytes that another attempt cannot follow.
auto DecideAction(const attempt_summary& summary) -> attempt_action;

// Returns the action that replaces `retry` when no retry is possible.
auto GetFallback(const attempt_summary& summary) -> attempt_action;

// Inputs for the retry delay of a refused caller.
struct retry_delay_inputs {
  error_kind kind = error_kind::overloaded;
  duration time_left{0};  // until the deadline of the caller
  // Until capacity or a model is available; 0 when unknown.
  duration expected_wait{0};
  double jitter = 0;  // random number in [0, 1)
};

// Returns the delay after which a refused caller should retry. It is at most a
// third of the time left, except for a minimum of 100 ms, and is spread by
// `jitter` so that callers refused together do not retry at the same time.
auto GetRetryDelay(const retry_delay_inputs& inputs) -> duration;

}  // namespace ebony

#endif  // EBONY_ENTRY_ATTEMPT_POLICY_H_
