#include "core/software_versions.h"

#include <algorithm>

#include "core/hashing.h"

namespace ebony {

auto software_versions::Add(const stream_origin& item) -> bool {
  return items_.insert(item).second;
}

auto software_versions::Remove(const stream_origin& item) -> bool {
  return items_.erase(item) > 0;
}

auto software_versions::GetOnly(const service_name& service) const
    -> std::optional<software_version> {
  auto only = std::optional<software_version>();
  for (const auto& item : items_) {
    if (item.service != service) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = item.software;
  }
  return only;
}

auto software_versions::GetMixedServices() const -> std::set<service_name> {
  auto services = std::set<service_name>();
  const auto* previous = static_cast<const stream_origin*>(nullptr);
  for (const auto& item : items_) {  // ordered by service
    if (previous != nullptr && previous->service == item.service) {
      services.insert(item.service);
    }
    previous = &item;
  }
  return services;
}

auto software_versions::GetDigest() const -> std::uint32_t {
  auto digest = std::uint64_t{1};
  for (const auto& item : items_) {
    digest = HashBytes(item.service.get(), digest);
    digest = HashBytes(item.software.get(), digest);
  }
  return std::max(1U, static_cast<std::uint32_t>(digest));
}

}  // namespace ebony
