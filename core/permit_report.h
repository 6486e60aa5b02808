#ifndef EBONY_CORE_PERMIT_REPORT_H_
#define EBONY_CORE_PERMIT_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/request_limit.h"

namespace ebony {

// What a gateway, or a relay for its gateways, says of a backend server that
// limits its requests, and which permits it asks for.
struct permit_report {
  backend_name id;
  std::uint64_t start_time_ms = 0;  // of the server's run
  // Set if the server's latest answer differs from what the leader announced.
  std::optional<request_limit> news;
  std::uint32_t waiting = 0;   // requests that wait for a permit
  std::uint32_t expected = 0;  // further requests that may arrive soon
  std::uint32_t returned = 0;  // permits that were not used in time
  // Of a server that falls over above a number of rejections:
  std::uint32_t held = 0;      // requests in flight there, and unused permits
  std::uint32_t rejected = 0;  // requests that it turned away
};

// A run of a backend server and the limit that it has.
struct limited_server {
  backend_name id;
  std::uint64_t start_time_ms = 0;
  std::uint32_t slots = 0;  // requests that it runs at once
  request_limit limit;
};

// Numbers of permits by backend server.
using permit_counts = std::map<backend_name, std::uint32_t>;

}  // namespace ebony

#endif  // EBONY_CORE_PERMIT_REPORT_H_
