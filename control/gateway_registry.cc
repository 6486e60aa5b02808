#include "control/gateway_registry.h"

namespace ebony {

auto gateway_registry::Update(const gateway_info& info) -> bool {
  auto& known = gateways_[info.vm];
  if (info.last_seen < known.last_seen) {
    return false;  // reported by a relay that no longer serves this gateway
  }
  const auto was_listed =
      known.is_ready && info.last_seen - known.last_seen <= kTimeout;
  counts_.is_valid = counts_.is_valid && was_listed == info.is_ready;
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

auto gateway_registry::Count(mono_time now) -> const counts& {
  if (counts_.is_valid && now - counts_.counted_at < kMaxCountAge) {
    return counts_;
  }
  counts_ = counts();
  counts_.is_valid = true;
  counts_.counted_at = now;
  auto known = std::size_t{0};
  for (const auto& [vm, info] : gateways_) {
    const auto age = now - info.last_seen;
    counts_.ready += info.is_ready && age <= kTimeout ? 1 : 0;
    known += info.is_ready && age <= kGoneTimeout ? 1 : 0;
  }
  if (known > 0) {
    counts_.reachable_share =
        static_cast<double>(counts_.ready) / static_cast<double>(known);
  }
  return counts_;
}

auto gateway_registry::CountReady(mono_time now) -> std::size_t {
  return Count(now).ready;
}

auto gateway_registry::GetReachableShare(mono_time now) -> double {
  return Count(now).reachable_share;
}

auto gateway_registry::CountLive(mono_time now) const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [vm, info] : gateways_) {
    count += now - info.last_seen <= kTimeout ? 1 : 0;
  }
  return count;
}

}  // namespace ebony
