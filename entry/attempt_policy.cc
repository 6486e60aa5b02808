#include "entry/attempt_policy.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr int kFirstServerError = 500;

// Returns whether a status states that the request was not executed.
auto IsNotRunStatus(int status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns whether the request may be sent again after it may have been
// executed.
auto IsRepeatSafe(const attempt_summary& summary) -> bool {
  switch (summary.retry_rule) {
    case retry_policy::idempotent:
    case retry_policy::resumable:
      return true;
    case retry_policy::at_most_once:
      return false;
  }
  return false;
}

}  // namespace

auto GetAttemptOutcomeText(attempt_outcome outcome) -> std::string_view {
  switch (outcome) {
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
    case attempt_outcome::truncated:
      return "truncated";
    case attempt_outcome::stalled:
      break;
  }
  return "stalled";
}

auto GetAttemptActionText(attempt_action action) -> std::string_view {
  switch (action) {
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

auto GetFallback(const attempt_summary& summary) -> attempt_action {
  if (summary.has_delivered_events) {
    return attempt_action::abort_stream;
  }
  const auto was_not_run = summary.outcome == attempt_outcome::not_sent ||
                           summary.outcome == attempt_outcome::not_run;
  if (was_not_run && !summary.may_have_run) {
    return attempt_action::refuse;
  }
  if (summary.outcome == attempt_outcome::complete &&
      !IsNotRunStatus(summary.answer.status)) {
    return attempt_action::deliver;
  }
  return attempt_action::fail;
}

auto DecideAction(const attempt_summary& summary) -> attempt_action {
  const auto has_attempts_left =
      summary.attempts < summary.max_attempts && summary.can_go_on;
  const auto was_not_run = summary.outcome == attempt_outcome::not_sent ||
                           summary.outcome == attempt_outcome::not_run;
  if (was_not_run) {
    return has_attempts_left ? attempt_action::retry : GetFallback(summary);
  }
  if (summary.outcome == attempt_outcome::complete) {
    const auto is_server_error = summary.answer.status >= kFirstServerError;
    if (is_server_error && IsRepeatSafe(summary) && has_attempts_left) {
      return attempt_action::retry;
    }
    return GetFallback(summary);
  }
  return IsRepeatSafe(summary) && has_attempts_left ? attempt_action::retry
                                                    : GetFallback(summary);
}

auto GetRetryDelay(const retry_delay_inputs& inputs) -> duration {
  constexpr duration kMinDelay = std::chrono::milliseconds(100);
  constexpr duration kDefaultWait = std::chrono::milliseconds(600);
  const auto max_delay = inputs.time_left / 3;
  const auto wait =
      inputs.expected_wait > duration(0) ? inputs.expected_wait : kDefaultWait;
  const auto delay = duration(static_cast<duration::rep>(
      static_cast<double>(wait.count()) * (0.75 + 0.5 * inputs.jitter)));
  return std::max(kMinDelay, std::min(delay, max_delay));
}

}  // namespace ebony
