#ifndef EBONY_DRIVERS_HTTP_LISTENER_H_
#define EBONY_DRIVERS_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "drivers/caller_guard.h"
#include "drivers/event_loop.h"
#include "drivers/http_message.h"
#include "drivers/stream_socket.h"

namespace ebony {

// A complete request.
struct incoming_request {
  http_head head;
  std::string body;
  mono_time received_at;  // when its first bytes were read
  // Earliest time at which its first bytes may have arrived; before
  // `received_at` if this process stood still.
  mono_time arrived_after;
};

// Limits on the size of a request and on the time that a caller takes to send
// it.
struct connection_limits {
  std::uint32_t head_bytes = 64 * 1024;
  std::uint64_t body_bytes = 8 * 1024 * 1024;
  // From the first byte of a request to the end of its header.
  duration head_timeout = std::chrono::seconds(5);
  // Between two requests, and between two parts of a body.
  duration idle_timeout = std::chrono::seconds(30);
};

class http_connection;

// Writes the response to one request. Calls after the response is final or the
// connection has closed are ignored.
class response_writer {
  std::weak_ptr<http_connection> connection_;
  bool is_head_request_ = false;
  bool has_begun_ = false;
  bool is_final_ = false;
  std::function<void()> on_disconnect_;
  // What the request holds, counted as long as the handler keeps this object.
  memory_charge charge_;

  friend class http_connection;

 public:
  response_writer(std::weak_ptr<http_connection> connection,
                  bool is_head_request);

  // Sends a complete response, with its length.
  auto Respond(http_head head, std::string_view body) -> void;
  // Sends the header of a chunked response. `Append` sends parts of its body
  // and `Finish` ends it.
  auto Begin(http_head head) -> void;
  auto Append(std::string_view bytes) -> void;
  auto Finish() -> void;
  // Closes the connection without an end of the body, so that the caller does
  // not take the response for complete.
  auto Abort() -> void;

  // Sets a hook that is called once when the caller disconnects before the
  // response is final.
  auto SetOnDisconnect(std::function<void()> hook) -> void;
  // True once `Begin` has been called.
  auto has_begun() const -> bool { return has_begun_; }
  auto is_final() const -> bool { return is_final_; }
  // Returns the number of bytes buffered for the caller.
  auto GetUnsentBytes() const -> std::size_t;
};

using response_pointer = std::shared_ptr<response_writer>;
using request_handler = std::function<void(incoming_request, response_pointer)>;

// An HTTP/1.1 server on an event loop. The handler is called for each complete
// request.
class http_listener {
 public:
  struct options {
    // Called for each request, so that limits can change at run time.
    std::function<connection_limits()> get_limits;
    // While it returns true, each response closes its connection.
    std::function<bool()> is_closing;
    // Returns the largest body of a request with this head, in bytes, within
    // the limits; may be empty.
    std::function<std::uint64_t(const http_head&)> get_body_limit = {};
    // Keeps the callers within the memory and descriptors of the VM; nullptr:
    // without such limits.
    std::shared_ptr<caller_guard> guard = {};
    // For other daemons, which get descriptors and memory that callers do not.
    bool is_reserved = false;
    // Returns how long a request with this head may wait for memory; empty: it
    // may not.
    std::function<duration(const http_head&)> get_memory_wait = {};
    // Copies of a body that are made while its request is handled.
    std::uint64_t body_copies = 1;
  };

 private:
  event_loop& loop_;
  options options_;
  request_handler handler_;
  std::set<std::shared_ptr<http_connection>> connections_;
  // Sockets that are closed once the rest of an answer is sent.
  struct closing_socket {
    std::weak_ptr<stream_socket> socket;
    std::uint64_t member = 0;  // of the guard
  };
  std::vector<closing_socket> closing_;
  std::unique_ptr<stream_acceptor> acceptor_;
  std::shared_ptr<std::function<void()>> on_descriptor_;

  auto Accept(int fd) -> void;
  auto AddClosing(const std::shared_ptr<stream_socket>& socket,
                  client_address client) -> void;
  auto DropClosed() -> void;

  friend class http_connection;

 public:
  // Throws ebony_error when the address is invalid or cannot be bound.
  http_listener(event_loop& loop,
                const host_port& address,
                options listener_options,
                request_handler handler);
  ~http_listener();

  // Stops listening. Open connections continue.
  auto StopAccepting() -> void;
  // Closes the connections that wait for a request.
  auto CloseIdle() -> void;
  auto CloseAll() -> void;
  // Number of open connections.
  // Bytes of answers that the callers' sockets have not taken yet.
  auto GetUnsentBytes() -> std::size_t;
  auto get_connections() const -> std::size_t { return connections_.size(); }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_LISTENER_H_
