#ifndef EBONY_CONTROL_LOAD_TOTALS_H_
#define EBONY_CONTROL_LOAD_TOTALS_H_

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace ebony {

// Work in flight at one backend server.
struct load_amount {
  std::uint64_t requests = 0;
  std::uint64_t tokens = 0;  // prompt tokens queued for prefill
};
using load_report = std::map<backend_name, load_amount>;

// The total load of all gateways, updated incrementally: the cost of a report
// depends on its own rows and not on the number of gateways.
class load_totals {
  struct gateway {
    load_report report;
    mono_time last_report;
  };

  std::map<vm_name, gateway> gateways_;
  load_report totals_;

  auto Subtract(const load_report& report) -> void;

 public:
  // The load of a gateway whose last report is older than this is removed.
  static constexpr duration kReportTimeout = std::chrono::milliseconds(2500);

  // Replaces the load that the gateway on `vm` reported.
  auto Report(const vm_name& vm, load_report report, mono_time now) -> void;
  // Removes the load of gateways that have timed out.
  auto Expire(mono_time now) -> void;
  auto Clear() -> void;
  // Returns the total load of a backend server, zero when none is reported.
  auto Get(const backend_name& id) const -> load_amount;
  auto get_totals() const -> const load_report& { return totals_; }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_LOAD_TOTALS_H_
