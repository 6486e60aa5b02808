// The ends of a relay session: deadlines, callers who leave, and the answers.

#include "main/proxy_session.h"

#include <utility>

#include "platform/request_codec.h"

namespace ebony {

auto proxy_session::OnDeadline() -> void {
  if (is_done_) {
    return;
  }
  if (attempt_ == nullptr) {
    StopWaiting();
    if (has_run_maybe_) {
      Fail(error_kind::deadline_exceeded);
    } else {
      Refuse(error_kind::deadline_unreachable, duration(0));
    }
    return;
  }
  attempt_->Cancel();
  ReleaseServer();
  context_.on_room();
  if (answer_->has_begun()) {
    BreakOff("deadline");
  } else {
    Fail(error_kind::deadline_exceeded);
  }
}

auto proxy_session::OnCallerGone() -> void {
  if (is_done_) {
    return;
  }
  const auto self = shared_from_this();
  StopWaiting();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
    ReleaseServer();
    context_.on_room();
  }
  Finish("caller_gone", 0);
}

auto proxy_session::Stop() -> void {
  if (is_done_) {
    return;
  }
  const auto self = shared_from_this();
  StopWaiting();
  if (attempt_ == nullptr) {
    Refuse(error_kind::draining, duration(0));
    return;
  }
  attempt_->Cancel();
  ReleaseServer();
  if (answer_->has_begun()) {
    BreakOff("stopping");
  } else {
    Fail(error_kind::draining);
  }
}

auto proxy_session::Deliver() -> void {
  if (is_streaming_) {
    if (!answer_->has_begun()) {
      answer_->Begin(platform::MakeCallerHead(head_));
    }
    answer_->Finish();
  } else {
    answer_->Respond(platform::MakeCallerHead(head_), body_);
  }
  Finish("delivered", head_.status);
}

// Only for what has not run and will not.
auto proxy_session::Refuse(error_kind kind, duration expected_wait) -> void {
  constexpr int kUnavailable = 503;
  if (has_run_maybe_ || spare_ || answer_->has_begun()) {
    Fail(kind);
    return;
  }
  constexpr std::uint64_t kDrawSteps = 1000;
  auto facts = retry_delay_inputs();
  facts.kind = kind;
  facts.time_left = GetTimeLeft();
  facts.expected_wait = expected_wait;
  facts.jitter = static_cast<double>(context_.random(kDrawSteps)) / kDrawSteps;
  const auto return_time = GetRetryDelay(facts);
  context_.log.Write(event_category::request, "told_to_return",
                     {{"request", terms_.id.get()},
                      {"kind", std::string(GetErrorAnswer(kind).code)},
                      {"left_ms", facts.time_left},
                      {"return_ms", return_time}});
  answer_->Respond(platform::MakeOwnHead(kUnavailable, terms_.id, return_time),
                   {});
  Finish(GetErrorAnswer(kind).code.data(), kUnavailable);
}

// For what has run, or may have.
auto proxy_session::Fail(error_kind kind) -> void {
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  if (answer_->has_begun()) {
    BreakOff(GetErrorAnswer(kind).code.data());
    return;
  }
  if (spare_) {
    answer_->Respond(platform::MakeCallerHead(spare_->head), spare_->body);
    Finish("delivered_failure", spare_->head.status);
    return;
  }
  const auto status =
      kind == error_kind::deadline_exceeded ? kGatewayTimeout : kBadGateway;
  answer_->Respond(platform::MakeOwnHead(status, terms_.id, duration(0)), {});
  Finish(GetErrorAnswer(kind).code.data(), status);
}

auto proxy_session::BreakOff(const char* why) -> void {
  answer_->Abort();
  Finish(why, 0);
}

auto proxy_session::Finish(const char* outcome, int status) -> void {
  if (is_done_) {
    return;
  }
  is_done_ = true;
  --context_.active;
  context_.loop.CancelTimer(deadline_timer_);
  context_.loop.CancelTimer(wait_timer_);
  context_.loop.CancelTimer(stall_timer_);
  const auto took = context_.loop.get_now() - call_.received_at;
  context_.counters.Count(std::string("ebony_relayed_total{outcome=\"") +
                          outcome + "\"}");
  context_.counters.Observe("ebony_relay_seconds",
                            std::chrono::duration<double>(took).count());
  context_.log.Write(
      event_category::request, "answered",
      {{"request", terms_.id.get()},
       {"route", rule_.name.get()},
       {"outcome", outcome},
       {"status", static_cast<std::int64_t>(status)},
       {"backend", server_.get()},
       {"attempts", static_cast<std::int64_t>(attempts_)},
       {"config", static_cast<std::int64_t>(table_->get_config().number.get())},
       {"first_ms", first_event_},
       {"pause_ms", longest_pause_},
       {"took_ms", duration(took)}});
}

}  // namespace ebony
