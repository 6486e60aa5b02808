#ifndef EBONY_MAIN_REQUEST_PARSER_H_
#define EBONY_MAIN_REQUEST_PARSER_H_

#include "drivers/http_server.h"
#include "entry/request_coordinator.h"

namespace ebony {

struct request_limits {
  duration default_timeout = std::chrono::seconds(30);
  duration max_timeout = std::chrono::seconds(60);
};

// Reads a caller's request: a completion in the OpenAI shape, or a call of a
// plain service. Throws ebony_error, which names the fault, and has no effect
// then. `caller` is who the connection proved to be, or empty.
auto ParseCallerRequest(const http_request& request,
                        const std::string& caller,
                        const request_limits& limits,
                        mono_time now) -> caller_request;

// Returns the service's name and the path behind it, for a service call.
struct service_path {
  service_name service;
  std::string path;
};
auto ParseServicePath(const std::string& path) -> std::optional<service_path>;

}  // namespace ebony

#endif  // EBONY_MAIN_REQUEST_PARSER_H_
