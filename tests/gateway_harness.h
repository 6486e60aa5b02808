#ifndef EBONY_TESTS_GATEWAY_HARNESS_H_
#define EBONY_TESTS_GATEWAY_HARNESS_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/backend_registry.h"
#include "core/metrics.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/stream_socket.h"
#include "main/gateway_daemon.h"
#include "schema/site.pb.h"

namespace ebony::testing {

// What a scripted server does with one request.
struct server_script {
  // Bytes to send, in turn; `$ID` stands for the request's id.
  std::vector<std::string> sends;
  enum class ending { keep, close, reset, hang } end = ending::keep;
};

// A request as it reached a scripted server.
struct received_request {
  std::string id;
  http_head head;
  std::string body;
  bool is_gone = false;  // its connection was closed before the answer
};

// A server on loopback that answers from a list of scripts; without one it
// answers whole and well.
class scripted_server {
  struct session;

  event_loop& loop_;
  std::deque<server_script>& common_scripts_;  // for whichever server is next
  std::deque<server_script> scripts_;
  std::vector<std::shared_ptr<session>> sessions_;

  auto TakeScript() -> server_script;
  auto Answer(session& item) -> void;

  std::unique_ptr<stream_acceptor> acceptor_;
  std::vector<std::shared_ptr<received_request>> arrived_;
  int connections_ = 0;

 public:
  scripted_server(event_loop& loop,
                  std::string id,
                  std::deque<server_script>& common_scripts);

  std::string id;
  auto Expect(server_script script) -> void;
  auto GetAddress() const -> host_port;
  // Accepts no connection any more.
  auto Stop() -> void { acceptor_->Stop(); }
  auto get_received() const
      -> const std::vector<std::shared_ptr<received_request>>& {
    return arrived_;
  }
  auto get_connections() const -> int { return connections_; }
};

// What a caller got on its connection.
struct caller_response {
  int status = 0;
  http_head head;
  std::string body;
  bool is_whole = false;
  bool is_closed = false;  // ended before the answer was whole
};

// The real gateway daemon on loopback, with a scripted coordinator, scripted
// servers and raw callers, all on one event loop.
class gateway_harness {
  struct caller;

  event_loop loop_;
  event_log log_{"test", 0};
  metrics counters_;
  std::string config_;
  std::uint64_t config_number_ = 1;
  backend_registry roster_{backend_registry_options()};
  std::unique_ptr<http_listener> coordinator_;
  std::unique_ptr<gateway_daemon> gateway_;
  site_settings settings_;
  std::vector<std::shared_ptr<caller>> callers_;
  std::uint64_t sequence_ = 0;
  bool is_silent_ = false;
  // Earlier gateways; their timers still name them.
  std::vector<std::unique_ptr<gateway_daemon>> former_;
  std::deque<server_script> common_scripts_;

  auto Change(std::size_t server,
              const std::function<void(backend_status&)>& change) -> void;
  auto OnSync(const incoming_request& call, const response_pointer& answer)
      -> void;

 public:
  std::vector<std::unique_ptr<scripted_server>> servers;
  std::vector<schema::sync_request> syncs;

  explicit gateway_harness(int server_count);
  ~gateway_harness();

  // Sets what the next server that is asked does.
  auto ExpectNext(server_script script) -> void {
    common_scripts_.push_back(std::move(script));
  }
  // Sends bytes on a new connection and returns what becomes of it.
  auto Call(const std::string& bytes) -> std::shared_ptr<caller_response>;
  // Closes a caller's connection.
  auto Leave(const std::shared_ptr<caller_response>& view) -> void;
  auto SetLeaving(std::size_t server) -> void;
  // Makes a server one of the engine service `e`, with these models.
  auto SetEngine(std::size_t server,
                 const std::vector<std::string>& models,
                 std::uint32_t slots) -> void;
  auto SetConfig(const std::string& text, std::uint64_t number) -> void;
  // Starts the gateway anew, with nothing known.
  auto Restart() -> void;
  // Makes the coordinator answer no sync.
  auto SetSilent(bool is_silent) -> void { is_silent_ = is_silent; }
  // Runs until `done`, or fails the test after five seconds.
  auto RunUntil(const std::function<bool()>& done) -> void;
  auto RunFor(duration time) -> void;
  auto get_gateway() -> gateway_daemon& { return *gateway_; }
  auto get_counters() -> metrics& { return counters_; }
};

// Makes a request for a route of the harness's configuration: `plain` is
// idempotent, `once` runs at most once, `stream` and `resume` are streams.
auto MakeRequest(const std::string& route,
                 const std::string& id,
                 const std::string& fields = {},
                 const std::string& body = {}) -> std::string;

// Renders a server's whole answer with its signature.
auto MakeAnswer(int status, const std::string& body) -> std::string;

}  // namespace ebony::testing

#endif  // EBONY_TESTS_GATEWAY_HARNESS_H_
