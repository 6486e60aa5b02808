#include "drivers/http_listener.h"

#include <algorithm>
#include <utility>

#include "drivers/http_connection.h"

namespace ebony {

http_listener::http_listener(event_loop& loop,
                             const host_port& address,
                             options listener_options,
                             request_handler handler)
    : loop_(loop),
      options_(std::move(listener_options)),
      handler_(std::move(handler)) {
  acceptor_ = std::make_unique<stream_acceptor>(loop_, address,
                                                [this](int fd) { Accept(fd); });
  if (options_.guard != nullptr && !options_.is_reserved) {
    on_descriptor_ = std::make_shared<std::function<void()>>(
        [this] { acceptor_->Resume(); });
    options_.guard->SetOnDescriptor(on_descriptor_);
  }
}

auto http_listener::Accept(int fd) -> void {
  const auto connection = std::make_shared<http_connection>(*this);
  connections_.insert(connection);
  connection->Start(fd);
  if (on_descriptor_ != nullptr && !options_.guard->HasDescriptor()) {
    acceptor_->Pause();
  }
}

http_listener::~http_listener() {
  CloseAll();
  for (const auto& item : closing_) {
    if (options_.guard != nullptr) {
      options_.guard->Remove(item.member);
    }
  }
}

auto http_listener::StopAccepting() -> void {
  acceptor_->Stop();
}

auto http_listener::CloseIdle() -> void {
  const auto all = connections_;
  for (const auto& connection : all) {
    if (connection->is_idle() && connection->get_unsent_bytes() == 0) {
      connection->Close();
    }
  }
}

auto http_listener::AddClosing(const std::shared_ptr<stream_socket>& socket,
                               client_address client) -> void {
  DropClosed();
  auto item = closing_socket{socket, 0};
  if (options_.guard != nullptr) {
    const auto progress = std::make_shared<send_progress>();
    const auto weak = std::weak_ptr(socket);
    item.member = options_.guard->Add(
        {[this, weak, client, progress] {
           auto holding = caller_holding();
           holding.client = client;
           holding.activity = caller_activity::handling;
           if (const auto open = weak.lock()) {
             holding.unread_bytes = holding.bytes = open->get_unsent_bytes();
             holding.last_progress = progress->Update(*open, loop_.get_now());
           }
           return holding;
         },
         [weak](reclaim_reason) {
           if (const auto open = weak.lock()) {
             open->Reset();
           }
         }});
  }
  closing_.push_back(item);
}

auto http_listener::DropClosed() -> void {
  std::erase_if(closing_, [this](const closing_socket& item) {
    const auto socket = item.socket.lock();
    const auto is_done = socket == nullptr || socket->get_unsent_bytes() == 0;
    if (is_done && options_.guard != nullptr) {
      options_.guard->Remove(item.member);
    }
    return is_done;
  });
}

auto http_listener::GetUnsentBytes() -> std::size_t {
  DropClosed();
  auto bytes = std::size_t{0};
  for (const auto& item : closing_) {
    const auto socket = item.socket.lock();
    bytes += socket == nullptr ? 0 : socket->get_unsent_bytes();
  }
  for (const auto& connection : connections_) {
    bytes += connection->get_unsent_bytes();
  }
  return bytes;
}

auto http_listener::CloseAll() -> void {
  const auto all = connections_;
  for (const auto& connection : all) {
    connection->Close();
  }
}

}  // namespace ebony
