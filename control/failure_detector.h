#ifndef EBONY_CONTROL_FAILURE_DETECTOR_H_
#define EBONY_CONTROL_FAILURE_DETECTOR_H_

#include <map>
#include <set>
#include <vector>

#include "control/control_state.h"

namespace ebony {

struct failure_detector_options {
  // Silence after which a backend server is suspected, and after which an
  // entry's own claims count no more.
  duration suspect = std::chrono::milliseconds(3000);
  // Entries that must have lost a backend server before it is suspected.
  std::size_t observers = 2;
};

// Judges, on the leader, which backend servers are gone. Entries report only
// transitions: that they hear a backend server, and that they no longer do.
class failure_detector {
  struct watched_backend {
    incarnation run;
    std::set<vm_name> hearing;
    std::set<vm_name> lost;
    mono_time unheard_since;
  };

  failure_detector_options options_;
  mono_time leader_since_;
  std::map<backend_name, watched_backend> backends_;
  std::map<vm_name, mono_time> entry_polls_;

  auto Lose(watched_backend& watched, const vm_name& entry, mono_time now)
      -> void;
  auto DropSilentEntries(mono_time now) -> void;

 public:
  failure_detector(failure_detector_options options, mono_time leader_since);

  auto OnEntryPoll(const vm_name& entry, mono_time now) -> void;
  auto OnReachable(const vm_name& entry,
                   const backend_name& backend,
                   incarnation run,
                   mono_time now) -> void;
  auto OnUnreachable(const vm_name& entry,
                     const backend_name& backend,
                     incarnation run,
                     mono_time now) -> void;

  // Returns the backend servers to suspect now.
  auto FindSuspects(const control_data& data, mono_time now)
      -> std::vector<suspect_backend_command>;
  auto IsHeard(const backend_name& backend) const -> bool;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_FAILURE_DETECTOR_H_
