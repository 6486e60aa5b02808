#include "entry/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace ebony {

namespace {

// Time constant of the smoothing of the rate.
constexpr double kWindowSeconds = 1.0;
// Requests sent within the window below which the rate is not used.
constexpr double kMinRate = 2.0;
// Arrivals are more than what is sent above this ratio, and above this number
// of standard deviations of a number of arrivals.
constexpr double kOverload = 1.15;
constexpr double kDeviations = 2.0;

}  // namespace

wait_estimator::queue_state::queue_state()
    : sent(kWindowSeconds), arrived(kWindowSeconds) {}

auto wait_estimator::OnArrived(const queue_key& key, mono_time now) -> void {
  queues_[key].arrived.Count(now);
}

auto wait_estimator::OnSent(const queue_key& key, mono_time now) -> void {
  queues_[key].sent.Count(now);
}

auto wait_estimator::OnQueued(const queue_key& key) -> void {
  ++queues_[key].queued;
}

auto wait_estimator::OnLeftQueue(const queue_key& key) -> void {
  auto& state = queues_[key];
  state.queued -= std::min<std::size_t>(1, state.queued);
}

auto wait_estimator::GetExpectedWait(const queue_key& key, mono_time now) const
    -> std::optional<duration> {
  const auto found = queues_.find(key);
  if (found == queues_.end()) {
    return std::nullopt;
  }
  const auto rate = found->second.sent.Get(now);
  if (rate < kMinRate) {
    return std::nullopt;
  }
  const auto seconds = static_cast<double>(found->second.queued + 1) / rate;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

auto wait_estimator::IsOverloaded(const queue_key& key, mono_time now) const
    -> bool {
  const auto found = queues_.find(key);
  if (found == queues_.end()) {
    return false;
  }
  const auto sent = found->second.sent.Get(now);
  const auto arrived = found->second.arrived.Get(now);
  return sent >= kMinRate && arrived > kOverload * sent &&
         arrived - sent > kDeviations * std::sqrt(arrived);
}

}  // namespace ebony
