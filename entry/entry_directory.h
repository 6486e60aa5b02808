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
  double weight = 0;  // share of new callers, larger takes more
};

struct directory_options {
  // Silence after which a peer is left out.
  duration peer_timeout = std::chrono::milliseconds(2000);
};

// Answers which entry VMs callers may use. Peers tell their state to each
// other; one that is silent, draining or not current is left out. The answer is
// never empty: when nobody is known to serve, it lists everyone who may.
class entry_directory {
  struct peer_state {
    directory_entry entry;
    mono_time heard;
    bool is_heard = false;
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

  // Records what an entry, also this one, says of itself.
  auto OnStateReport(const vm_name& vm,
                     bool serving,
                     bool draining,
                     std::uint32_t in_flight,
                     mono_time now) -> void;
  auto ListEntries(mono_time now) const -> std::vector<directory_entry>;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ENTRY_DIRECTORY_H_
