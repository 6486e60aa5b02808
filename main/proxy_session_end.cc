// How attempts and requests of a proxy_session end: log lines, stalls,
// deadlines, disconnected callers, shutdown and the final answers.

#include "main/proxy_session.h"

#include <algorithm>
#include <utility>

#include "platform/request_codec.h"

namespace ebony {

namespace {

// Stall timeout of an idempotent request, in objectives of its route.
constexpr int kStallObjectives = 3;
constexpr duration kMinStallTimeout = std::chrono::milliseconds(250);
// Stall timeout of a resumable stream, in event gaps of its route.
constexpr int kStallGaps = 8;

}  // namespace

auto proxy_session::LogAttemptEnd(attempt_outcome outcome,
                                  attempt_action action) -> void {
  const auto now = context_.loop.get_now();
  context_.log.Write(
      event_category::request, "attempt_ended",
      {{"request", metadata_.id.get()},
       {"backend", server_.get()},
       {"peer", peer_.get()},
       {"end", std::string(GetAttemptOutcomeText(outcome))},
       {"connection", std::string(GetConnectionText())},
       {"connection_number", static_cast<std::int64_t>(path_.connection)},
       {"earlier_calls", static_cast<std::int64_t>(path_.earlier_calls)},
       {"silent_ms", duration(now - context_.paths.get_last_bytes())},
       {"status", static_cast<std::int64_t>(server_answer_.status)},
       {"load", static_cast<std::int64_t>(found_requests_)},
       {"max_rejections", GetRejectionField(server_answer_.max_rejections)},
       {"retry_after_ms", server_answer_.retry_after.value_or(duration(0))},
       {"framing", GetFramingText()},
       {"events", static_cast<std::int64_t>(stream_.get_events())},
       {"partial_bytes",
        static_cast<std::int64_t>(stream_.get_partial_bytes())},
       {"took_ms", duration(now - sent_at_)},
       {"next", std::string(GetAttemptActionText(action))}});
}

auto proxy_session::OnDeadline() -> void {
  if (is_finished_) {
    return;
  }
  if (attempt_ == nullptr) {
    LeaveQueue();
    if (may_have_run_) {
      Fail(error_kind::deadline_exceeded);
    } else {
      Reject(error_kind::deadline_unreachable, duration(0));
    }
    return;
  }
  attempt_->Cancel();
  ReleaseServer();
  context_.on_capacity_freed();
  if (answer_->has_begun()) {
    AbortStream("deadline");
  } else {
    Fail(error_kind::deadline_exceeded);
  }
}

auto proxy_session::OnCallerGone() -> void {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  LeaveQueue();
  if (attempt_ != nullptr) {
    attempt_->Cancel();
    ReleaseServer();
    context_.on_capacity_freed();
  }
  Finish("caller_gone", 0);
}

auto proxy_session::Stop() -> void {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  LeaveQueue();
  if (attempt_ == nullptr) {
    Reject(error_kind::draining, duration(0));
    return;
  }
  attempt_->Cancel();
  ReleaseServer();
  if (answer_->has_begun()) {
    AbortStream("stopping");
  } else {
    Fail(error_kind::draining);
  }
}

auto proxy_session::Deliver() -> void {
  if (is_streaming_) {
    if (!answer_->has_begun()) {
      answer_->Begin(AddResult(platform::MakeCallerHead(response_head_),
                               GetServerResult()));
    }
    answer_->Append(stream_.get_remainder());  // line ends, if any
    answer_->Finish();
  } else {
    answer_->Respond(
        AddResult(platform::MakeCallerHead(response_head_), GetServerResult()),
        response_body_);
  }
  Finish("delivered", response_head_.status);
}

// Rejects a request that has not run and will not; falls back to `Fail` if it
// may have run.
auto proxy_session::Reject(error_kind kind, duration expected_wait) -> void {
  constexpr int kUnavailable = 503;
  if (may_have_run_ || error_response_ || answer_->has_begun()) {
    Fail(kind);
    return;
  }
  constexpr std::uint64_t kRandomSteps = 1000;
  auto inputs = retry_delay_inputs();
  inputs.kind = kind;
  inputs.time_left = GetTimeLeft();
  inputs.expected_wait = expected_wait;
  inputs.jitter =
      static_cast<double>(context_.random(kRandomSteps)) / kRandomSteps;
  const auto retry_after = GetRetryDelay(inputs);
  context_.log.Write(event_category::request, "told_to_return",
                     {{"request", metadata_.id.get()},
                      {"kind", std::string(GetErrorAnswer(kind).code)},
                      {"left_ms", inputs.time_left},
                      {"return_ms", retry_after}});
  auto result = handover_result();
  result.error = kind;
  result.is_declined =
      kind == error_kind::backend_unreachable || kind == error_kind::draining;
  result.retry_after = retry_after;
  answer_->Respond(AddResult(platform::MakeErrorHead(kUnavailable, metadata_.id,
                                                     retry_after),
                             result),
                   {});
  Finish(GetErrorAnswer(kind).code.data(), kUnavailable);
}

// Answers a request that has run or may have run.
auto proxy_session::Fail(error_kind kind) -> void {
  constexpr int kBadGateway = 502;
  constexpr int kGatewayTimeout = 504;
  if (answer_->has_begun()) {
    AbortStream(GetErrorAnswer(kind).code.data());
    return;
  }
  if (error_response_) {
    answer_->Respond(AddResult(platform::MakeCallerHead(error_response_->head),
                               GetServerResult()),
                     error_response_->body);
    Finish("delivered_failure", error_response_->head.status);
    return;
  }
  const auto status =
      kind == error_kind::deadline_exceeded ? kGatewayTimeout : kBadGateway;
  auto result = handover_result();
  result.error = kind;
  answer_->Respond(
      AddResult(platform::MakeErrorHead(status, metadata_.id, duration(0)),
                result),
      {});
  Finish(GetErrorAnswer(kind).code.data(), status);
}

auto proxy_session::AbortStream(const char* outcome) -> void {
  answer_->Abort();
  Finish(outcome, 0);
}

auto proxy_session::Finish(const char* outcome, int status) -> void {
  if (is_finished_) {
    return;
  }
  is_finished_ = true;
  --context_.active_sessions;
  context_.handed_over -= IsHandedOver() ? 1 : 0;
  context_.loop.CancelTimer(deadline_timer_);
  context_.loop.CancelTimer(queue_timer_);
  context_.loop.CancelTimer(stall_timer_);
  context_.guard.EndTrial(evidence_);
  context_.buffered_bytes -= std::exchange(buffered_bytes_, 0);
  CreditBack();
  if (orders_by_cost_ && sent_at_ == mono_time()) {
    context_.admission.OnRefused(admission_terms_, context_.loop.get_now());
  }
  const auto took = context_.loop.get_now() - call_.received_at;
  context_.counters.Count(std::string("ebony_relayed_total{outcome=\"") +
                          outcome + "\"}");
  context_.counters.Observe("ebony_relay_seconds",
                            std::chrono::duration<double>(took).count());
  context_.log.Write(
      event_category::request, "answered",
      {{"request", metadata_.id.get()},
       {"route", rule_.name.get()},
       {"organisation", metadata_.account.organisation.get()},
       {"outcome", outcome},
       {"status", static_cast<std::int64_t>(status)},
       {"backend", server_.get()},
       {"peer", peer_.get()},
       {"handed_over", IsHandedOver() ? "yes" : "no"},
       {"attempts", static_cast<std::int64_t>(attempts_)},
       {"config",
        static_cast<std::int64_t>(route_table_->get_config().number.get())},
       {"framing", GetFramingText()},
       {"events", static_cast<std::int64_t>(stream_.get_events())},
       {"partial_bytes",
        static_cast<std::int64_t>(stream_.get_partial_bytes())},
       {"first_ms", first_event_delay_},
       {"pause_ms", longest_gap_},
       {"took_ms", duration(took)}});
}

auto proxy_session::GetStallTimeout() const -> duration {
  const auto has_attempts = attempts_ < GetMaxAttempts();
  if (!has_attempts) {
    return duration(0);
  }
  if (rule_.retry == retry_policy::idempotent) {
    return std::max(kMinStallTimeout,
                    rule_.latency_objective * kStallObjectives);
  }
  if (rule_.retry == retry_policy::resumable && answer_->has_begun()) {
    return rule_.event_gap_objective * kStallGaps;
  }
  return duration(0);
}

auto proxy_session::ArmStallTimer() -> void {
  context_.loop.CancelTimer(stall_timer_);
  const auto limit = GetStallTimeout();
  if (limit <= duration(0)) {
    return;
  }
  stall_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnStalled(); });
}

// The attempt continues on a stalled server while no other one can take over.
auto proxy_session::OnStalled() -> void {
  if (is_finished_ || attempt_ == nullptr) {
    return;
  }
  if (IsDirect()) {
    context_.paths.OnServerFailed(server_);
  }
  if (!stream_.CanGoOn() || !HasAlternativeServer()) {
    ArmStallTimer();
    return;
  }
  attempt_->Cancel();
  OnAttemptEnd(attempt_outcome::stalled);
}

}  // namespace ebony
