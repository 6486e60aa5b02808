#include "control/gateway_registry.h"

namespace ebony {

auto gateway_registry::Update(const gateway_info& info) -> bool {
  auto& known = gateways_[info.vm];
  if (info.last_seen < known.last_seen) {
    return false;  // reported by a relay that no longer serves this gateway
  }
  const auto changed = known.caller_address != info.caller_address ||
                       known.is_ready != info.is_ready;
  known = info;
  return changed;
}

auto gateway_registry::ListReady(mono_time now) const
    -> std::vector<gateway_info> {
  auto ready = std::vector<gateway_info>();
  for (const auto& [vm, info] : gateways_) {
    if (info.is_ready && now - info.last_seen <= kTimeout) {
      ready.push_back(info);
    }
  }
  return ready;
}

auto gateway_registry::ListForCallers(mono_time now) const
    -> std::vector<gateway_info> {
  const auto ready = ListReady(now);
  auto usable = std::vector<gateway_info>();
  for (const auto& info : ready) {
    if (!info.reaches_no_server) {
      usable.push_back(info);
    }
  }
  return usable.empty() ? ready : usable;
}

auto gateway_registry::CountReady(mono_time now) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [vm, info] : gateways_) {
    count += info.is_ready && now - info.last_seen <= kTimeout ? 1 : 0;
  }
  return count;
}

auto gateway_registry::GetReachableShare(mono_time now) const -> double {
  auto reachable = 0;
  auto known = 0;
  for (const auto& [vm, info] : gateways_) {
    const auto age = now - info.last_seen;
    if (info.is_ready && age <= kGoneTimeout) {
      ++known;
      reachable += age <= kTimeout ? 1 : 0;
    }
  }
  return known == 0 ? 1.0 : static_cast<double>(reachable) / known;
}

auto gateway_registry::CountLive(mono_time now) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [vm, info] : gateways_) {
    count += now - info.last_seen <= kTimeout ? 1 : 0;
  }
  return count;
}

}  // namespace ebony
