#ifndef EBONY_DRIVERS_HTTP_SERVER_H_
#define EBONY_DRIVERS_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace ebony {

// Header names are in lower case.
using header_map = std::map<std::string, std::string>;

struct http_request {
  std::string method;
  std::string path;  // without the query
  std::map<std::string, std::string> query;
  header_map headers;
  std::string body;

  auto GetHeader(const std::string& name) const -> std::string;
};

// One request and its answer. It keeps itself alive until both the connection
// and the handler let go; every call may come from any thread, and calls after
// the connection's end have no effect.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
  enum class phase { waiting, whole, streaming, ended };

  mutable std::mutex mutex_;
  MHD_Connection* connection_;
  int socket_;
  phase phase_ = phase::waiting;
  bool suspended_ = false;
  bool queued_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  int status_ = 0;
  header_map headers_;
  std::string buffer_;
  std::function<void()> on_disconnect_;

  auto ResumeLocked() -> void;

 public:
  http_exchange(MHD_Connection* connection, int socket);

  // Answers.
  auto Respond(int status, const header_map& headers, std::string body) -> void;
  auto StartStream(int status, const header_map& headers) -> void;
  auto Write(std::string_view bytes) -> void;
  auto Finish() -> void;
  // Ends the connection so that the caller sees that the answer is not whole.
  auto Abort() -> void;
  // Called once if the caller goes away before the answer's end.
  auto SetOnDisconnect(std::function<void()> on_disconnect) -> void;

  // For the server.
  // Returns false when the answer has come already.
  auto SuspendIfWaiting() -> bool;
  auto QueueResponse() -> int;
  auto ReadStream(char* to, std::size_t limit) -> std::int64_t;
  auto OnConnectionEnd() -> void;
  auto HasCallerDisconnected() const -> bool;
  // Ends a connection whose caller has gone.
  auto Drop() -> void;

  auto is_open() const -> bool;
};

using exchange_pointer = std::shared_ptr<http_exchange>;

struct http_server_options {
  host_port address;
  std::size_t max_body_bytes = 1U << 20;
  unsigned threads = 2;
  unsigned max_connections = 4000;
  unsigned idle_timeout_s = 60;
};

// An HTTP/1.1 server. The handler is called from the server's threads once the
// whole request has arrived.
class http_server {
  http_server_options options_;
  std::function<void(http_request, exchange_pointer)> handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::set<exchange_pointer> open_;

 public:
  http_server(http_server_options options,
              std::function<void(http_request, exchange_pointer)> handler);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

  // Throws ebony_error when the address is wrong or taken.
  auto Start() -> void;
  // Refuses new connections; open ones go on.
  auto StopListening() -> void;
  auto Stop() -> void;
  // Finds callers that went away while they waited. Called now and then.
  auto DropDisconnectedCallers() -> void;

  // For the server's callbacks.
  auto Track(const exchange_pointer& exchange) -> void;
  auto Untrack(const exchange_pointer& exchange) -> void;
  auto Handle(http_request request, const exchange_pointer& exchange) -> void;
  auto get_max_body_bytes() const -> std::size_t {
    return options_.max_body_bytes;
  }

  auto get_port() const -> std::uint16_t { return port_; }
  auto GetOpenCount() -> std::size_t;
};

// Returns the headers and body of an answer of the closed list.
struct error_response {
  int status;
  header_map headers;
  std::string body;
};
auto MakeErrorResponse(error_kind kind,
                       ran_state ran,
                       const std::string& message) -> error_response;
auto RespondError(http_exchange& exchange,
                  error_kind kind,
                  ran_state ran,
                  const std::string& message) -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_SERVER_H_
