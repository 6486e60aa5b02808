#ifndef EBONY_CORE_SITE_SETTINGS_H_
#define EBONY_CORE_SITE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Settings of one daemon: its identity, its addresses, and the limits of the
// site that it runs on.
struct site_settings {
  vm_name vm;
  data_centre_name data_centre;
  std::string ip;

  // Listening addresses of this daemon; empty for an interface that it does not
  // serve.
  host_port caller_address;
  host_port readiness_address;
  host_port operator_address;
  host_port directory_address;
  host_port peer_address;  // for requests that other gateways hand over
  // First port for requests between daemons; the same on every VM.
  std::uint16_t link_port = 0;

  // Operator addresses of the seeds: the coordinators that vote at the first
  // start and that other daemons contact first.
  std::vector<host_port> seeds;
  bool is_bootstrap = false;  // first start of the whole system, on empty disks
  std::string data_folder;

  // VMs with a disk that may be lost at the same time.
  std::uint32_t tolerated_vm_losses = 0;
  std::uint32_t max_descriptors = 0;  // open file descriptors
  duration announce_interval{0};      // between announcements of one server
  // Time after the acknowledgement of a configuration from which no gateway may
  // act on an older one.
  duration config_limit{0};
  // Time after a server's leave until it gets no more new requests.
  duration drain_limit{0};
  duration stop_grace{0};  // from SIGTERM to SIGKILL
  duration directory_ttl_limit{0};
  // Retries allowed in a window, for all daemons together:
  // ratio * requests + slack.
  double retry_ratio = 0;
  double retry_slack = 0;
  duration retry_window{0};
  // Minimum time between the orders of one leader and those of the next.
  duration order_lease{0};
  // Loads from the weight store allowed in a window:
  // rate * window * factor + burst.
  duration load_window{0};
  double load_burst_factor = 1;
  // Bound of what an organisation uses in a window, over all gateways:
  // (rate * window + burst) * (1 + tolerance) + slack.
  duration quota_window{0};
  double quota_tolerance = 0;
  double quota_slack = 0;
  // Memory and share of a core of this VM.
  std::uint32_t memory_mb = 0;  // 0: unknown
  double core_share = 0;        // 0: unknown
};

}  // namespace ebony

#endif  // EBONY_CORE_SITE_SETTINGS_H_
