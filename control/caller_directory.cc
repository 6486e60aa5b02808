#include "control/caller_directory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebony {

namespace {

// Resolution of the random numbers that are compared with capacities.
constexpr std::uint64_t kRandomSteps = 1U << 20U;

}  // namespace

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
  const auto list = gateways.ListForCallers(now);
  for (const auto& info : list) {
    addresses_[info.data_centre].push_back({info.caller_address, 1});
  }
  SetCapacities(list);
}

// What a gateway can carry is limited by its processor share or by its memory,
// whichever is smaller beside the largest. If a single one is unknown, all
// count as equal.
auto caller_directory::SetCapacities(const std::vector<gateway_info>& gateways)
    -> void {
  are_uneven_ = false;
  auto most_cores = 0.0;
  auto most_memory = 0.0;
  for (const auto& info : gateways) {
    if (info.millicores == 0 || info.memory_mb == 0) {
      return;
    }
    most_cores = std::max(most_cores, static_cast<double>(info.millicores));
    most_memory = std::max(most_memory, static_cast<double>(info.memory_mb));
  }
  auto capacities = std::map<host_port, double>();
  auto largest = 0.0;
  auto smallest = 1.0;
  for (const auto& info : gateways) {
    const auto capacity =
        std::min(info.millicores / most_cores, info.memory_mb / most_memory);
    capacities[info.caller_address] = capacity;
    largest = std::max(largest, capacity);
    smallest = std::min(smallest, capacity);
  }
  if (largest <= kMinDifference * smallest) {
    return;
  }
  are_uneven_ = true;
  for (auto& [name, list] : addresses_) {
    for (auto& item : list) {
      item.capacity = capacities[item.address] / largest;
    }
    std::stable_sort(
        list.begin(), list.end(),
        [](const listed_gateway& left, const listed_gateway& right) {
          return left.capacity > right.capacity;
        });
  }
}

auto caller_directory::Sample(std::vector<listed_gateway>& list,
                              std::size_t count) -> void {
  for (auto i = std::size_t{0}; i < count && count < list.size(); ++i) {
    std::swap(list[i], list[i + random_(list.size() - i)]);
  }
}

auto caller_directory::Thin(std::vector<listed_gateway>& list,
                            std::size_t least) -> void {
  auto kept = std::vector<listed_gateway>();
  auto left_out = std::vector<listed_gateway>();
  for (const auto& item : list) {
    const auto draw = static_cast<double>(random_(kRandomSteps)) / kRandomSteps;
    (draw < item.capacity ? kept : left_out).push_back(item);
  }
  for (auto i = std::size_t{0}; i < left_out.size() && kept.size() < least;
       ++i) {
    kept.push_back(left_out[i]);
  }
  list = std::move(kept);
}

auto caller_directory::Choose(const data_centre_name& data_centre)
    -> std::vector<host_port> {
  auto near = addresses_[data_centre];
  auto far = std::vector<listed_gateway>();
  for (const auto& [name, list] : addresses_) {
    if (name != data_centre) {
      far.insert(far.end(), list.begin(), list.end());
    }
  }
  const auto far_room =
      kMaxAddresses - std::min(near.size(), kMaxNearAddresses);
  auto far_count = std::min(far.size(), far_room);
  auto near_count = std::min(near.size(), kMaxAddresses - far_count);
  if (are_uneven_) {
    // Those of the caller's data centre keep their part of the answer.
    const auto far_per_near =
        near_count == 0
            ? static_cast<double>(kMaxAddresses)
            : static_cast<double>(far_count) / static_cast<double>(near_count);
    Thin(near, kMinAddresses / 2);
    Thin(far, kMinAddresses / 2);
    near_count = std::min(near.size(), near_count);
    const auto far_part = static_cast<std::size_t>(
        std::lround(far_per_near *
                    static_cast<double>(std::max<std::size_t>(1, near_count))));
    far_count = std::min({far.size(), far_count, far_part});
  }
  Sample(near, near_count);
  Sample(far, far_count);
  auto chosen = std::vector<host_port>();
  for (auto i = std::size_t{0}; i < near_count; ++i) {
    chosen.push_back(near[i].address);
  }
  for (auto i = std::size_t{0}; i < far_count; ++i) {
    chosen.push_back(far[i].address);
  }
  return chosen;
}

}  // namespace ebony
