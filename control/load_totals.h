#ifndef EBONY_CONTROL_LOAD_TOTALS_H_
#define EBONY_CONTROL_LOAD_TOTALS_H_

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace ebony {

// Work under way at one backend server.
struct load_amount {
  std::uint64_t requests = 0;
  std::uint64_t tokens = 0;  // of prompts that wait to be read
};
using load_report = std::map<backend_name, load_amount>;

// The work of all gateways together, kept up to date with each report: a report
// costs its own rows, however many gateways there are.
class load_totals {
  struct gateway {
    load_report report;
    mono_time heard;
  };

  std::map<vm_name, gateway> gateways_;
  load_report totals_;

  auto Take(const load_report& report) -> void;

 public:
  // A gateway that was not heard for this long counts no more.
  static constexpr duration kMemory = std::chrono::milliseconds(2500);

  auto Report(const vm_name& vm, load_report report, mono_time now) -> void;
  auto Expire(mono_time now) -> void;
  auto Clear() -> void;
  auto Get(const backend_name& id) const -> load_amount;
  auto get_totals() const -> const load_report& { return totals_; }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_LOAD_TOTALS_H_
