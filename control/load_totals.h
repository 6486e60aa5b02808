#ifndef EBONY_CONTROL_LOAD_TOTALS_H_
#define EBONY_CONTROL_LOAD_TOTALS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Work in flight at one backend server.
struct load_amount {
  std::uint64_t requests = 0;
  std::uint64_t tokens = 0;  // prompt tokens queued for prefill

  auto is_zero() const -> bool { return requests == 0 && tokens == 0; }
};

// The same, of the server with this number in the backend index.
struct load_row {
  std::uint32_t number = 0;
  load_amount amount;
};
using load_report = std::vector<load_row>;

// The total load of all gateways, updated incrementally: the cost of a report
// depends on its own rows and not on the number of gateways.
class load_totals {
  struct gateway {
    load_report report;
    mono_time last_report;
  };

  std::map<vm_name, gateway> gateways_;
  std::vector<load_amount> totals_;  // by number

  auto Subtract(const load_report& report) -> void;

 public:
  // The load of a gateway whose last report is older than this is removed.
  static constexpr duration kReportTimeout = std::chrono::milliseconds(2500);

  // Replaces the load that the gateway on `vm` reported. Its numbers must be
  // those of known servers: the totals are a table by number.
  auto Report(const vm_name& vm, load_report report, mono_time now) -> void;
  // Removes the load of gateways that have timed out.
  auto Expire(mono_time now) -> void;
  // Removes all loads. To be called when the numbers change.
  auto Clear() -> void;
  // Returns the total load of a backend server, zero when none is reported.
  auto Get(std::uint32_t number) const -> load_amount;
  // Returns the servers that have a load, in the order of their numbers.
  auto GetReport() const -> load_report;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_LOAD_TOTALS_H_
