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
#include "drivers/body_receiver.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace ebony {

// Header fields by their names in lower case.
using header_map = std::map<std::string, std::string>;

// A complete request.
struct http_request {
  std::string method;
  std::string path;  // without the query
  std::map<std::string, std::string> query;
  header_map headers;
  std::string body;
  // Charges the process for the body while the request exists.
  body_pointer body_charge;

  // Returns the value of a header field, or an empty string when there is none.
  // `name` is in lower case.
  auto GetHeader(const std::string& name) const -> std::string;
};

// A request and its response, owned jointly by the connection and the handler.
// All methods may be called from any thread. Responses after the connection has
// closed are ignored.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
  enum class phase { no_response, complete, streaming, closed };

  mutable std::mutex mutex_;
  MHD_Connection* connection_;
  int socket_;
  phase phase_ = phase::no_response;
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

  // Sends a complete response.
  auto Respond(int status, const header_map& headers, std::string body) -> void;
  // Starts a response whose body is sent by `Write` and ended by `Finish`.
  auto StartStream(int status, const header_map& headers) -> void;
  // Sends a part of the body. Aborts the response when a slow caller has more
  // than 8 MiB unread.
  auto Write(std::string_view bytes) -> void;
  auto Finish() -> void;
  // Closes the connection without an end of the body, so that the caller sees
  // that the response is incomplete.
  auto Abort() -> void;
  // Sets a hook that is called once if the caller disconnects before the
  // response is complete.
  auto SetOnDisconnect(std::function<void()> on_disconnect) -> void;

  // The methods below are for the server.

  // Suspends the connection until there is a response. Returns false when there
  // is one already.
  auto SuspendIfWaiting() -> bool;
  // Passes the response to libmicrohttpd and returns its MHD_Result.
  auto QueueResponse() -> int;
  // Content reader of a stream: copies up to `limit` bytes to `target` and
  // returns their number, or 0 after suspending the connection, or an MHD end
  // code.
  auto ReadStream(char* target, std::size_t limit) -> std::int64_t;
  auto OnConnectionClosed() -> void;
  // True when the connection is suspended and the peer has closed it.
  auto HasCallerDisconnected() const -> bool;
  // Calls the disconnect hook and aborts the response.
  auto Drop() -> void;

  // False once the connection has closed.
  auto is_open() const -> bool;
};

using exchange_pointer = std::shared_ptr<http_exchange>;

struct http_server_options {
  host_port address;
  std::size_t max_body_bytes = 1U << 20;
  // Of the bodies of all requests, those being received and those in progress.
  std::uint64_t max_held_body_bytes = std::uint64_t{256} << 20;
  // Called with the reason when a body is turned away. May be empty.
  std::function<void(std::string_view)> on_body_turned_away = {};
  unsigned threads = 2;
  // At most; the limit of descriptors may allow fewer.
  unsigned max_connections = 4000;
  unsigned idle_timeout_s = 60;
};

// An HTTP/1.1 server based on libmicrohttpd. The handler is called on a thread
// of the server for each complete request.
class http_server {
  http_server_options options_;
  std::function<void(http_request, exchange_pointer)> handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::set<exchange_pointer> open_;
  unsigned max_connections_;
  body_receiver bodies_;

 public:
  http_server(http_server_options options,
              std::function<void(http_request, exchange_pointer)> handler);
  ~http_server();
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;

  // Throws ebony_error when the address is invalid or cannot be bound.
  auto Start() -> void;
  // Stops accepting connections. Open ones continue.
  auto StopListening() -> void;
  // Aborts open exchanges and stops the server.
  auto Stop() -> void;
  // Drops the exchanges whose caller disconnected while the connection was
  // suspended, which libmicrohttpd does not detect. To be called periodically.
  auto DropDisconnectedCallers() -> void;

  // The methods below are for the callbacks of libmicrohttpd.
  auto Track(const exchange_pointer& exchange) -> void;
  auto Untrack(const exchange_pointer& exchange) -> void;
  auto Handle(http_request request, const exchange_pointer& exchange) -> void;
  auto get_bodies() -> body_receiver& { return bodies_; }

  auto get_port() const -> std::uint16_t { return port_; }
  // Returns the number of exchanges whose connection is open.
  auto GetOpenCount() -> std::size_t;
};

// Response for an error_kind.
struct error_response {
  int status;
  header_map headers;
  std::string body;
};
// Builds the response, with a JSON body of the error code, the message and
// whether the request ran.
auto MakeErrorResponse(error_kind kind,
                       ran_state ran,
                       const std::string& message) -> error_response;
auto RespondError(http_exchange& exchange,
                  error_kind kind,
                  ran_state ran,
                  const std::string& message) -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_SERVER_H_
