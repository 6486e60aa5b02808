#ifndef EBONY_DRIVERS_LINK_H_
#define EBONY_DRIVERS_LINK_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/bounded_queue.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "drivers/wakeup_event.h"
#include "drivers/worker_thread.h"
#include "schema/link.pb.h"

namespace ebony {

struct link_peer {
  vm_name name;
  host_port address;
};

// A frame that arrived, with the way back to its sender.
struct inbound_frame {
  std::string route;  // empty when it came as a reply
  schema::link_frame frame;
};

// The ZeroMQ links of one daemon: a ROUTER that others send to, and a DEALER
// to each peer. Frames are sent at most once: what a peer cannot take at once
// is dropped and counted, and the protocols above repeat what matters.
class link {
  struct sockets;
  struct outbound_frame {
    vm_name to;         // for a peer
    std::string route;  // else for a reply
    schema::link_frame frame;
  };

  vm_name self_;
  host_port address_;
  std::vector<link_peer> peers_;
  std::function<void(inbound_frame)> on_frame_;
  metrics& metrics_;
  wakeup_event wake_;
  bounded_queue<outbound_frame> outbound_;
  std::atomic<bool> stopping_{false};
  std::unique_ptr<sockets> sockets_;
  worker_thread thread_;

  auto Run() -> void;
  auto SendWaiting() -> void;
  auto Receive(bool from_router, std::size_t peer) -> void;

 public:
  // `on_frame` is called from the link's thread.
  link(vm_name self,
       host_port address,
       std::vector<link_peer> peers,
       std::function<void(inbound_frame)> on_frame,
       metrics& counters);
  ~link();

  // Binds and connects; throws ebony_error when the address is taken.
  auto Start() -> void;
  auto Stop() -> void;

  // Queues a frame; may be called from any thread.
  auto Send(const vm_name& to, schema::link_frame frame) -> void;
  auto Reply(const std::string& route, schema::link_frame frame) -> void;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_LINK_H_
