#ifndef EBONY_ENTRY_ENTRY_DIRECTORY_H_
#define EBONY_ENTRY_ENTRY_DIRECTORY_H_

#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

struct directory_entry {
  vm_name vm;
  data_centre_name data_centre;
  host_port address;
  double weight = 0;  // relative share of new callers
};

struct directory_options {
  // A peer without a state report for this long is omitted.
  duration peer_timeout = std::chrono::milliseconds(2000);
};

// Lists the entry VMs that callers may use. The entries exchange state reports;
// an entry that has not reported recently, is draining or is not serving is
// omitted. The list is never empty: when no entry is known to serve, it
// contains all that possibly do.
class entry_directory {
  struct peer_state {
    directory_entry entry;
    mono_time last_report;
    bool has_reported = false;
    bool is_serving = false;
    bool is_draining = false;
    std::uint32_t in_flight = 0;
  };

  directory_options options_;
  vm_name self_;
  std::map<vm_name, peer_state> peers_;

 public:
  entry_directory(directory_options options,
                  vm_name self,
                  const std::vector<directory_entry>& entries);

  // Records the reported state of an entry, which may be this one. Ignores
  // unknown VMs. `in_flight` is a count of requests.
  auto OnStateReport(const vm_name& vm,
                     bool serving,
                     bool draining,
                     std::uint32_t in_flight,
                     mono_time now) -> void;
  // Returns the usable entries with their weights.
  auto ListEntries(mono_time now) const -> std::vector<directory_entry>;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ENTRY_DIRECTORY_H_
