#include "entry/relay_rules.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr int kFirstServerError = 500;

// Statuses that promise that a request has not run.
auto IsPromise(int status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

auto MayRunAgain(const relay_facts& facts) -> bool {
  switch (facts.repeat) {
    case repeat_rule::idempotent:
    case repeat_rule::resumable:
      return true;
    case repeat_rule::at_most_once:
      return false;
  }
  return false;
}

}  // namespace

auto GetRelayEndText(relay_end end) -> std::string_view {
  switch (end) {
    case relay_end::whole:
      return "whole";
    case relay_end::not_sent:
      return "not_sent";
    case relay_end::not_run:
      return "not_run";
    case relay_end::cut:
      return "cut";
    case relay_end::spoiled:
      return "spoiled";
    case relay_end::stalled:
      break;
  }
  return "stalled";
}

auto GetRelayStepText(relay_step step) -> std::string_view {
  switch (step) {
    case relay_step::deliver:
      return "deliver";
    case relay_step::again:
      return "again";
    case relay_step::refuse:
      return "refuse";
    case relay_step::fail:
      return "fail";
    case relay_step::break_off:
      break;
  }
  return "break_off";
}

auto GetFallback(const relay_facts& facts) -> relay_step {
  if (facts.has_shown_events) {
    return relay_step::break_off;
  }
  const auto cannot_have_run =
      facts.end == relay_end::not_sent || facts.end == relay_end::not_run;
  if (cannot_have_run && !facts.has_run_maybe) {
    return relay_step::refuse;
  }
  if (facts.end == relay_end::whole && !IsPromise(facts.answer.status)) {
    return relay_step::deliver;
  }
  return relay_step::fail;
}

auto DecideRelay(const relay_facts& facts) -> relay_step {
  const auto has_attempts = facts.attempts < facts.max_attempts;
  const auto cannot_have_run =
      facts.end == relay_end::not_sent || facts.end == relay_end::not_run;
  if (cannot_have_run) {
    return has_attempts ? relay_step::again : GetFallback(facts);
  }
  if (facts.end == relay_end::whole) {
    const auto is_server_error = facts.answer.status >= kFirstServerError;
    if (is_server_error && MayRunAgain(facts) && has_attempts) {
      return relay_step::again;
    }
    return GetFallback(facts);
  }
  return MayRunAgain(facts) && has_attempts ? relay_step::again
                                            : GetFallback(facts);
}

auto GetReturnTime(const return_facts& facts) -> duration {
  constexpr duration kShortest = std::chrono::milliseconds(100);
  constexpr duration kUnknownWait = std::chrono::milliseconds(600);
  const auto longest = facts.time_left / 3;
  const auto wait =
      facts.expected_wait > duration(0) ? facts.expected_wait : kUnknownWait;
  const auto spread = duration(static_cast<duration::rep>(
      static_cast<double>(wait.count()) * (0.75 + 0.5 * facts.draw)));
  return std::max(kShortest, std::min(spread, longest));
}

}  // namespace ebony
