#include "main/backend_calls.h"

#include "codec/record_codec.h"
#include "main/request_parser.h"

namespace ebony {

namespace {

using std::chrono::milliseconds;

// Time that a transfer may outlast the deadline of its request.
constexpr auto kTransferGrace = milliseconds(5000);

// Returns the value of the Priority header of RFC 9218.
auto GetUrgency(priority_class priority) -> std::string {
  switch (priority) {
    case priority_class::urgent:
      return "u=0";
    case priority_class::interactive:
      return "u=3";
    case priority_class::batch:
      break;
  }
  return "u=6";
}

auto MakeBackendCall(const host_port& address, const std::string& path)
    -> http_call {
  auto call = http_call();
  call.url = "http://" + address.get() + path;
  call.connection = connection_use::own;
  return call;
}

auto MakeAttemptHeaders(const dispatch_action& attempt,
                        const http_request& request)
    -> std::vector<std::string> {
  const auto left =
      std::chrono::duration_cast<milliseconds>(attempt.time_left).count();
  auto headers =
      std::vector<std::string>{"X-Request-Timeout-Ms: " + std::to_string(left),
                               "Priority: " + GetUrgency(attempt.priority)};
  if (!request.GetHeader("content-type").empty()) {
    headers.push_back("Content-Type: " + request.GetHeader("content-type"));
  }
  if (!request.GetHeader("idempotency-key").empty()) {
    headers.push_back("Idempotency-Key: " +
                      request.GetHeader("idempotency-key"));
  }
  if (attempt.resume_after > 0) {
    headers.push_back("Last-Event-ID: " + std::to_string(attempt.resume_after));
  }
  return headers;
}

}  // namespace

auto MakeAttemptCall(const dispatch_action& attempt,
                     const http_request& request) -> http_call {
  const auto service = ParseServicePath(request.path);
  auto call =
      MakeBackendCall(attempt.address, service ? service->path : request.path);
  call.method = request.method;
  call.body = request.body;
  // The coordinator cancels an attempt at its deadline. This timeout ends a
  // transfer that the coordinator no longer tracks.
  call.timeout = attempt.time_left + kTransferGrace;
  call.headers = MakeAttemptHeaders(attempt, request);
  return call;
}

auto MakeOrderCall(const order_send& send, const std::string& order_key)
    -> http_call {
  auto call = MakeBackendCall(send.address, "/v1/orders");
  auto body = ToSchema(send.body);
  body.set_backend_incarnation(send.run.get());
  call.body = RenderJson(body);
  call.headers = {"Content-Type: application/json"};
  if (!order_key.empty()) {
    call.headers.push_back("Authorization: Bearer " + order_key);
  }
  call.timeout = kOrderTimeout;
  return call;
}

}  // namespace ebony
