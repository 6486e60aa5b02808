#include "control/drain_acks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebony {

namespace {

// Gateways exchange this often, or less often where they are many; one that
// missed its turn by half is silent.
constexpr duration kShortestSilence = std::chrono::milliseconds(400);
constexpr duration kSilencePerGateway = std::chrono::milliseconds(12);

constexpr duration kForgetAfter = std::chrono::seconds(10);

}  // namespace

auto drain_acks::GetSilenceLimit() const -> duration {
  return std::max(kShortestSilence,
                  kSilencePerGateway * static_cast<int>(gateways_.size()));
}

auto drain_acks::IsTold(std::uint64_t revision, mono_time now) const -> bool {
  return std::all_of(gateways_.begin(), gateways_.end(), [&](const auto& item) {
    return item.second.told >= revision ||
           now - item.second.heard > GetSilenceLimit();
  });
}

auto drain_acks::Wait(std::uint64_t revision,
                      mono_time now,
                      std::function<void(bool)> done) -> void {
  if (IsTold(revision, now)) {
    done(true);
    return;
  }
  waiting_.push_back({revision, now + kLimit, std::move(done)});
}

auto drain_acks::OnRevisionSent(const vm_name& vm,
                                std::uint64_t revision,
                                mono_time now) -> void {
  auto& known = gateways_[vm];
  if (now >= known.heard) {
    known = {revision, now};
  }
}

auto drain_acks::Tick(mono_time now) -> void {
  std::erase_if(gateways_, [now](const auto& item) {
    return now - item.second.heard > kForgetAfter;
  });
  auto open = std::vector<waiting>();
  for (auto& item : std::exchange(waiting_, {})) {
    if (IsTold(item.revision, now)) {
      item.done(true);
    } else if (now >= item.until) {
      item.done(false);
    } else {
      open.push_back(std::move(item));
    }
  }
  std::move(open.begin(), open.end(), std::back_inserter(waiting_));
}

auto drain_acks::Clear() -> void {
  gateways_.clear();
  for (const auto& item : std::exchange(waiting_, {})) {
    item.done(false);
  }
}

}  // namespace ebony
