#include "drivers/link.h"

#include <unistd.h>

#include <utility>
#include <zmq.hpp>

#include "core/error_kind.h"

namespace ebony {

namespace {

constexpr std::size_t kOutboundCapacity = 16384;  // frames
constexpr int kSendHighWaterMark = 4096;          // frames per socket
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 2000;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 500;
constexpr auto kMaxPollTime = std::chrono::milliseconds(200);
constexpr std::size_t kMaxFrameBytes = 256U << 20;

auto Configure(zmq::socket_t& socket) -> void {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendHighWaterMark);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxFrameBytes));
}

}  // namespace

struct link::sockets {
  zmq::context_t context{1};
  zmq::socket_t router{context, zmq::socket_type::router};
  std::vector<zmq::socket_t> dealers;
  std::map<vm_name, std::size_t> dealer_indices;
};

link::link(vm_name self,
           host_port address,
           std::vector<link_peer> peers,
           std::function<void(inbound_frame)> on_frame,
           metrics& counters)
    : self_(std::move(self)),
      address_(std::move(address)),
      peers_(std::move(peers)),
      on_frame_(std::move(on_frame)),
      metrics_(counters),
      outbound_(kOutboundCapacity, [this] { wakeup_event_.Notify(); }),
      thread_([this] { Run(); }) {}

link::~link() {
  Stop();
}

auto link::Start() -> void {
  sockets_ = std::make_unique<sockets>();
  Configure(sockets_->router);
  try {
    sockets_->router.set(zmq::sockopt::router_handover, true);
    sockets_->router.bind("tcp://" + address_.get());
  } catch (const zmq::error_t& error) {
    throw ebony_error(error_kind::internal,
                      "--link-address " + address_.get() + ": " + error.what());
  }
  const auto route = self_.get() + "#" + std::to_string(::getpid());
  for (const auto& peer : peers_) {
    auto dealer = zmq::socket_t(sockets_->context, zmq::socket_type::dealer);
    Configure(dealer);
    // Drops frames while there is no connection, so that no stale frame is
    // delivered after a reconnect.
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::routing_id, route);
    dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    dealer.connect("tcp://" + peer.address.get());
    sockets_->dealer_indices.emplace(peer.name, sockets_->dealers.size());
    sockets_->dealers.push_back(std::move(dealer));
  }
  thread_.Start();
}

auto link::Stop() -> void {
  if (!sockets_) {
    return;
  }
  stopping_ = true;
  wakeup_event_.Notify();
  thread_.Join();
  sockets_.reset();
}

auto link::Send(const vm_name& to, schema::link_frame frame) -> void {
  frame.set_from(self_.get());
  if (!outbound_.Push({to, "", std::move(frame)})) {
    metrics_.Count("ebony_link_ring_full_total");
  }
}

auto link::Reply(const std::string& route, schema::link_frame frame) -> void {
  frame.set_from(self_.get());
  if (!outbound_.Push({vm_name(), route, std::move(frame)})) {
    metrics_.Count("ebony_link_ring_full_total");
  }
}

auto link::SendQueued() -> void {
  while (const auto item = outbound_.Pop()) {
    const auto bytes = item->frame.SerializeAsString();
    auto sent = false;
    try {
      if (!item->route.empty()) {
        const auto routed = sockets_->router.send(
            zmq::buffer(item->route),
            zmq::send_flags::sndmore | zmq::send_flags::dontwait);
        sent = routed && sockets_->router.send(zmq::buffer(bytes),
                                               zmq::send_flags::dontwait);
      } else if (const auto found = sockets_->dealer_indices.find(item->to);
                 found != sockets_->dealer_indices.end()) {
        sent = sockets_->dealers[found->second]
                   .send(zmq::buffer(bytes), zmq::send_flags::dontwait)
                   .has_value();
      }
    } catch (const zmq::error_t&) {
      sent = false;  // The peer is unreachable.
    }
    metrics_.Count(sent ? "ebony_link_sent_frames_total"
                        : "ebony_link_dropped_frames_total");
    if (sent) {
      metrics_.Count("ebony_link_sent_bytes_total", bytes.size());
    }
  }
}

auto link::Receive(bool from_router, std::size_t peer) -> void {
  auto& socket = from_router ? sockets_->router : sockets_->dealers[peer];
  auto route = zmq::message_t();
  if (from_router && !socket.recv(route, zmq::recv_flags::dontwait)) {
    return;
  }
  auto body = zmq::message_t();
  if (!socket.recv(body, zmq::recv_flags::dontwait)) {
    return;
  }
  metrics_.Count("ebony_link_received_bytes_total", body.size());
  auto inbound = inbound_frame();
  inbound.route = from_router ? route.to_string() : std::string();
  if (!inbound.frame.ParseFromArray(body.data(),
                                    static_cast<int>(body.size()))) {
    metrics_.Count("ebony_link_malformed_frames_total");
    return;
  }
  on_frame_(std::move(inbound));
}

auto link::Run() -> void {
  auto items = std::vector<zmq::pollitem_t>();
  items.push_back({nullptr, wakeup_event_.get_fd(), ZMQ_POLLIN, 0});
  items.push_back({sockets_->router.handle(), 0, ZMQ_POLLIN, 0});
  for (auto& dealer : sockets_->dealers) {
    items.push_back({dealer.handle(), 0, ZMQ_POLLIN, 0});
  }
  while (!stopping_) {
    zmq::poll(items, kMaxPollTime);
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      wakeup_event_.Drain();
    }
    SendQueued();
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      Receive(true, 0);
    }
    for (auto i = std::size_t{2}; i < items.size(); ++i) {
      if ((items[i].revents & ZMQ_POLLIN) != 0) {
        Receive(false, i - 2);
      }
    }
  }
}

}  // namespace ebony
