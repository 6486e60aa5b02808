#include "drivers/stream_socket.h"

#include <ace/INET_Addr.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "core/error_kind.h"

namespace ebony {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Reads of one connection in a round of the event loop. A peer that sends
// faster than its bytes are handled would otherwise keep all others waiting.
constexpr int kMaxReadsPerRound = 16;
// The kernel ends a connection when sent data stays unacknowledged for this
// long.
constexpr int kUserTimeoutMs = 2500;
constexpr int kBacklog = 512;
// A buffer up to this size is kept for the next bytes.
constexpr std::size_t kKeptBufferBytes = 16 * 1024;
// Time for the peer to close its side of a connection that was shut down.
constexpr duration kLingerTime = std::chrono::milliseconds(500);

auto SetOption(int fd, int level, int option, int value) -> void {
  // Failures are ignored: the options only shorten delays.
  static_cast<void>(::setsockopt(fd, level, option, &value, sizeof(value)));
}

auto SetTcpOptions(int fd) -> void {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

auto ParseAddress(const host_port& address, sockaddr_in& out) -> bool {
  auto parsed = ACE_INET_Addr();
  if (parsed.set(address.get().c_str(), AF_INET) != 0) {
    return false;
  }
  std::memcpy(&out, parsed.get_addr(), sizeof(out));
  return true;
}

}  // namespace

stream_socket::stream_socket(event_loop& loop) : loop_(loop) {}

stream_socket::~stream_socket() {
  Close();
}

auto stream_socket::Adopt(int fd, hooks new_hooks) -> void {
  fd_ = fd;
  hooks_ = std::move(new_hooks);
  is_connected_ = true;
  SetTcpOptions(fd_);
  loop_.AddDescriptor(
      fd_, true, false,
      [self = shared_from_this()](auto ready) { self->OnReady(ready); });
}

auto stream_socket::Connect(const host_port& address, hooks new_hooks) -> void {
  hooks_ = std::move(new_hooks);
  auto target = sockaddr_in();
  if (ParseAddress(address, target)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  const auto started =
      fd_ >= 0 && (::connect(fd_, reinterpret_cast<const sockaddr*>(&target),
                             sizeof(target)) == 0 ||
                   errno == EINPROGRESS);
  if (!started) {
    CloseAndReportLater(socket_close_reason::not_connected);
    return;
  }
  SetTcpOptions(fd_);
  loop_.AddDescriptor(
      fd_, false, true,
      [self = shared_from_this()](auto ready) { self->OnReady(ready); });
}

auto stream_socket::FinishConnect() -> bool {
  auto error = 0;
  auto size = static_cast<socklen_t>(sizeof(error));
  if (::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    CloseAndReport(socket_close_reason::not_connected);
    return false;
  }
  is_connected_ = true;
  return true;
}

auto stream_socket::OnReady(io_readiness ready) -> void {
  const auto self = shared_from_this();
  if (!is_connected_ && !FinishConnect()) {
    return;
  }
  if (ready.can_write) {
    if (const auto failure = Flush()) {
      CloseAndReport(*failure);
      return;
    }
  }
  if (ready.can_read && fd_ >= 0) {
    if (is_reading_) {
      ReadAvailable();
    } else {
      CheckPaused();
    }
  }
  if (fd_ >= 0) {
    UpdateEvents();
  }
}

// A connection that breaks is reported also while reading is paused.
auto stream_socket::CheckPaused() -> void {
  auto byte = '\0';
  const auto count = ::recv(fd_, &byte, sizeof(byte), MSG_PEEK);
  if (count == 0) {
    CloseAndReport(socket_close_reason::closed);
  } else if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
             errno != EINTR) {
    CloseAndReport(socket_close_reason::reset);
  }
}

auto stream_socket::ReadAvailable() -> void {
  auto buffer = std::array<char, kReadBytes>();
  for (auto reads = 0; fd_ >= 0 && is_reading_ && reads < kMaxReadsPerRound;
       ++reads) {
    const auto count = ::recv(fd_, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        CloseAndReport(socket_close_reason::reset);
      }
      return;
    }
    if (count == 0) {
      CloseAndReport(socket_close_reason::closed);
      return;
    }
    if (!is_closing_ && hooks_.on_bytes) {
      // Copied, because the hook may replace hooks_.
      const auto on_bytes = hooks_.on_bytes;
      on_bytes({buffer.data(), static_cast<std::size_t>(count)});
    }
    if (static_cast<std::size_t>(count) < buffer.size()) {
      return;
    }
  }
}

auto stream_socket::SendNow(std::string_view bytes, std::size_t& sent)
    -> std::optional<socket_close_reason> {
  while (fd_ >= 0 && sent < bytes.size()) {
    if (hooks_.may_send && !hooks_.may_send()) {
      return socket_close_reason::reset;
    }
    const auto rest = bytes.substr(sent);
    const auto count = ::send(fd_, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      const auto is_full = errno == EAGAIN || errno == EWOULDBLOCK;
      return is_full ? std::nullopt : std::optional(socket_close_reason::reset);
    }
    sent_bytes_ += static_cast<std::uint64_t>(count);
    sent += static_cast<std::size_t>(count);
  }
  return std::nullopt;
}

auto stream_socket::Flush() -> std::optional<socket_close_reason> {
  auto sent = std::size_t{0};
  const auto failure = SendNow(unsent_, sent);
  unsent_.erase(0, sent);
  ShrinkUnsent();
  if (failure) {
    return failure;
  }
  if (unsent_.empty() && is_closing_ && fd_ >= 0) {
    ShutDownWriting();
  }
  return std::nullopt;
}

auto stream_socket::ShrinkUnsent() -> void {
  if (unsent_.capacity() > kKeptBufferBytes &&
      unsent_.size() < unsent_.capacity() / 4) {
    // An assignment would keep the buffer if little is left.
    std::string(unsent_).swap(unsent_);
  }
  unsent_charge_.Set(unsent_.capacity());
}

auto stream_socket::UpdateEvents() -> void {
  loop_.ModifyDescriptor(fd_, is_connected_ && is_reading_,
                         !is_connected_ || !unsent_.empty());
}

auto stream_socket::SetAccounting(std::shared_ptr<const void> descriptor,
                                  memory_charge charge) -> void {
  descriptor_ = std::move(descriptor);
  unsent_charge_ = std::move(charge);
}

auto stream_socket::PauseReading() -> void {
  if (is_open() && is_reading_) {
    is_reading_ = false;
    UpdateEvents();
  }
}

auto stream_socket::ResumeReading() -> void {
  if (fd_ >= 0 && !is_reading_) {
    is_reading_ = true;
    UpdateEvents();
  }
}

auto stream_socket::Send(std::string_view bytes) -> void {
  if (!is_open()) {
    return;
  }
  auto sent = std::size_t{0};
  auto failure = std::optional<socket_close_reason>();
  if (is_connected_ && unsent_.empty()) {
    failure = SendNow(bytes, sent);
  }
  if (!failure && sent < bytes.size()) {
    unsent_.append(bytes.substr(sent));
    unsent_charge_.Set(unsent_.capacity());
  }
  if (failure) {
    CloseAndReportLater(*failure);
  } else if (is_connected_) {
    UpdateEvents();
  }
}

auto stream_socket::ShutDownWriting() -> void {
  if (linger_timer_ != timer_id()) {
    return;
  }
  ::shutdown(fd_, SHUT_WR);
  linger_timer_ = loop_.AddTimerIn(
      kLingerTime, [self = shared_from_this()] { self->Close(); });
}

auto stream_socket::CloseGracefully() -> void {
  if (fd_ < 0) {
    Close();  // a failure may still wait to be reported
    return;
  }
  if (is_closing_) {
    return;
  }
  is_closing_ = true;
  hooks_ = {};
  ResumeReading();
  if (unsent_.empty()) {
    ShutDownWriting();
  }
}

auto stream_socket::CloseAndReport(socket_close_reason reason) -> void {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  const auto on_close = std::move(hooks_.on_close);
  Close();
  if (on_close) {
    on_close(reason);
  }
}

auto stream_socket::CloseAndReportLater(socket_close_reason reason) -> void {
  auto on_close = std::move(hooks_.on_close);
  Close();
  report_timer_ = loop_.AddTimerIn(
      duration(0),
      [self = shared_from_this(), reason, on_close = std::move(on_close)] {
        if (on_close) {
          on_close(reason);
        }
      });
}

auto stream_socket::Close() -> void {
  is_closed_ = true;
  hooks_ = {};
  loop_.CancelTimer(linger_timer_);
  loop_.CancelTimer(report_timer_);
  if (fd_ < 0) {
    return;
  }
  const auto fd = std::exchange(fd_, -1);
  loop_.RemoveDescriptor(fd);
  ::close(fd);
  unsent_charge_ = memory_charge();
  descriptor_ = nullptr;
}

auto stream_socket::Reset() -> void {
  if (fd_ >= 0) {
    const auto discard = linger{1, 0};  // no linger time: sends a reset
    static_cast<void>(
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard)));
  }
  Close();
}

stream_acceptor::stream_acceptor(event_loop& loop,
                                 const host_port& address,
                                 std::function<void(int)> on_accept)
    : loop_(loop) {
  auto target = sockaddr_in();
  if (!ParseAddress(address, target)) {
    throw ebony_error(error_kind::invalid_request,
                      "invalid address: " + address.get());
  }
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  SetOption(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
  const auto is_listening =
      fd_ >= 0 &&
      ::bind(fd_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) ==
          0 &&
      ::listen(fd_, kBacklog) == 0;
  if (!is_listening) {
    const auto problem = std::string(std::strerror(errno));
    Stop();
    throw ebony_error(error_kind::internal,
                      "cannot listen on " + address.get() + ": " + problem);
  }
  loop_.AddDescriptor(fd_, true, false, [this, on_accept](io_readiness) {
    while (fd_ >= 0 && !is_paused_) {
      const auto fd =
          ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      on_accept(fd);
    }
  });
}

stream_acceptor::~stream_acceptor() {
  Stop();
}

auto stream_acceptor::Pause() -> void {
  is_paused_ = true;
  loop_.ModifyDescriptor(fd_, false, false);
}

auto stream_acceptor::Resume() -> void {
  if (is_paused_ && fd_ >= 0) {
    is_paused_ = false;
    loop_.ModifyDescriptor(fd_, true, false);
  }
}

auto stream_acceptor::Stop() -> void {
  if (fd_ < 0) {
    return;
  }
  const auto fd = std::exchange(fd_, -1);
  loop_.RemoveDescriptor(fd);
  ::close(fd);
}

auto stream_acceptor::GetPort() const -> std::uint16_t {
  auto bound = sockaddr_in();
  auto size = static_cast<socklen_t>(sizeof(bound));
  if (::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
    return 0;
  }
  return ntohs(bound.sin_port);
}

}  // namespace ebony
