#ifndef EBONY_DRIVERS_STREAM_SOCKET_H_
#define EBONY_DRIVERS_STREAM_SOCKET_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/memory_account.h"
#include "drivers/event_loop.h"

namespace ebony {

// Why a connection ended.
enum class socket_close_reason {
  not_connected,  // the connection was not established; nothing was sent
  closed,         // the peer closed its side in an orderly way
  reset,          // the connection broke
};

// A non-blocking TCP connection on an event loop. The loop owns a reference
// while the socket is open. Hooks run from the loop only, never inside a call
// of this class: they may end the object that makes the call.
class stream_socket : public std::enable_shared_from_this<stream_socket> {
 public:
  struct hooks {
    std::function<void(std::string_view)> on_bytes;
    std::function<void(socket_close_reason)> on_close;  // called at most once
    // Called right before bytes are passed to the kernel, also inside `Send`;
    // may be empty. If it returns false, nothing is sent and the connection is
    // closed.
    std::function<bool()> may_send;
  };

 private:
  event_loop& loop_;
  int fd_ = -1;
  bool is_connected_ = false;
  bool is_closing_ = false;  // sends the buffered bytes, then shuts down
  bool is_closed_ = false;   // the close is reported, or must not be
  bool is_reading_ = true;
  std::uint64_t sent_bytes_ = 0;
  std::string unsent_;
  // What is counted while the socket is open.
  std::shared_ptr<const void> descriptor_;
  memory_charge unsent_charge_;
  hooks hooks_;
  timer_id linger_timer_;
  timer_id report_timer_;  // set while a failure waits to be reported

  auto OnReady(io_readiness ready) -> void;
  auto FinishConnect() -> bool;
  auto CheckPaused() -> void;
  auto ReadAvailable() -> void;
  // Passes buffered bytes to the kernel. Returns why the connection has to be
  // closed, or std::nullopt.
  auto Flush() -> std::optional<socket_close_reason>;
  // Passes bytes to the kernel and counts them in `sent`.
  auto SendNow(std::string_view bytes, std::size_t& sent)
      -> std::optional<socket_close_reason>;
  // Frees a buffer that is much larger than what is left in it.
  auto ShrinkUnsent() -> void;
  auto CloseAndReport(socket_close_reason reason) -> void;
  // Closes at once, and reports it from the loop.
  auto CloseAndReportLater(socket_close_reason reason) -> void;
  auto UpdateEvents() -> void;
  auto ShutDownWriting() -> void;

 public:
  explicit stream_socket(event_loop& loop);
  ~stream_socket();
  stream_socket(const stream_socket&) = delete;
  auto operator=(const stream_socket&) -> stream_socket& = delete;

  // Takes ownership of an accepted descriptor.
  auto Adopt(int fd, hooks new_hooks) -> void;
  // Starts to connect. A failure is reported by `on_close`, and always after
  // this call has returned.
  auto Connect(const host_port& address, hooks new_hooks) -> void;
  auto SetHooks(hooks new_hooks) -> void { hooks_ = std::move(new_hooks); }

  // Counts the socket and what it buffers until it is closed.
  auto SetAccounting(std::shared_ptr<const void> descriptor,
                     memory_charge charge) -> void;
  // While reading is paused, the kernel buffers what the peer sends.
  auto PauseReading() -> void;
  auto ResumeReading() -> void;

  // Sends what the kernel accepts and buffers the rest. Bytes for a connection
  // that is closing or closed are dropped. A failure closes the connection at
  // once, and is reported after this call has returned.
  auto Send(std::string_view bytes) -> void;
  // Sends the buffered bytes and shuts down writing. The connection is closed
  // when the peer closes its side, or after 500 ms. No hook is called any more.
  auto CloseGracefully() -> void;
  // Closes at once. No hook is called any more.
  auto Close() -> void;
  // Closes at once with a TCP reset. No hook is called any more.
  auto Reset() -> void;

  // Bytes that the kernel accepted.
  auto get_sent_bytes() const -> std::uint64_t { return sent_bytes_; }
  // Bytes buffered until the kernel accepts them.
  auto get_unsent_bytes() const -> std::size_t { return unsent_.size(); }
  // False once the connection is closing.
  auto is_open() const -> bool { return fd_ >= 0 && !is_closing_; }
};

// A listening TCP socket. Passes each accepted descriptor to `on_accept`, which
// owns it from then on.
class stream_acceptor {
  event_loop& loop_;
  int fd_ = -1;
  bool is_paused_ = false;

 public:
  // Throws ebony_error when the address is invalid or cannot be bound.
  stream_acceptor(event_loop& loop,
                  const host_port& address,
                  std::function<void(int)> on_accept);
  ~stream_acceptor();
  stream_acceptor(const stream_acceptor&) = delete;
  auto operator=(const stream_acceptor&) -> stream_acceptor& = delete;

  // Leaves new connections to the kernel's queue.
  auto Pause() -> void;
  auto Resume() -> void;
  // Stops listening. Accepted connections stay open.
  auto Stop() -> void;
  // Returns the port that is bound, also for an address with port 0; returns 0
  // on failure.
  auto GetPort() const -> std::uint16_t;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_STREAM_SOCKET_H_
