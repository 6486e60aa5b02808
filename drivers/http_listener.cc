#include "drivers/http_listener.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace ebony {

namespace {

constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
// Bytes that a caller may send ahead (pipeline) while its request is handled.
constexpr std::size_t kMaxPipelinedBytes = 256 * 1024;
// Received bytes that the parser needs again with later ones: the framing of a
// body, or a head, for which a listener may allow more.
constexpr std::size_t kMaxUnparsedBytes = 256 * 1024;

}  // namespace

// A connection of a caller. Handles one request at a time, in order.
class http_connection : public std::enable_shared_from_this<http_connection> {
  http_listener& listener_;
  std::shared_ptr<stream_socket> socket_;
  std::unique_ptr<http_reader> reader_;
  incoming_request request_;
  std::string unparsed_;       // received bytes
  response_pointer response_;  // null while no request is being handled
  bool is_closing_ = false;
  bool wants_keep_alive_ = true;
  bool has_head_ = false;
  bool is_parsing_ = false;
  std::uint64_t max_body_bytes_ = 0;  // of the request that is received
  timer_id timer_;

  auto ExpectRequest() -> void {
    request_ = {};
    has_head_ = false;
    const auto limits = listener_.options_.get_limits();
    auto hooks = http_reader::hooks();
    max_body_bytes_ = limits.body_bytes;
    hooks.on_head = [this](http_head head) {
      request_.head = std::move(head);
      has_head_ = true;
      if (listener_.options_.get_body_limit) {
        max_body_bytes_ = std::min(
            max_body_bytes_, listener_.options_.get_body_limit(request_.head));
      }
    };
    hooks.on_body = [this](std::string_view bytes) {
      if (request_.body.size() <= max_body_bytes_) {
        request_.body.append(bytes);
      }
    };
    reader_ = std::make_unique<http_reader>(
        http_message_type::request, std::move(hooks),
        http_reader::limits{limits.head_bytes, limits.body_bytes});
    StartTimer(limits.idle_timeout, [this] { Close(); });
  }

  auto StartTimer(duration delay, std::function<void()> action) -> void {
    listener_.loop_.CancelTimer(timer_);
    timer_ = listener_.loop_.AddTimerIn(
        delay, [self = weak_from_this(), action = std::move(action)] {
          if (const auto alive = self.lock()) {
            action();
          }
        });
  }

  auto Reject(int status) -> void {
    auto head = http_head();
    head.status = status;
    head.fields = {{"Content-Length", "0"}, {"Connection", "close"}};
    socket_->Send(RenderResponseHead(head));
    CloseConnection();
  }

  auto OnBytes(std::string_view bytes) -> void {
    unparsed_.append(bytes);
    if (response_ != nullptr) {
      if (unparsed_.size() > kMaxPipelinedBytes) {
        OnDisconnect();
      }
      return;
    }
    ParseRequests();
  }

  // Handles what has been received, one request after another. Each round uses
  // bytes of it or ends the loop.
  auto ParseRequests() -> void {
    if (is_parsing_) {
      return;  // called by a handler that has responded at once
    }
    is_parsing_ = true;
    auto used = std::size_t{0};
    auto has_request = true;
    while (has_request && response_ == nullptr && !is_closing_ &&
           used < unparsed_.size()) {
      has_request = ParseRequest(used);
    }
    is_parsing_ = false;
    unparsed_.erase(0, used);
    const auto limit = std::max<std::size_t>(
        kMaxUnparsedBytes, listener_.options_.get_limits().head_bytes);
    if (!has_request && !is_closing_ && unparsed_.size() > limit) {
      Reject(has_head_ ? kBadRequest : kHeadTooLarge);
    }
  }

  // Parses the bytes after the first `used`, to which it adds its own. Returns
  // false unless a whole request has been passed on.
  auto ParseRequest(std::size_t& used) -> bool {
    if (request_.received_at == mono_time()) {
      request_.received_at = listener_.loop_.get_now();
      StartTimer(listener_.options_.get_limits().head_timeout,
                 [this] { Reject(kRequestTimeout); });
    }
    auto consumed = std::size_t{0};
    const auto status =
        reader_->Feed(std::string_view(unparsed_).substr(used), consumed);
    used += consumed;
    if (const auto rejection = GetRejection(status)) {
      Reject(*rejection);
      return false;
    }
    if (status == parse_status::complete) {
      HandleRequest();
      return true;
    }
    if (has_head_) {
      StartTimer(listener_.options_.get_limits().idle_timeout,
                 [this] { Reject(kRequestTimeout); });
    }
    return false;
  }

  // Returns the status that ends a request which cannot be handled.
  auto GetRejection(parse_status status) const -> std::optional<int> {
    switch (status) {
      case parse_status::malformed:
        return kBadRequest;
      case parse_status::head_too_large:
        return kHeadTooLarge;
      case parse_status::body_too_large:
        return kPayloadTooLarge;
      case parse_status::need_more:
      case parse_status::complete:
        break;
    }
    return request_.body.size() > max_body_bytes_
               ? std::optional(kPayloadTooLarge)
               : std::nullopt;
  }

  auto HandleRequest() -> void {
    listener_.loop_.CancelTimer(timer_);
    wants_keep_alive_ = request_.head.keep_alive;
    response_ = std::make_shared<response_writer>(
        weak_from_this(), request_.head.method == "HEAD");
    listener_.handler_(std::move(request_), response_);
  }

  auto OnDisconnect() -> void {
    const auto self = shared_from_this();
    const auto response = std::exchange(response_, nullptr);
    CloseConnection();
    if (response == nullptr || response->is_final_) {
      return;
    }
    response->is_final_ = true;
    if (const auto hook = std::exchange(response->on_disconnect_, nullptr)) {
      hook();
    }
  }

  auto CloseConnection() -> void {
    is_closing_ = true;
    listener_.loop_.CancelTimer(timer_);
    socket_->CloseGracefully();
    if (socket_->get_unsent_bytes() > 0) {
      listener_.DropClosed();
      listener_.closing_.push_back(socket_);
    }
    listener_.connections_.erase(shared_from_this());
  }

 public:
  explicit http_connection(http_listener& listener)
      : listener_(listener),
        socket_(std::make_shared<stream_socket>(listener.loop_)) {}

  auto Start(int fd) -> void {
    const auto weak = weak_from_this();
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [weak](std::string_view bytes) {
      if (const auto self = weak.lock()) {
        self->OnBytes(bytes);
      }
    };
    hooks.on_close = [weak](socket_close_reason) {
      if (const auto self = weak.lock()) {
        self->OnDisconnect();
      }
    };
    ExpectRequest();
    socket_->Adopt(fd, std::move(hooks));
  }

  auto Send(std::string_view bytes) -> void { socket_->Send(bytes); }
  auto get_unsent_bytes() const -> std::size_t {
    return socket_->get_unsent_bytes();
  }
  auto ClosesAfterResponse() const -> bool {
    return !wants_keep_alive_ || listener_.options_.is_closing();
  }

  // Called when the current response is final.
  auto OnResponseFinal(bool keeps_open) -> void {
    const auto self = shared_from_this();
    response_ = nullptr;
    if (!keeps_open || !socket_->is_open()) {
      CloseConnection();
      return;
    }
    ExpectRequest();
    ParseRequests();
  }

  auto Close() -> void {
    const auto self = shared_from_this();
    CloseConnection();
  }
  auto is_idle() const -> bool {
    return response_ == nullptr && request_.received_at == mono_time();
  }
};

response_writer::response_writer(std::weak_ptr<http_connection> connection,
                                 bool is_head_request)
    : connection_(std::move(connection)), is_head_request_(is_head_request) {}

auto response_writer::Respond(http_head head, std::string_view body) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || has_begun_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  const auto closes = connection->ClosesAfterResponse();
  // A response with one of these status codes has neither body nor length.
  const auto is_bodyless = head.status == 204 || head.status == 304;
  if (!is_bodyless) {
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
  }
  if (closes) {
    head.fields.push_back({"Connection", "close"});
  }
  auto bytes = RenderResponseHead(head);
  if (!is_head_request_ && !is_bodyless) {
    bytes.append(body);
  }
  connection->Send(bytes);
  connection->OnResponseFinal(!closes);
}

auto response_writer::Begin(http_head head) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || has_begun_ || connection == nullptr) {
    return;
  }
  has_begun_ = true;
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  if (connection->ClosesAfterResponse()) {
    head.fields.push_back({"Connection", "close"});
  }
  connection->Send(RenderResponseHead(head));
}

auto response_writer::Append(std::string_view bytes) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || !has_begun_ || bytes.empty() || connection == nullptr) {
    return;
  }
  connection->Send(RenderChunk(bytes));
}

auto response_writer::Finish() -> void {
  const auto connection = connection_.lock();
  if (is_final_ || !has_begun_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  const auto closes = connection->ClosesAfterResponse();
  connection->Send(RenderChunk({}));
  connection->OnResponseFinal(!closes);
}

auto response_writer::Abort() -> void {
  const auto connection = connection_.lock();
  if (is_final_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  connection->OnResponseFinal(false);
}

auto response_writer::SetOnDisconnect(std::function<void()> hook) -> void {
  on_disconnect_ = std::move(hook);
}

auto response_writer::GetUnsentBytes() const -> std::size_t {
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->get_unsent_bytes();
}

http_listener::http_listener(event_loop& loop,
                             const host_port& address,
                             options listener_options,
                             request_handler handler)
    : loop_(loop),
      options_(std::move(listener_options)),
      handler_(std::move(handler)) {
  acceptor_ = std::make_unique<stream_acceptor>(loop_, address, [this](int fd) {
    const auto connection = std::make_shared<http_connection>(*this);
    connections_.insert(connection);
    connection->Start(fd);
  });
}

http_listener::~http_listener() {
  CloseAll();
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

auto http_listener::DropClosed() -> void {
  std::erase_if(closing_, [](const std::weak_ptr<stream_socket>& item) {
    const auto socket = item.lock();
    return socket == nullptr || socket->get_unsent_bytes() == 0;
  });
}

auto http_listener::GetUnsentBytes() -> std::size_t {
  DropClosed();
  auto bytes = std::size_t{0};
  for (const auto& item : closing_) {
    const auto socket = item.lock();
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
