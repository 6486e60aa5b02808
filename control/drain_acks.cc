#include "control/drain_acks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebony {

namespace {

// The sync interval of the gateways grows with their number. A gateway times
// out when its sync is late by half an interval, but not before the minimum.
constexpr duration kMinGatewayTimeout = std::chrono::milliseconds(400);
constexpr duration kTimeoutPerGateway = std::chrono::milliseconds(12);

// Gateways that have not synced for this long are dropped.
constexpr duration kGatewayExpiry = std::chrono::seconds(10);
// Interval at which expired gateways are looked for while nothing waits.
constexpr duration kDropInterval = std::chrono::seconds(1);

}  // namespace

auto drain_acks::GetGatewayTimeout() const -> duration {
  return std::max(kMinGatewayTimeout,
                  kTimeoutPerGateway * static_cast<int>(gateways_.size()));
}

auto drain_acks::IsPropagated(std::uint64_t revision, mono_time now) const
    -> bool {
  return std::all_of(gateways_.begin(), gateways_.end(), [&](const auto& item) {
    return item.second.sent_revision >= revision ||
           now - item.second.last_seen > GetGatewayTimeout();
  });
}

auto drain_acks::Wait(std::uint64_t revision,
                      mono_time now,
                      std::function<void(bool)> done) -> void {
  if (IsPropagated(revision, now)) {
    done(true);
    return;
  }
  pending_.push_back({revision, now + kMaxWait, std::move(done)});
}

auto drain_acks::OnRevisionSent(const vm_name& vm,
                                std::uint64_t revision,
                                mono_time now) -> void {
  auto& known = gateways_[vm];
  if (now >= known.last_seen) {
    known = {revision, now};
  }
}

auto drain_acks::Tick(mono_time now) -> void {
  if (pending_.empty() && now - dropped_ < kDropInterval) {
    return;
  }
  dropped_ = now;
  std::erase_if(gateways_, [now](const auto& item) {
    return now - item.second.last_seen > kGatewayExpiry;
  });
  auto open = std::vector<pending_ack>();
  for (auto& item : std::exchange(pending_, {})) {
    if (IsPropagated(item.revision, now)) {
      item.done(true);
    } else if (now >= item.deadline) {
      item.done(false);
    } else {
      open.push_back(std::move(item));
    }
  }
  std::move(open.begin(), open.end(), std::back_inserter(pending_));
}

auto drain_acks::Clear() -> void {
  gateways_.clear();
  for (const auto& item : std::exchange(pending_, {})) {
    item.done(false);
  }
}

}  // namespace ebony
