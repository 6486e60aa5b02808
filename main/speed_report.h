#ifndef EBONY_MAIN_SPEED_REPORT_H_
#define EBONY_MAIN_SPEED_REPORT_H_

#include <cstddef>
#include <set>

#include "core/ids.h"
#include "core/metrics.h"
#include "entry/server_pace.h"

namespace ebony {

// Shows the speeds of servers that differ from the others of their service as
// metrics, of a bounded number of servers.
class speed_report {
  std::set<backend_name> shown_;
  mono_time updated_;

 public:
  // Servers that get a series, the slowest first.
  static constexpr std::size_t kMaxServers = 32;
  static constexpr duration kInterval = std::chrono::seconds(2);

  auto Update(const server_pace::speed_map& speeds,
              metrics& counters,
              mono_time now) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_SPEED_REPORT_H_
