#ifndef EBONY_CORE_SITE_SETTINGS_H_
#define EBONY_CORE_SITE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"

namespace ebony {

// What a daemon is told of the site it runs on and of itself.
struct site_settings {
  vm_name vm;
  data_centre_name data_centre;
  std::string ip;

  // Addresses that this daemon serves; empty where it does not.
  host_port caller_address;
  host_port readiness_address;
  host_port operator_address;
  host_port directory_address;
  // First port for calls between daemons; the same on every VM.
  std::uint16_t link_port = 0;

  // Operator addresses of some coordinators.
  std::vector<host_port> seeds;
  bool is_first_start = false;  // of the whole system, on empty disks
  std::string data_folder;

  std::uint32_t tolerated_losses = 0;  // VMs with a disk, at once
  std::uint32_t max_descriptors = 0;
  duration announce_interval{0};  // between announcements of a backend server
  duration drain_limit{0};        // from a leave to the last new request
  duration stop_grace{0};         // from SIGTERM to SIGKILL
  duration directory_ttl_limit{0};
  // Repeats allowed in a window: ratio x requests + slack, over all daemons.
  double repeat_ratio = 0;
  double repeat_slack = 0;
  duration repeat_window{0};
  // Orders of two holders are further apart than this.
  duration order_lease{0};
  // Loads from the weight store in a window: rate x window x factor + burst.
  duration load_window{0};
  double load_factor = 1;
};

}  // namespace ebony

#endif  // EBONY_CORE_SITE_SETTINGS_H_
