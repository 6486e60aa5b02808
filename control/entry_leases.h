#ifndef EBONY_CONTROL_ENTRY_LEASES_H_
#define EBONY_CONTROL_ENTRY_LEASES_H_

#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

struct entry_lease_options {
  // Time an entry may use its configuration, counted from its poll.
  duration lease = std::chrono::milliseconds(1500);
  // Added for clocks that run at different rates, in parts per thousand.
  int drift_permille = 10;
};

// Tracks, on the leader, which entries hold which configuration. A change is
// accepted once a majority of all entries hold it, and in force once no entry
// can act on an older one.
//
// Entries that were cut off from control may confirm each other's
// configuration: a majority of entries that holds no newer one proves that none
// was accepted. That is why acceptance waits for a majority of the entries too.
class entry_leases {
  entry_lease_options options_;
  std::vector<vm_name> entries_;
  std::map<vm_name, config_version> acked_;

  auto GetFullLease() const -> duration;

 public:
  entry_leases(entry_lease_options options, std::vector<vm_name> entries);

  // Records that `entry` holds `version`. An entry outside the set is ignored.
  // What an earlier run of the entry held counts on: a new run is blank until a
  // leader gives it everything that was committed.
  auto OnPoll(const vm_name& entry, config_version version) -> void;

  auto IsMember(const vm_name& entry) const -> bool;
  // True once a majority of all entries hold `version`.
  auto IsAccepted(config_version version) const -> bool;
  // True once every entry holds `version` or has no valid lease on an older
  // configuration. `accepted` is when this leader first saw it accepted: no
  // older lease starts after that.
  auto IsInForce(config_version version,
                 mono_time accepted,
                 mono_time now) const -> bool;
  auto GetStaleEntries(config_version version) const -> std::vector<vm_name>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_ENTRY_LEASES_H_
