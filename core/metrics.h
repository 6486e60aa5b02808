#ifndef EBONY_CORE_METRICS_H_
#define EBONY_CORE_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ebony {

class distribution;

// Counters, gauges and distributions of one daemon, bounded in number. All
// calls may come from any thread.
class metrics {
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<distribution>> distributions_;
  std::uint64_t dropped_series_ = 0;

  auto HasRoom(std::size_t count) -> bool;

 public:
  metrics();
  ~metrics();

  // Adds to a counter. `series` is a name with optional Prometheus labels.
  auto Count(const std::string& series, std::uint64_t amount = 1) -> void;
  auto Set(const std::string& series, double value) -> void;
  // Adds one observation, in seconds, to a distribution.
  auto Observe(const std::string& series, double seconds) -> void;

  auto get_counter(const std::string& series) const -> std::uint64_t;
  // Returns all series in the Prometheus text exposition format.
  auto Render() const -> std::string;
};

}  // namespace ebony

#endif  // EBONY_CORE_METRICS_H_
