#include "control/caller_directory.h"

#include <algorithm>
#include <utility>

namespace ebony {

caller_directory::caller_directory(random_source random)
    : random_(std::move(random)) {}

auto caller_directory::Update(const gateway_registry& gateways, mono_time now)
    -> void {
  if (is_updated_ && now - updated_ < kMaxAge) {
    return;
  }
  is_updated_ = true;
  updated_ = now;
  addresses_.clear();
  for (const auto& info : gateways.ListForCallers(now)) {
    addresses_[info.data_centre].push_back(info.caller_address);
  }
}

auto caller_directory::Sample(std::vector<host_port>& list, std::size_t count)
    -> void {
  for (auto i = std::size_t{0}; i < count && count < list.size(); ++i) {
    std::swap(list[i], list[i + random_(list.size() - i)]);
  }
}

auto caller_directory::Choose(const data_centre_name& data_centre)
    -> std::vector<host_port> {
  auto& near = addresses_[data_centre];
  auto far = std::vector<host_port>();
  for (const auto& [name, list] : addresses_) {
    if (name != data_centre) {
      far.insert(far.end(), list.begin(), list.end());
    }
  }
  const auto far_room =
      kMaxAddresses - std::min(near.size(), kMaxNearAddresses);
  const auto far_count = std::min(far.size(), far_room);
  const auto near_count = std::min(near.size(), kMaxAddresses - far_count);
  Sample(near, near_count);
  Sample(far, far_count);
  auto chosen = std::vector<host_port>(
      near.begin(), near.begin() + static_cast<std::ptrdiff_t>(near_count));
  chosen.insert(chosen.end(), far.begin(),
                far.begin() + static_cast<std::ptrdiff_t>(far_count));
  return chosen;
}

}  // namespace ebony
