#include "entry/attempt_policy.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr int kFirstServerError = 500;

// Statuses that promise that a request has not run.
auto IsPromise(int status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

auto MayRunAgain(const attempt_summary& facts) -> bool {
  switch (facts.retry_rule) {
    case repeat_rule::idempotent:
    case repeat_rule::resumable:
      return true;
    case repeat_rule::at_most_once:
      return false;
  }
  return false;
}

}  // namespace

auto GetAttemptOutcomeText(attempt_outcome end) -> std::string_view {
  switch (end) {
    case attempt_outcome::complete:
      return "whole";
    case attempt_outcome::not_sent:
      return "not_sent";
    case attempt_outcome::not_run:
      return "not_run";
    case attempt_outcome::interrupted:
      return "cut";
    case attempt_outcome::invalid:
      return "spoiled";
    case attempt_outcome::stalled:
      break;
  }
  return "stalled";
}

auto GetAttemptActionText(attempt_action step) -> std::string_view {
  switch (step) {
    case attempt_action::deliver:
      return "deliver";
    case attempt_action::retry:
      return "again";
    case attempt_action::refuse:
      return "refuse";
    case attempt_action::fail:
      return "fail";
    case attempt_action::abort_stream:
      break;
  }
  return "break_off";
}

auto GetFallback(const attempt_summary& facts) -> attempt_action {
  if (facts.has_delivered_events) {
    return attempt_action::abort_stream;
  }
  const auto cannot_have_run = facts.end == attempt_outcome::not_sent ||
                               facts.end == attempt_outcome::not_run;
  if (cannot_have_run && !facts.may_have_run) {
    return attempt_action::refuse;
  }
  if (facts.end == attempt_outcome::complete &&
      !IsPromise(facts.answer.status)) {
    return attempt_action::deliver;
  }
  return attempt_action::fail;
}

auto DecideAction(const attempt_summary& facts) -> attempt_action {
  const auto has_attempts = facts.attempts < facts.max_attempts;
  const auto cannot_have_run = facts.end == attempt_outcome::not_sent ||
                               facts.end == attempt_outcome::not_run;
  if (cannot_have_run) {
    return has_attempts ? attempt_action::retry : GetFallback(facts);
  }
  if (facts.end == attempt_outcome::complete) {
    const auto is_server_error = facts.answer.status >= kFirstServerError;
    if (is_server_error && MayRunAgain(facts) && has_attempts) {
      return attempt_action::retry;
    }
    return GetFallback(facts);
  }
  return MayRunAgain(facts) && has_attempts ? attempt_action::retry
                                            : GetFallback(facts);
}

auto GetRetryDelay(const retry_delay_inputs& facts) -> duration {
  constexpr duration kShortest = std::chrono::milliseconds(100);
  constexpr duration kUnknownWait = std::chrono::milliseconds(600);
  const auto longest = facts.time_left / 3;
  const auto wait =
      facts.expected_wait > duration(0) ? facts.expected_wait : kUnknownWait;
  const auto spread = duration(static_cast<duration::rep>(
      static_cast<double>(wait.count()) * (0.75 + 0.5 * facts.jitter)));
  return std::max(kShortest, std::min(spread, longest));
}

}  // namespace ebony
