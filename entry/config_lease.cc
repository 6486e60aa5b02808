#include "entry/config_lease.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

// Limit of the unanswered polls and of the open confirmation rounds. Answers to
// older ones are ignored.
constexpr std::size_t kMaxOutstanding = 64;

template <typename Map>
auto DropOldest(Map& items) -> void {
  while (items.size() > kMaxOutstanding) {
    items.erase(items.begin());
  }
}

}  // namespace

config_lease::config_lease(vm_name self, std::size_t entry_count)
    : self_(std::move(self)), entry_count_(entry_count) {}

auto config_lease::OnPollSent(std::uint64_t sequence, mono_time now) -> void {
  polls_[sequence] = now;
  DropOldest(polls_);
}

auto config_lease::OnLeaderLease(std::uint64_t sequence, duration lease)
    -> void {
  const auto found = polls_.find(sequence);
  if (found == polls_.end()) {
    return;
  }
  is_uninitialised_ = false;
  lease_ = lease;
  // Measured from the time the poll was sent, because the leader confirmed its
  // leadership after that.
  lease_until_ = std::max(lease_until_, found->second + lease);
  polls_.erase(polls_.begin(), std::next(found));
}

auto config_lease::OnConfirmationRequested(std::uint64_t sequence,
                                           mono_time now) -> void {
  rounds_[sequence] = {now, {self_}};
  DropOldest(rounds_);
}

auto config_lease::OnConfirmed(std::uint64_t sequence, const vm_name& peer)
    -> void {
  const auto found = rounds_.find(sequence);
  if (is_uninitialised_ || found == rounds_.end()) {
    return;
  }
  auto& round = found->second;
  round.confirmed.insert(peer);
  if (round.confirmed.size() * 2 > entry_count_) {
    lease_until_ = std::max(lease_until_, round.sent + lease_);
    rounds_.erase(rounds_.begin(), std::next(found));
  }
}

auto config_lease::NeedsConfirmation(mono_time now) const -> bool {
  return !is_uninitialised_ && now + lease_ / 2 >= lease_until_;
}

auto config_lease::IsCurrent(mono_time now) const -> bool {
  return !is_uninitialised_ && now < lease_until_;
}

}  // namespace ebony
