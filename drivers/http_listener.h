#ifndef EBONY_DRIVERS_HTTP_LISTENER_H_
#define EBONY_DRIVERS_HTTP_LISTENER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "drivers/event_loop.h"
#include "drivers/http_message.h"
#include "drivers/stream_socket.h"

namespace ebony {

// A whole request as it arrived.
struct incoming_request {
  http_head head;
  std::string body;
  mono_time received_at;  // when its first bytes were read
};

// Bounds on what a caller may send and on how long it may take.
struct connection_limits {
  std::uint32_t head_bytes = 64 * 1024;
  std::uint64_t body_bytes = 8 * 1024 * 1024;
  duration head_timeout = std::chrono::seconds(5);
  duration idle_timeout = std::chrono::seconds(30);
};

class http_connection;

// The answer to one request. Only the first final answer counts.
class response_writer {
  std::weak_ptr<http_connection> connection_;
  bool is_head_request_ = false;
  bool has_begun_ = false;
  bool is_final_ = false;
  std::function<void()> on_disconnect_;

  friend class http_connection;

 public:
  response_writer(std::weak_ptr<http_connection> connection,
                  bool is_head_request);

  // Sends a whole answer.
  auto Respond(http_head head, std::string_view body) -> void;
  // Sends the head of a chunked answer; pieces follow.
  auto Begin(http_head head) -> void;
  auto Append(std::string_view bytes) -> void;
  auto Finish() -> void;
  // Closes the connection, so that what was sent cannot look complete.
  auto Abort() -> void;

  // Called once when the caller closes before the final answer.
  auto SetOnDisconnect(std::function<void()> hook) -> void;
  auto has_begun() const -> bool { return has_begun_; }
  auto is_final() const -> bool { return is_final_; }
  // Bytes that the caller has not taken yet.
  auto GetUnsentBytes() const -> std::size_t;
};

using response_pointer = std::shared_ptr<response_writer>;
using call_handler = std::function<void(incoming_request, response_pointer)>;

// Serves HTTP/1.1 on one address, on an event loop.
class http_listener {
 public:
  struct options {
    std::function<connection_limits()> get_limits;
    // True while every answer should end its connection.
    std::function<bool()> is_closing;
  };

 private:
  event_loop& loop_;
  options options_;
  call_handler handler_;
  std::set<std::shared_ptr<http_connection>> connections_;
  std::unique_ptr<stream_acceptor> acceptor_;

  friend class http_connection;

 public:
  http_listener(event_loop& loop,
                const host_port& address,
                options choices,
                call_handler handler);
  ~http_listener();

  auto StopAccepting() -> void;
  auto CloseIdle() -> void;
  auto CloseAll() -> void;
  auto get_connections() const -> std::size_t { return connections_.size(); }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_LISTENER_H_
