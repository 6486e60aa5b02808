#include "control/trial_relay.h"

#include <algorithm>
#include <utility>

namespace ebony {

auto trial_relay::Request(const vm_name& vm,
                          std::vector<suspect_key> keys,
                          mono_time now) -> std::vector<suspect_key> {
  auto held = std::vector<suspect_key>();
  if (const auto found = held_.find(vm); found != held_.end()) {
    // Keys that the gateway gives back here may go to another one.
    std::erase_if(found->second, [&keys](auto key) {
      return std::find(keys.begin(), keys.end(), key) == keys.end();
    });
    held = found->second;
  }
  requests_[vm] = {std::move(keys), now};
  return held;
}

auto trial_relay::ListRequests(mono_time now) -> trial_lists {
  std::erase_if(requests_, [now](const auto& item) {
    return now - item.second.received > kGatewayTimeout;
  });
  auto lists = trial_lists();
  for (const auto& [vm, item] : requests_) {
    if (!item.keys.empty() || held_.contains(vm)) {
      lists[vm] = item.keys;
    }
  }
  return lists;
}

auto trial_relay::OnGranted(trial_lists held) -> void {
  held_ = std::move(held);
}

auto trial_relay::HasRequests() const -> bool {
  return std::any_of(requests_.begin(), requests_.end(), [](const auto& item) {
    return !item.second.keys.empty();
  });
}

}  // namespace ebony
