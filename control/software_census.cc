#include "control/software_census.h"

#include <algorithm>

namespace ebony {

namespace {

// Returns false for a server of which only the departure is known.
auto HasService(const backend_record& record) -> bool {
  return record.status.service != service_name();
}

auto GetOrigin(const backend_record& record) -> stream_origin {
  return {record.status.service, record.status.software};
}

}  // namespace

auto software_census::Plan(const backend_registry& registry,
                           const software_versions& versions,
                           mono_time now) -> software_change {
  auto change = software_change();
  for (const auto& [id, record] : registry.get_records()) {
    if (HasService(record)) {
      last_listed_[GetOrigin(record)] = now;
    }
  }
  for (const auto& item : versions.get_items()) {
    const auto listed = last_listed_.try_emplace(item, now).first->second;
    if (now - listed > kLifetime) {
      change.removed.push_back(item);
    }
  }
  for (const auto& [item, listed] : last_listed_) {
    if (listed == now && !versions.Contains(item)) {
      change.added.push_back(item);
    }
  }
  std::erase_if(last_listed_, [&](const auto& item) {
    return now - item.second > kLifetime;
  });
  return change;
}

auto HasAllVersions(const software_versions& versions,
                    const backend_registry& registry) -> bool {
  const auto& records = registry.get_records();
  return std::all_of(records.begin(), records.end(), [&](const auto& item) {
    return !HasService(item.second) ||
           versions.Contains(GetOrigin(item.second));
  });
}

}  // namespace ebony
