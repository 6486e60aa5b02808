#include "core/software_history.h"

namespace ebony {

auto software_history::Observe(const service_name& service,
                               const software_version& software,
                               mono_time now) -> void {
  if (!since_) {
    since_ = now;
  }
  versions_[service].insert(software);
}

auto software_history::GetOnly(const service_name& service, mono_time now) const
    -> std::optional<software_version> {
  const auto found = versions_.find(service);
  if (!since_ || now - *since_ < kMinHistory || found == versions_.end() ||
      found->second.size() != 1) {
    return std::nullopt;
  }
  return *found->second.begin();
}

}  // namespace ebony
