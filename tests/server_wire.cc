#include "tests/server_wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <utility>

namespace ebony::testing {

namespace {

// A loopback address that no other test process uses: while a link is cut, its
// port is free for others.
auto GetOwnAddress() -> std::uint32_t {
  constexpr auto kNetwork = std::uint32_t{127} << 24U;
  constexpr auto kFirstHost = std::uint32_t{0x10000};
  return kNetwork |
         (kFirstHost + static_cast<std::uint32_t>(::getpid()) % 0xE00000U);
}

auto MakeLoopbackAddress(std::uint16_t port) -> sockaddr_in {
  auto address = sockaddr_in();
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(GetOwnAddress());
  address.sin_port = htons(port);
  return address;
}

}  // namespace

server_wire::server_wire(event_loop& loop, std::uint16_t port, host_port server)
    : loop_(loop), server_(std::move(server)), port_(port) {
  Listen();
}

server_wire::~server_wire() {
  CloseStuckDescriptors();
}

auto server_wire::CloseStuckDescriptors() -> void {
  for (const auto fd : std::exchange(stuck_descriptors_, {})) {
    ::close(fd);
  }
}

auto server_wire::GetAddress() const -> host_port {
  const auto address = in_addr{htonl(GetOwnAddress())};
  return host_port(std::string(::inet_ntoa(address)) + ":" +
                   std::to_string(port_));
}

auto server_wire::Listen() -> void {
  acceptor_ = std::make_unique<stream_acceptor>(
      loop_, GetAddress(), [this](int fd) { OnAccept(fd); });
}

auto server_wire::Forward(const std::shared_ptr<stream_socket>& to,
                          std::string& held,
                          std::string_view bytes) -> void {
  if (is_hanging_) {
    held.append(bytes);
  } else {
    to->Send(bytes);
  }
}

auto server_wire::ResetAtFirstByte(int fd) -> void {
  const auto item = std::make_shared<pipe>();
  item->caller = std::make_shared<stream_socket>(loop_);
  pipes_.push_back(item);
  auto hooks = stream_socket::hooks();
  hooks.on_bytes = [weak = std::weak_ptr<pipe>(item)](std::string_view) {
    if (const auto self = weak.lock()) {
      self->caller->Reset();
    }
  };
  item->caller->Adopt(fd, std::move(hooks));
}

auto server_wire::OnAccept(int fd) -> void {
  if (resets_new_) {
    ResetAtFirstByte(fd);
    return;
  }
  const auto item = std::make_shared<pipe>();
  item->caller = std::make_shared<stream_socket>(loop_);
  item->server = std::make_shared<stream_socket>(loop_);
  pipes_.push_back(item);
  const auto weak = std::weak_ptr<pipe>(item);
  auto from_server = stream_socket::hooks();
  from_server.on_bytes = [this, weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      Forward(self->caller, self->held_from_server, bytes);
    }
  };
  from_server.on_close = [weak](socket_close_reason reason) {
    if (const auto self = weak.lock()) {
      reason == socket_close_reason::closed ? self->caller->CloseGracefully()
                                            : self->caller->Reset();
    }
  };
  auto from_caller = stream_socket::hooks();
  from_caller.on_bytes = [this, weak](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      Forward(self->server, self->held_from_caller, bytes);
    }
  };
  from_caller.on_close = [this, weak](socket_close_reason) {
    const auto self = weak.lock();
    if (self != nullptr && !is_hanging_) {
      self->server->Close();
    }
  };
  item->server->Connect(server_, std::move(from_server));
  item->caller->Adopt(fd, std::move(from_caller));
}

// A listener whose queue is full drops the packets that open connections.
auto server_wire::LeaveUnanswered() -> void {
  constexpr auto kFillers = 2;
  const auto address = MakeLoopbackAddress(port_);
  const auto* target = reinterpret_cast<const sockaddr*>(&address);
  const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  BOOST_REQUIRE(::bind(listener, target, sizeof(address)) == 0);
  BOOST_REQUIRE(::listen(listener, 0) == 0);
  stuck_descriptors_.push_back(listener);
  for (auto i = 0; i < kFillers; ++i) {
    const auto filler =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    static_cast<void>(::connect(filler, target, sizeof(address)));
    stuck_descriptors_.push_back(filler);
  }
}

auto server_wire::ResetAll() -> void {
  for (const auto& item : std::exchange(pipes_, {})) {
    item->caller->Reset();
    if (item->server != nullptr) {
      item->server->Reset();
    }
  }
}

auto server_wire::Cut(cut_manner manner) -> void {
  switch (manner) {
    case cut_manner::hang:
      acceptor_.reset();
      is_hanging_ = true;
      LeaveUnanswered();
      break;
    case cut_manner::reset:
      acceptor_.reset();
      ResetAll();
      break;
    case cut_manner::refuse_new:
      acceptor_.reset();
      break;
    case cut_manner::swallow:
      is_hanging_ = true;
      break;
    case cut_manner::break_off:
      resets_new_ = true;
      ResetAll();
      break;
    case cut_manner::break_off_new:
      resets_new_ = true;
      break;
  }
}

auto server_wire::Heal() -> void {
  CloseStuckDescriptors();
  is_hanging_ = false;
  resets_new_ = false;
  for (const auto& item : pipes_) {
    if (item->server != nullptr) {
      item->server->Send(std::exchange(item->held_from_caller, {}));
      item->caller->Send(std::exchange(item->held_from_server, {}));
    }
  }
  if (acceptor_ == nullptr) {
    Listen();
  }
}

}  // namespace ebony::testing
