#ifndef EBONY_CONTROL_FAILURE_DETECTOR_H_
#define EBONY_CONTROL_FAILURE_DETECTOR_H_

#include <map>
#include <set>
#include <vector>

#include "control/control_state.h"

namespace ebony {

struct failure_detector_options {
  // Time without contact after which a backend server is suspected, and after
  // which the reports of an entry that stopped polling are discarded.
  duration suspect_timeout = std::chrono::milliseconds(3000);
  // Number of entries that must report a backend server unreachable before it
  // is suspected.
  std::size_t min_observers = 2;
};

// Detects failed backend servers on the leader from the reports of the entries.
// Entries report transitions only: a backend server became reachable, or became
// unreachable.
class failure_detector {
  struct observed_backend {
    incarnation run;
    std::set<vm_name> reachable_from;
    std::set<vm_name> unreachable_from;
    mono_time unreachable_since;
  };

  failure_detector_options options_;
  mono_time leader_since_;
  std::map<backend_name, observed_backend> backends_;
  std::map<vm_name, mono_time> last_polls_;

  auto MarkUnreachable(observed_backend& observed,
                       const vm_name& entry,
                       mono_time now) -> void;
  auto ExpireEntries(mono_time now) -> void;

 public:
  failure_detector(failure_detector_options options, mono_time leader_since);

  // Records that `entry` polled the leader at `now`.
  auto OnEntryPoll(const vm_name& entry, mono_time now) -> void;
  // Records that `entry` reaches run `run` of `backend`. Reports of earlier
  // runs are ignored; a newer run discards all reports of its predecessor.
  auto OnReachable(const vm_name& entry,
                   const backend_name& backend,
                   incarnation run,
                   mono_time now) -> void;
  // Records that `entry` no longer reaches run `run` of `backend`. Reports of
  // any other run are ignored.
  auto OnUnreachable(const vm_name& entry,
                     const backend_name& backend,
                     incarnation run,
                     mono_time now) -> void;

  // Returns the backend servers that are to be suspected at `now`, except those
  // already suspected or removed.
  auto FindSuspects(const control_data& data, mono_time now)
      -> std::vector<suspect_backend_command>;
  // True when at least one entry reaches `backend`.
  auto IsReachable(const backend_name& backend) const -> bool;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_FAILURE_DETECTOR_H_
