#ifndef EBONY_CONTROL_ENTRY_LEASES_H_
#define EBONY_CONTROL_ENTRY_LEASES_H_

#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

struct entry_lease_options {
  // Time for which an entry may use its configuration, counted from its poll.
  duration lease = std::chrono::milliseconds(1500);
  // Margin for clocks that run at different rates, in parts per thousand of
  // the lease.
  int drift_permille = 10;
};

// Tracks, on the leader, which configuration version each entry holds. A change
// is accepted once a majority of all entries hold it, and in force once no
// entry can act on an older version.
//
// Entries that are partitioned from the control group may confirm each other's
// configuration: if a majority of them holds no newer version, then no newer
// version was accepted. Acceptance therefore requires a majority of the entries
// in addition to the commit.
class entry_leases {
  entry_lease_options options_;
  std::vector<vm_name> entries_;
  std::map<vm_name, config_version> acked_;

  auto GetFullLease() const -> duration;

 public:
  entry_leases(entry_lease_options options, std::vector<vm_name> entries);

  // Records that `entry` holds `version`. Entries that are not members are
  // ignored. Versions held by an earlier run of the entry still count, since a
  // new run has no configuration until a leader sends it all committed state.
  auto OnPoll(const vm_name& entry, config_version version) -> void;

  // True when `entry` is one of the entries given to the constructor.
  auto IsMember(const vm_name& entry) const -> bool;
  // True once a majority of all entries hold `version`.
  auto IsAccepted(config_version version) const -> bool;
  // True once every entry holds `version` or has no valid lease on an older
  // one. `accepted` is the time at which this leader first saw it accepted; no
  // lease on an older version starts after that.
  auto IsInForce(config_version version,
                 mono_time accepted,
                 mono_time now) const -> bool;
  // Returns the entries that do not hold `version` yet.
  auto GetStaleEntries(config_version version) const -> std::vector<vm_name>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_ENTRY_LEASES_H_
