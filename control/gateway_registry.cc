#include "control/gateway_registry.h"

namespace ebony {

auto gateway_registry::Update(const gateway_info& record) -> bool {
  auto& known = gateways_[record.vm];
  if (record.last_seen < known.last_seen) {
    return false;  // reported by a relay that no longer serves this gateway
  }
  const auto changed = known.caller_address != record.caller_address ||
                       known.is_ready != record.is_ready;
  known = record;
  return changed;
}

auto gateway_registry::ListReady(mono_time now) const
    -> std::vector<gateway_info> {
  auto ready = std::vector<gateway_info>();
  for (const auto& [vm, record] : gateways_) {
    if (record.is_ready && now - record.last_seen <= kTimeout) {
      ready.push_back(record);
    }
  }
  return ready;
}

auto gateway_registry::CountReady(mono_time now) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [vm, record] : gateways_) {
    count += record.is_ready && now - record.last_seen <= kTimeout ? 1 : 0;
  }
  return count;
}

auto gateway_registry::CountLive(mono_time now) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [vm, record] : gateways_) {
    count += now - record.last_seen <= kTimeout ? 1 : 0;
  }
  return count;
}

}  // namespace ebony
