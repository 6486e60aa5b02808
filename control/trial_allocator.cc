#include "control/trial_allocator.h"

namespace ebony {

auto trial_allocator::Restart(mono_time now) -> void {
  trials_.clear();
  not_before_ = now + kTakeoverDelay;
}

auto trial_allocator::Request(const vm_name& vm,
                              const std::vector<suspect_key>& keys,
                              mono_time now) -> std::vector<suspect_key> {
  const auto listed = std::set<suspect_key>(keys.begin(), keys.end());
  std::erase_if(trials_, [&](const auto& item) {
    const auto is_returned =
        item.second.holder == vm && !listed.contains(item.first);
    return is_returned || now - item.second.renewed > kLease;
  });
  auto held = std::vector<suspect_key>();
  if (now < not_before_) {
    return held;
  }
  for (const auto key : keys) {
    auto& lent = trials_.try_emplace(key, trial{vm, now}).first->second;
    if (lent.holder == vm) {
      lent.renewed = now;
      held.push_back(key);
    }
  }
  return held;
}

}  // namespace ebony
