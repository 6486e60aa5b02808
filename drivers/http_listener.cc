#include "drivers/http_listener.h"

#include <utility>

namespace ebony {

namespace {

constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
// Bytes that a caller may send ahead while its request is being answered.
constexpr std::size_t kMaxAhead = 256 * 1024;

}  // namespace

// One caller's connection: reads a request, waits for its answer, reads on.
class http_connection : public std::enable_shared_from_this<http_connection> {
  http_listener& listener_;
  std::shared_ptr<stream_socket> socket_;
  std::unique_ptr<http_reader> reader_;
  incoming_request call_;
  std::string ahead_;  // bytes after the request that is being answered
  response_pointer answer_;
  bool is_closing_ = false;
  bool wants_keep_alive_ = true;
  bool has_head_ = false;
  timer_id timer_;

  auto ExpectRequest() -> void {
    call_ = {};
    has_head_ = false;
    const auto limits = listener_.options_.get_limits();
    auto hooks = http_reader::hooks();
    hooks.on_head = [this](http_head head) {
      call_.head = std::move(head);
      has_head_ = true;
    };
    hooks.on_body = [this](std::string_view bytes) {
      call_.body.append(bytes);
    };
    reader_ = std::make_unique<http_reader>(
        http_message_type::request, std::move(hooks),
        http_reader::limits{limits.head_bytes, limits.body_bytes});
    Arm(limits.idle_timeout, [this] { Drop(); });
  }

  auto Arm(duration delay, std::function<void()> action) -> void {
    listener_.loop_.CancelTimer(timer_);
    timer_ = listener_.loop_.AddTimerIn(
        delay, [self = weak_from_this(), action = std::move(action)] {
          if (const auto alive = self.lock()) {
            action();
          }
        });
  }

  auto Refuse(int status) -> void {
    is_closing_ = true;
    auto head = http_head();
    head.status = status;
    head.fields = {{"Content-Length", "0"}, {"Connection", "close"}};
    socket_->Send(RenderResponseHead(head));
    Leave();
  }

  auto OnBytes(std::string_view bytes) -> void {
    ahead_.append(bytes);
    if (answer_ != nullptr) {
      if (ahead_.size() > kMaxAhead) {
        OnEnd();
      }
      return;
    }
    ReadAhead();
  }

  auto ReadAhead() -> void {
    while (answer_ == nullptr && !ahead_.empty() && !is_closing_) {
      if (call_.received_at == mono_time()) {
        call_.received_at = listener_.loop_.get_now();
        Arm(listener_.options_.get_limits().head_timeout,
            [this] { Refuse(kRequestTimeout); });
      }
      auto consumed = std::size_t{0};
      const auto verdict = reader_->Feed(ahead_, consumed);
      ahead_.erase(0, consumed);
      switch (verdict) {
        case parse_status::need_more:
          if (has_head_) {
            Arm(listener_.options_.get_limits().idle_timeout,
                [this] { Refuse(kRequestTimeout); });
          }
          return;
        case parse_status::complete:
          Handle();
          break;
        case parse_status::malformed:
          Refuse(kBadRequest);
          return;
        case parse_status::head_too_large:
          Refuse(kHeadTooLarge);
          return;
        case parse_status::body_too_large:
          Refuse(kPayloadTooLarge);
          return;
      }
    }
  }

  auto Handle() -> void {
    listener_.loop_.CancelTimer(timer_);
    wants_keep_alive_ = call_.head.keep_alive;
    answer_ = std::make_shared<response_writer>(weak_from_this(),
                                                call_.head.method == "HEAD");
    listener_.handler_(std::move(call_), answer_);
  }

  auto OnEnd() -> void {
    const auto self = shared_from_this();
    const auto answer = std::exchange(answer_, nullptr);
    Leave();
    if (answer == nullptr || answer->is_final_) {
      return;
    }
    answer->is_final_ = true;
    if (const auto hook = std::exchange(answer->on_disconnect_, nullptr)) {
      hook();
    }
  }

  auto Leave() -> void {
    listener_.loop_.CancelTimer(timer_);
    socket_->CloseGracefully();
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
        self->OnEnd();
      }
    };
    ExpectRequest();
    socket_->Adopt(fd, std::move(hooks));
  }

  auto Send(std::string_view bytes) -> void { socket_->Send(bytes); }
  auto get_unsent_bytes() const -> std::size_t {
    return socket_->get_unsent_bytes();
  }
  auto EndsAfterAnswer() const -> bool {
    return !wants_keep_alive_ || listener_.options_.is_closing();
  }

  // The current answer is final.
  auto OnAnswered(bool may_go_on) -> void {
    const auto self = shared_from_this();
    answer_ = nullptr;
    if (!may_go_on || !socket_->is_open()) {
      Leave();
      return;
    }
    ExpectRequest();
    ReadAhead();
  }

  auto Drop() -> void {
    const auto self = shared_from_this();
    Leave();
  }
  auto is_idle() const -> bool {
    return answer_ == nullptr && call_.received_at == mono_time();
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
  const auto ends = connection->EndsAfterAnswer();
  // Answers of these kinds have no body and no length.
  const auto is_bare = head.status == 204 || head.status == 304;
  if (!is_bare) {
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
  }
  if (ends) {
    head.fields.push_back({"Connection", "close"});
  }
  auto bytes = RenderResponseHead(head);
  if (!is_head_request_ && !is_bare) {
    bytes.append(body);
  }
  connection->Send(bytes);
  connection->OnAnswered(!ends);
}

auto response_writer::Begin(http_head head) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || has_begun_ || connection == nullptr) {
    return;
  }
  has_begun_ = true;
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  if (connection->EndsAfterAnswer()) {
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
  const auto ends = connection->EndsAfterAnswer();
  connection->Send(RenderChunk({}));
  connection->OnAnswered(!ends);
}

auto response_writer::Abort() -> void {
  const auto connection = connection_.lock();
  if (is_final_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  connection->OnAnswered(false);
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
                             options choices,
                             call_handler handler)
    : loop_(loop), options_(std::move(choices)), handler_(std::move(handler)) {
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
    if (connection->is_idle()) {
      connection->Drop();
    }
  }
}

auto http_listener::CloseAll() -> void {
  const auto all = connections_;
  for (const auto& connection : all) {
    connection->Drop();
  }
}

}  // namespace ebony
