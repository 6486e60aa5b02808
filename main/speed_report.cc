#include "main/speed_report.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ebony {

auto speed_report::Update(const server_pace::speed_map& speeds,
                          metrics& counters,
                          mono_time now) -> void {
  if (updated_ != mono_time() && now - updated_ < kInterval) {
    return;
  }
  updated_ = now;
  counters.Set("ebony_uneven_servers", static_cast<double>(speeds.size()));
  auto slowest = std::vector<std::pair<double, backend_name>>();
  for (const auto& [id, item] : speeds) {
    slowest.emplace_back(item.speed, id);
  }
  std::sort(slowest.begin(), slowest.end());
  for (const auto& [speed, id] : slowest) {
    if (shown_.size() < kMaxServers) {
      shown_.insert(id);
    }
  }
  for (const auto& id : shown_) {
    const auto found = speeds.find(id);
    const auto labels = "{backend=\"" + id.get() + "\"}";
    counters.Set("ebony_server_speed" + labels,
                 found == speeds.end() ? 1 : found->second.speed);
    counters.Set("ebony_server_speed_spread" + labels,
                 found == speeds.end() ? 0 : found->second.spread);
    counters.Set(
        "ebony_server_speed_age_seconds" + labels,
        found == speeds.end()
            ? 0
            : std::chrono::duration<double>(found->second.age).count());
  }
}

}  // namespace ebony
