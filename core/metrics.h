#ifndef EBONY_CORE_METRICS_H_
#define EBONY_CORE_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ebony {

class distribution;

// Counters, gauges and distributions of one daemon. Thread-safe. New series
// beyond a limit are dropped and counted.
class metrics {
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<distribution>> distributions_;
  std::uint64_t dropped_series_ = 0;

  // Returns whether a map of `count` series can take one more. Counts the
  // series as dropped otherwise.
  auto HasCapacity(std::size_t count) -> bool;

 public:
  metrics();
  ~metrics();

  // Adds to a counter. `series` is a name with optional Prometheus labels.
  auto Count(const std::string& series, std::uint64_t amount = 1) -> void;
  // Sets a gauge.
  auto Set(const std::string& series, double value) -> void;
  // Adds one observation, in seconds, to a distribution.
  auto Observe(const std::string& series, double seconds) -> void;

  // Returns 0 for an unknown counter.
  auto get_counter(const std::string& series) const -> std::uint64_t;
  // Returns all series in the Prometheus text exposition format.
  auto Render() const -> std::string;
};

}  // namespace ebony

#endif  // EBONY_CORE_METRICS_H_
