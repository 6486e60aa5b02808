#ifndef EBONY_ENTRY_RETRY_ALLOWANCE_H_
#define EBONY_ENTRY_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <map>

#include "core/ids.h"

namespace ebony {

// Limits of the retries to one service, over all gateways.
struct retry_allowance_options {
  double ratio = 0.2;  // retries per request
  double slack = 0;    // retries per window in addition to `ratio`
  duration window = std::chrono::seconds(10);
  // Fraction of the allowance that is used. The rest covers the retries made in
  // the same window by gateways that have stopped since.
  double used_fraction = 0.6;
};

// Share of this gateway in the retries that all gateways together may send to a
// service in any window. The part proportional to requests counts the requests
// of this gateway only. The fixed part is divided by the largest number of
// gateways seen, so that the shares never add up to more than the limit.
class retry_allowance {
  // Counts of one second.
  struct bucket {
    mono_time begin;
    double requests = 0;
    double retries = 0;
  };

  retry_allowance_options options_;
  std::size_t gateway_count_ = 1;
  std::map<service_name, std::deque<bucket>> services_;

  auto GetBucket(const service_name& service, mono_time now) -> bucket&;

 public:
  explicit retry_allowance(retry_allowance_options options);

  // Reports the current number of gateways. A smaller number than before has no
  // effect.
  auto SetGatewayCount(std::size_t count) -> void;
  auto OnRequest(const service_name& service, mono_time now) -> void;
  // Returns whether one more retry is allowed, without counting it.
  auto CanRetry(const service_name& service, mono_time now) -> bool;
  // Counts one retry. Returns false when none is left.
  auto TryConsume(const service_name& service, mono_time now) -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_RETRY_ALLOWANCE_H_
