#ifndef EBONY_CONTROL_PERMIT_RELAY_H_
#define EBONY_CONTROL_PERMIT_RELAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "control/permit_queue.h"
#include "control/slot_ledger.h"
#include "core/ids.h"
#include "core/permit_report.h"

namespace ebony {

// Passes on what the gateways of one relay ask for in sum, and shares the
// permits granted to the relay among them, so that the leader's work does not
// grow with the number of gateways.
class permit_relay {
  struct server_state {
    std::uint64_t start_time_ms = 0;
    std::optional<request_limit> news;  // since the latest report
    permit_queue queue;
    std::deque<mono_time> granted;  // times of the permits that are left
    std::uint32_t returned = 0;     // since the latest report
    bool has_asked = false;         // the latest report asked for permits
    slot_ledger slots;              // that its gateways hold
    std::uint32_t rejected = 0;     // since the latest report
    std::uint32_t reported_held = 0;
  };

  std::map<backend_name, server_state> servers_;

 public:
  // Permits that no gateway took within this time are returned.
  static constexpr duration kPermitLifetime = std::chrono::milliseconds(300);

  // Takes the report of the gateway on `vm`.
  auto Request(const vm_name& vm, const permit_report& report, mono_time now)
      -> void;
  // Returns the permits for the gateway on `vm`, which is about to get them.
  auto Take(const vm_name& vm, mono_time now) -> permit_counts;
  // Returns the reports to the leader, and clears the counts in them.
  auto TakeReports(mono_time now) -> std::vector<permit_report>;
  // Takes the permits that the leader granted to this relay.
  auto OnGranted(const permit_counts& permits, mono_time now) -> void;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PERMIT_RELAY_H_
