#ifndef EBONY_ENTRY_RETRY_ALLOWANCE_H_
#define EBONY_ENTRY_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <map>

#include "core/ids.h"

namespace ebony {

struct retry_allowance_options {
  double ratio = 0.2;  // repeats for each request
  double slack = 0;    // repeats besides, over all gateways
  duration window = std::chrono::seconds(10);
  // Part of the allowance that is used; the rest covers repeats that gateways
  // which have ended made in the same window.
  double used_fraction = 0.6;
};

// This gateway's share of the repeats that all gateways together may send to a
// service in any window. The part that grows with requests counts this
// gateway's own; the fixed part is divided by the largest number of gateways
// seen lately, so that the shares never add up to more than the whole.
class retry_allowance {
  struct slice {
    mono_time begin;
    double requests = 0;
    double repeats = 0;
  };

  retry_allowance_options options_;
  std::size_t gateways_ = 1;
  std::map<service_name, std::deque<slice>> services_;

  auto GetSlice(const service_name& service, mono_time now) -> slice&;

 public:
  explicit retry_allowance(retry_allowance_options options);

  auto SetGatewayCount(std::size_t count) -> void;
  auto OnRequest(const service_name& service, mono_time now) -> void;
  auto CanRetry(const service_name& service, mono_time now) -> bool;
  // Takes one repeat. Returns false when the share is used up.
  auto TryConsume(const service_name& service, mono_time now) -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_RETRY_ALLOWANCE_H_
