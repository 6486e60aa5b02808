#include "control/slot_ledger.h"

#include <algorithm>

namespace ebony {

auto slot_ledger::GetWithheld(mono_time now) const -> double {
  const auto age = std::chrono::duration<double>(now - withheld_at_).count();
  return std::max(0.0, withheld_ - age * kReleaseRate);
}

auto slot_ledger::Report(const vm_name& vm, std::uint32_t slots, mono_time now)
    -> void {
  holdings_[vm] = {slots, now};
}

auto slot_ledger::OnRejected(mono_time now) -> void {
  if (withheld_ > 0 && now - withheld_at_ < kRejectionInterval) {
    return;
  }
  withheld_ = std::min<double>(GetWithheld(now) + 1, capacity_);
  withheld_at_ = now;
}

auto slot_ledger::Grant(const vm_name& vm, mono_time now) -> void {
  auto& item = holdings_[vm];
  ++item.slots;
  item.reported = now;
}

auto slot_ledger::CountHeld(mono_time now) const -> std::uint32_t {
  auto sum = std::uint32_t{0};
  for (const auto& [vm, item] : holdings_) {
    sum += now - item.reported <= kHoldTime ? item.slots : 0;
  }
  return sum;
}

auto slot_ledger::CountFree(mono_time now) const -> std::uint32_t {
  const auto room = std::max(1.0, capacity_ - GetWithheld(now));
  const auto held = static_cast<double>(CountHeld(now));
  return static_cast<std::uint32_t>(std::max(0.0, room - held));
}

auto slot_ledger::Expire(mono_time now) -> void {
  std::erase_if(holdings_, [now](const auto& entry) {
    return entry.second.slots == 0 || now - entry.second.reported > kHoldTime;
  });
}

}  // namespace ebony
