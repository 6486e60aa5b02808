#include "control/entry_leases.h"

#include <algorithm>
#include <utility>

namespace ebony {

entry_leases::entry_leases(entry_lease_options options,
                           std::vector<vm_name> entries)
    : options_(options), entries_(std::move(entries)) {}

auto entry_leases::GetFullLease() const -> duration {
  return options_.lease + options_.lease * options_.drift_permille / 1000;
}

auto entry_leases::IsMember(const vm_name& entry) const -> bool {
  return std::find(entries_.begin(), entries_.end(), entry) != entries_.end();
}

auto entry_leases::OnPoll(const vm_name& entry, config_version version)
    -> void {
  if (IsMember(entry)) {
    acked_[entry] = std::max(acked_[entry], version);
  }
}

auto entry_leases::IsAccepted(config_version version) const -> bool {
  const auto holding = std::count_if(
      acked_.begin(), acked_.end(),
      [version](const auto& item) { return item.second >= version; });
  return static_cast<std::size_t>(holding) * 2 > entries_.size();
}

auto entry_leases::IsInForce(config_version version,
                             mono_time accepted,
                             mono_time now) const -> bool {
  if (!IsAccepted(version)) {
    return false;
  }
  return now >= accepted + GetFullLease() || GetStaleEntries(version).empty();
}

auto entry_leases::GetStaleEntries(config_version version) const
    -> std::vector<vm_name> {
  auto missing = std::vector<vm_name>();
  for (const auto& entry : entries_) {
    const auto found = acked_.find(entry);
    if (found == acked_.end() || found->second < version) {
      missing.push_back(entry);
    }
  }
  return missing;
}

}  // namespace ebony
