// How a gateway stops.

#include <utility>

#include "core/error_kind.h"
#include "main/gateway_daemon.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

constexpr duration kDrainCheckInterval = std::chrono::milliseconds(100);
// Minimum time to serve after SIGTERM: callers may use a cached answer of the
// directory for this long.
constexpr duration kMinDrainTime = std::chrono::milliseconds(6500);
// Requests that arrive later than this after SIGTERM are rejected, since they
// may not end within the stop grace period.
constexpr duration kRequestAcceptTime = kMinDrainTime;
// Requests in flight are aborted this long before the stop grace period ends.
constexpr duration kAbortMargin = std::chrono::milliseconds(350);
// The process ends this long before the stop grace period does, even if callers
// have not taken their answers.
constexpr duration kExitMargin = std::chrono::milliseconds(100);
constexpr int kUnavailable = 503;

}  // namespace

auto gateway_daemon::Drain() -> void {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  drain_start_ = loop_.get_now();
  log_.Write(event_category::state, "draining",
             {{"active", static_cast<std::int64_t>(context_.active_sessions)}});
  link_.SyncSoon();
  RepeatEvery(loop_, kDrainCheckInterval, [this] { CheckDrain(); });
}

auto gateway_daemon::GetUnsentBytes() -> std::size_t {
  return caller_listener_->GetUnsentBytes() +
         (peer_listener_ == nullptr ? 0 : peer_listener_->GetUnsentBytes());
}

auto gateway_daemon::TakesRequests() const -> bool {
  return !is_draining_ || loop_.get_now() - drain_start_ < kRequestAcceptTime;
}

auto gateway_daemon::StopSessions() -> void {
  caller_listener_->StopAccepting();
  for (const auto& item : std::exchange(deferred_, {})) {
    if (!item.answer->is_final()) {
      RejectCall(platform::DecodeCallerRequest(item.call.head),
                 error_kind::draining, kUnavailable, item.answer);
    }
  }
  const auto sessions = sessions_;
  for (const auto& item : sessions) {
    if (const auto session = item.lock()) {
      session->Stop();
    }
  }
  caller_listener_->CloseIdle();
  if (peer_listener_ != nullptr) {
    peer_listener_->StopAccepting();
    peer_listener_->CloseIdle();
  }
}

// The process ends once this has set `is_drained_`, which would cut off answers
// that callers have not taken in full.
auto gateway_daemon::CheckDrain() -> void {
  const auto elapsed = loop_.get_now() - drain_start_;
  const auto is_idle = elapsed >= kMinDrainTime &&
                       context_.active_sessions == 0 && deferred_.empty() &&
                       quota_gate_.CountWaiting() == 0 &&
                       !origins_.HasQuestions();
  const auto is_expired = elapsed >= settings_.stop_grace - kAbortMargin;
  if (is_drained_ || (!is_idle && !is_expired)) {
    return;
  }
  StopSessions();
  is_drained_ =
      GetUnsentBytes() == 0 || elapsed >= settings_.stop_grace - kExitMargin;
}

}  // namespace ebony
