#ifndef EBONY_MAIN_REQUEST_PARSER_H_
#define EBONY_MAIN_REQUEST_PARSER_H_

#include "drivers/http_server.h"
#include "entry/request_coordinator.h"

namespace ebony {

// Timeouts of requests without and with the X-Request-Timeout-Ms header.
struct request_limits {
  duration default_timeout = std::chrono::seconds(30);
  duration max_timeout = std::chrono::seconds(60);
};

// Parses a caller's request, which is a completion in the format of the OpenAI
// API or a call of a plain service. `caller` is the authenticated name of the
// caller, or empty without authentication. Throws ebony_error when the request
// is malformed.
auto ParseCallerRequest(const http_request& request,
                        const std::string& caller,
                        const request_limits& limits,
                        mono_time now) -> caller_request;

struct service_path {
  service_name service;
  std::string path;  // forwarded to the backend server
};
// Splits a path below /v1/services/. Returns std::nullopt for any other path.
auto ParseServicePath(const std::string& path) -> std::optional<service_path>;

}  // namespace ebony

#endif  // EBONY_MAIN_REQUEST_PARSER_H_
