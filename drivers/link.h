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

// Another daemon to connect to.
struct link_peer {
  vm_name name;
  host_port address;
};

// A received frame, with the address for a reply.
struct inbound_frame {
  std::string route;  // routing id of the sender; empty when this is a reply
  schema::link_frame frame;
};

// The ZeroMQ connections of a daemon: a ROUTER socket that peers send to, and a
// DEALER socket to each peer. Delivery is at most once: a frame that cannot be
// sent immediately is dropped and counted, and the protocols above retry where
// it matters.
class link {
  struct sockets;
  struct outbound_frame {
    vm_name to;         // receiving peer, unless this is a reply
    std::string route;  // routing id to reply to
    schema::link_frame frame;
  };

  vm_name self_;
  host_port address_;
  std::vector<link_peer> peers_;
  std::function<void(inbound_frame)> on_frame_;
  metrics& metrics_;
  wakeup_event wakeup_event_;
  bounded_queue<outbound_frame> outbound_;
  std::atomic<bool> stopping_{false};
  std::unique_ptr<sockets> sockets_;
  worker_thread thread_;

  auto Run() -> void;
  auto SendQueued() -> void;
  auto Receive(bool from_router, std::size_t peer) -> void;

 public:
  // `on_frame` is called on the thread of the link.
  link(vm_name self,
       host_port address,
       std::vector<link_peer> peers,
       std::function<void(inbound_frame)> on_frame,
       metrics& counters);
  ~link();

  // Binds, starts to connect to the peers, and starts the thread. Throws
  // ebony_error when the address cannot be bound.
  auto Start() -> void;
  // Stops the thread and closes the sockets. Unsent frames are dropped.
  auto Stop() -> void;

  // Queue a frame for a peer, or for the sender of a received frame. May be
  // called from any thread. A frame is dropped and counted when the queue is
  // full.
  auto Send(const vm_name& to, schema::link_frame frame) -> void;
  auto Reply(const std::string& route, schema::link_frame frame) -> void;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_LINK_H_
