#include "entry/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace ebony {

namespace {

// Time constant of the smoothing of the rate.
constexpr double kWindowSeconds = 1.0;
// Requests sent within the window below which the rate is not used.
constexpr double kMinRate = 2.0;

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

auto wait_estimator::GetRate(const queue_state& state, mono_time now) const
    -> double {
  const auto elapsed = std::max(0.0, ToSeconds(now - state.updated));
  return state.sent_rate * std::exp(-elapsed / kWindowSeconds);
}

auto wait_estimator::OnSent(const queue_key& key, mono_time now) -> void {
  auto& state = queues_[key];
  state.sent_rate = GetRate(state, now) + 1 / kWindowSeconds;
  state.updated = now;
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
  const auto rate = GetRate(found->second, now);
  if (rate < kMinRate) {
    return std::nullopt;
  }
  const auto seconds = static_cast<double>(found->second.queued + 1) / rate;
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace ebony
