#ifndef EBONY_DRIVERS_STREAM_SOCKET_H_
#define EBONY_DRIVERS_STREAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "drivers/event_loop.h"

namespace ebony {

enum class socket_close_reason {
  not_connected,  // no connection came about, so nothing was sent
  closed,         // the peer closed its side in order
  reset,          // the connection broke
};

// A non-blocking TCP connection on an event loop. It lives as long as somebody
// holds it or the loop watches it.
class stream_socket : public std::enable_shared_from_this<stream_socket> {
 public:
  struct hooks {
    std::function<void(std::string_view)> on_bytes;
    std::function<void(socket_close_reason)> on_close;  // called at most once
  };

 private:
  event_loop& loop_;
  int fd_ = -1;
  bool is_connected_ = false;
  bool is_closing_ = false;  // sends what is left, then shuts down
  bool is_ended_ = false;
  std::uint64_t sent_bytes_ = 0;
  std::string unsent_;
  hooks hooks_;
  timer_id linger_timer_;

  auto OnReady(io_readiness ready) -> void;
  auto FinishConnect() -> bool;
  auto ReadAll() -> void;
  auto Flush() -> void;
  auto End(socket_close_reason reason) -> void;
  auto UpdateWatch() -> void;
  auto ShutDownWriting() -> void;

 public:
  explicit stream_socket(event_loop& loop);
  ~stream_socket();
  stream_socket(const stream_socket&) = delete;
  auto operator=(const stream_socket&) -> stream_socket& = delete;

  // Takes over an accepted descriptor.
  auto Adopt(int fd, hooks actions) -> void;
  // Starts to connect; a failure is reported through `on_close`, later.
  auto Connect(const host_port& address, hooks actions) -> void;
  auto SetHooks(hooks actions) -> void { hooks_ = std::move(actions); }

  // Sends at once what the kernel takes and keeps the rest.
  auto Send(std::string_view bytes) -> void;
  // Closes after everything is sent and the peer has seen it.
  auto CloseGracefully() -> void;
  // Closes at once; no hook is called any more.
  auto Close() -> void;
  // Closes at once with a reset.
  auto Reset() -> void;

  auto get_sent_bytes() const -> std::uint64_t { return sent_bytes_; }
  auto get_unsent_bytes() const -> std::size_t { return unsent_.size(); }
  auto is_open() const -> bool { return fd_ >= 0 && !is_closing_; }
};

// A listening socket that hands out accepted descriptors.
class stream_acceptor {
  event_loop& loop_;
  int fd_ = -1;

 public:
  // Throws ebony_error when the address cannot be bound.
  stream_acceptor(event_loop& loop,
                  const host_port& address,
                  std::function<void(int)> on_accept);
  ~stream_acceptor();
  stream_acceptor(const stream_acceptor&) = delete;
  auto operator=(const stream_acceptor&) -> stream_acceptor& = delete;

  auto Stop() -> void;
  // The port that it listens on, also when it was given port 0.
  auto GetPort() const -> std::uint16_t;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_STREAM_SOCKET_H_
