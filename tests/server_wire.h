#ifndef EBONY_TESTS_SERVER_WIRE_H_
#define EBONY_TESTS_SERVER_WIRE_H_

#include <memory>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "drivers/stream_socket.h"

namespace ebony::testing {

// How a partition shows at the caller's end of a link.
enum class cut_manner {
  hang,        // connections go silent, and new ones get no answer
  reset,       // connections are reset, and new ones refused
  refuse_new,  // connections live on, and new ones are refused
  // Half open: new connections are accepted, but no byte comes back.
  swallow,        // all connections go silent
  break_off,      // all are reset, new ones at their first byte
  break_off_new,  // connections live on, new ones are reset at their first byte
};

// The link from one gateway to one server: a proxy on loopback that can be cut.
class server_wire {
  struct pipe {
    std::shared_ptr<stream_socket> caller;
    std::shared_ptr<stream_socket> server;
    std::string held_from_caller;
    std::string held_from_server;
  };

  event_loop& loop_;
  host_port server_;
  std::uint16_t port_;
  bool is_hanging_ = false;
  bool resets_new_ = false;  // at their first byte
  std::unique_ptr<stream_acceptor> acceptor_;
  std::vector<std::shared_ptr<pipe>> pipes_;
  std::vector<int> stuck_descriptors_;  // that leave new connections unanswered

  auto Listen() -> void;
  auto OnAccept(int fd) -> void;
  // Accepts a connection that is reset at its first byte.
  auto ResetAtFirstByte(int fd) -> void;
  auto ResetAll() -> void;
  auto Forward(const std::shared_ptr<stream_socket>& to,
               std::string& held,
               std::string_view bytes) -> void;
  auto LeaveUnanswered() -> void;
  auto CloseStuckDescriptors() -> void;

 public:
  // Listens on `port` of the loopback address.
  server_wire(event_loop& loop, std::uint16_t port, host_port server);
  ~server_wire();
  server_wire(const server_wire&) = delete;
  auto operator=(const server_wire&) -> server_wire& = delete;

  auto Cut(cut_manner manner) -> void;
  auto Heal() -> void;
  auto GetAddress() const -> host_port;
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_SERVER_WIRE_H_
