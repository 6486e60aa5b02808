#include "drivers/http_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "drivers/answer_status.h"

namespace ebony {

namespace {

constexpr std::size_t kMaxIdlePerAddress = 16;
// Assumed when the peer does not state its timeout for idle connections.
constexpr duration kDefaultKeepAlive = std::chrono::milliseconds(1500);
// Subtracted from the peer's timeout, so that a request is not sent while the
// peer closes the connection.
constexpr duration kKeepAliveMargin = std::chrono::milliseconds(700);
// Bytes that bring a call nothing of its response's body, one after another:
// heads, interim responses, those for other calls, framing. A peer that sends
// more sends no response.
constexpr std::size_t kMaxUnusedBytes = 1024 * 1024;

// Returns how long the peer keeps an idle connection, from its header field
// `Keep-Alive: timeout=N`.
auto GetKeepAliveTime(const http_head& head) -> duration {
  const auto* field = head.Find("Keep-Alive");
  if (field == nullptr) {
    return kDefaultKeepAlive;
  }
  const auto at = field->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultKeepAlive;
  }
  auto seconds = 0;
  const auto* begin = field->data() + at + std::string("timeout=").size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::max(duration(0),
                  duration(std::chrono::seconds(seconds)) - kKeepAliveMargin);
}

}  // namespace

auto IsUnsent(call_failure failure) -> bool {
  switch (failure) {
    case call_failure::refused:
    case call_failure::unanswered:
    case call_failure::not_sent:
      return true;
    case call_failure::interrupted:
    case call_failure::malformed_response:
      break;
  }
  return false;
}

// A connection of the pool. Runs one call at a time.
class pooled_connection
    : public std::enable_shared_from_this<pooled_connection> {
  http_pool& pool_;
  host_port address_;
  std::uint64_t number_;
  answer_matcher matcher_;
  std::shared_ptr<stream_socket> socket_;
  std::unique_ptr<http_reader> reader_;
  call_hooks hooks_;
  std::string unparsed_;  // bytes that the parser needs again with later ones
  std::uint64_t sent_bytes_before_call_ = 0;
  std::size_t unused_bytes_ = 0;  // since the last byte of the call's body
  std::uint64_t max_body_bytes_ = 0;
  bool is_busy_ = false;
  bool is_head_request_ = false;
  bool is_skipping_ = false;  // the current response is not for this call
  bool is_bodyless_ = false;
  bool keep_alive_ = true;
  bool is_reported_ = false;  // its first call knows that it is connected
  // Neither the current response nor what follows it can be used.
  bool is_unusable_ = false;
  interim_limit interim_;
  duration keep_alive_time_ = kDefaultKeepAlive;
  mono_time idle_since_;
  timer_id connect_timer_;
  std::function<bool()> may_send_;  // of the current call; may be empty

  auto ExpectResponse() -> void {
    is_skipping_ = false;
    auto hooks = http_reader::hooks();
    hooks.on_head = [this](const http_head& head) { OnHead(head); };
    hooks.on_body = [this](std::string_view bytes) {
      if (is_skipping_) {
        return;
      }
      unused_bytes_ = 0;
      // Copied, because the hook may end the call and with it `hooks_`.
      if (const auto on_body = hooks_.on_body) {
        on_body(bytes);
      }
    };
    auto limits = http_reader::limits();
    limits.body_bytes = max_body_bytes_;
    reader_ = std::make_unique<http_reader>(http_message_type::response,
                                            std::move(hooks), limits);
  }

  auto OnHead(const http_head& head) -> void {
    keep_alive_ = head.keep_alive && head.framing != body_framing::at_close;
    keep_alive_time_ = GetKeepAliveTime(head);
    is_bodyless_ = is_head_request_;
    const auto kind = interim_.OnHead(head.status, pool_.loop_.get_now());
    if (kind != answer_kind::final) {
      is_skipping_ = true;
      is_unusable_ = kind == answer_kind::none;
      return;
    }
    is_skipping_ = !matcher_.IsOwn(pool_.get_answered_id_(head));
    // Copied, as in `ExpectResponse`.
    const auto hook = is_skipping_ ? hooks_.on_foreign_head : hooks_.on_head;
    if (hook) {
      hook(head);
    }
  }

  auto OnBytes(std::string_view bytes) -> void {
    const auto self = shared_from_this();
    if (!is_busy_) {
      Close();  // unsolicited bytes
      return;
    }
    if (unused_bytes_ > kMaxUnusedBytes) {
      Fail(call_failure::malformed_response);
      return;
    }
    while (!bytes.empty() && is_busy_) {
      auto consumed = std::size_t{0};
      auto status = reader_->Feed(bytes, consumed);
      if (!is_busy_) {
        return;  // cancelled by a hook
      }
      if (is_unusable_) {
        Fail(call_failure::malformed_response);
        return;
      }
      bytes.remove_prefix(std::min(consumed, bytes.size()));
      if (is_bodyless_ && reader_->has_head() && !is_skipping_) {
        status = parse_status::complete;
      }
      if (status == parse_status::complete && is_skipping_) {
        ExpectResponse();
        continue;
      }
      if (status == parse_status::complete) {
        OnComplete(bytes.empty());
        return;
      }
      if (status != parse_status::need_more) {
        Fail(call_failure::malformed_response);
        return;
      }
      if (consumed == 0) {
        // The parser needs more bytes and does not buffer these itself.
        unparsed_.assign(bytes);
        return;
      }
    }
  }

  auto OnComplete(bool has_no_surplus) -> void {
    is_busy_ = false;
    pool_.busy_.erase(shared_from_this());
    // Without this check the peer could take the rest of a partly sent request
    // for the start of the next one.
    const auto is_request_sent =
        socket_->get_unsent_bytes() == 0 && socket_->is_open();
    const auto hooks = std::exchange(hooks_, {});
    // The answer to HEAD has no body, which a copy of it would not show to
    // whoever reads it in another call's place.
    const auto is_reusable = matcher_.IsReusable() && !is_head_request_;
    if (has_no_surplus && keep_alive_ && is_request_sent && is_reusable) {
      idle_since_ = pool_.loop_.get_now();
      pool_.AddIdle(shared_from_this());
    } else {
      socket_->Close();
    }
    if (hooks.on_complete) {
      hooks.on_complete();
    }
  }

  auto OnClose(socket_close_reason reason) -> void {
    const auto self = shared_from_this();
    pool_.loop_.CancelTimer(connect_timer_);
    if (!is_busy_) {
      pool_.RemoveIdle(self);
      return;
    }
    const auto is_complete = reason == socket_close_reason::closed &&
                             !is_skipping_ && reader_->has_head() &&
                             reader_->FeedEof() == parse_status::complete;
    if (is_complete) {
      keep_alive_ = false;
      OnComplete(false);
      return;
    }
    if (reason == socket_close_reason::not_connected) {
      Fail(call_failure::refused);
      return;
    }
    const auto nothing_sent =
        socket_->get_sent_bytes() == sent_bytes_before_call_;
    Fail(nothing_sent ? call_failure::not_sent : call_failure::interrupted);
  }

  // Tells the first call of a connection that it was made.
  auto ReportConnected() -> void {
    if (std::exchange(is_reported_, true) || !hooks_.on_connected) {
      return;
    }
    hooks_.on_connected();
  }

  auto Fail(call_failure failure) -> void {
    const auto self = shared_from_this();
    is_busy_ = false;
    pool_.busy_.erase(self);
    const auto hooks = std::exchange(hooks_, {});
    socket_->Close();
    if (hooks.on_failed) {
      hooks.on_failed(failure);
    }
  }

 public:
  pooled_connection(http_pool& pool, host_port address, std::uint64_t number)
      : pool_(pool),
        address_(std::move(address)),
        number_(number),
        socket_(std::make_shared<stream_socket>(pool.loop_)) {}

  auto Open(duration connect_timeout) -> void {
    const auto weak = weak_from_this();
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [weak](std::string_view bytes) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      self->unused_bytes_ += bytes.size();
      if (self->unparsed_.empty()) {
        self->OnBytes(bytes);
        return;
      }
      const auto joined = std::exchange(self->unparsed_, {}).append(bytes);
      self->OnBytes(joined);
    };
    hooks.on_close = [weak](socket_close_reason reason) {
      if (const auto self = weak.lock()) {
        self->OnClose(reason);
      }
    };
    hooks.may_send = [weak] {
      const auto self = weak.lock();
      if (self == nullptr) {
        return true;
      }
      self->ReportConnected();
      return !self->may_send_ || self->may_send_();
    };
    socket_->Connect(address_, std::move(hooks));
    connect_timer_ = pool_.loop_.AddTimerIn(connect_timeout, [weak] {
      const auto self = weak.lock();
      if (self != nullptr && self->is_busy_ &&
          self->socket_->get_sent_bytes() == 0) {
        self->Fail(call_failure::unanswered);
      }
    });
  }

  auto Send(const std::string& bytes,
            bool is_head_request,
            const call_options& options,
            call_hooks hooks) -> call_path {
    const auto path = call_path{number_, matcher_.get_calls()};
    matcher_.OnSent(options.id, options.matching);
    is_busy_ = true;
    may_send_ = options.may_send;
    max_body_bytes_ = options.max_body_bytes;
    is_head_request_ = is_head_request;
    is_bodyless_ = false;
    hooks_ = std::move(hooks);
    unparsed_.clear();
    unused_bytes_ = 0;
    interim_ = interim_limit();
    sent_bytes_before_call_ = socket_->get_sent_bytes();
    ExpectResponse();
    pool_.busy_.insert(shared_from_this());
    socket_->Send(bytes);
    return path;
  }

  auto Reset() -> void {
    socket_->Reset();
    Close();
  }

  auto Close() -> void {
    const auto self = shared_from_this();
    pool_.loop_.CancelTimer(connect_timer_);
    is_busy_ = false;
    hooks_ = {};
    may_send_ = nullptr;
    socket_->Close();
    pool_.busy_.erase(self);
    pool_.RemoveIdle(self);
  }

  // Returns whether the call is under way that followed this many others.
  auto IsRunning(std::uint64_t earlier_calls) const -> bool {
    return is_busy_ && matcher_.get_calls() == earlier_calls + 1;
  }
  auto HasSentBytes() const -> bool {
    return socket_->get_sent_bytes() > sent_bytes_before_call_;
  }
  auto CanCarry(const call_options& options) const -> bool {
    return matcher_.CanCarry(options.id, options.matching);
  }
  auto get_address() const -> const host_port& { return address_; }
  auto IsReusable(mono_time now, duration max_idle_time) const -> bool {
    return socket_->is_open() &&
           now - idle_since_ <= std::min(max_idle_time, keep_alive_time_);
  }
};

pooled_call::pooled_call(std::weak_ptr<pooled_connection> connection,
                         call_path path)
    : connection_(std::move(connection)), path_(path) {}

auto pooled_call::Cancel() -> void {
  const auto connection = connection_.lock();
  if (connection != nullptr && connection->IsRunning(path_.earlier_calls)) {
    connection->Close();
  }
}

auto pooled_call::CancelAndReset() -> void {
  const auto connection = connection_.lock();
  if (connection != nullptr && connection->IsRunning(path_.earlier_calls)) {
    connection->Reset();
  }
}

auto pooled_call::CancelIfUnsent() -> bool {
  const auto connection = connection_.lock();
  if (connection == nullptr || !connection->IsRunning(path_.earlier_calls) ||
      connection->HasSentBytes()) {
    return false;
  }
  connection->Close();
  return true;
}

http_pool::http_pool(event_loop& loop, answered_id_reader get_answered_id)
    : loop_(loop), get_answered_id_(std::move(get_answered_id)) {}

auto http_pool::TakeIdle(const host_port& address, const call_options& options)
    -> std::shared_ptr<pooled_connection> {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  const auto now = loop_.get_now();
  auto& idle = found->second;
  // The latest is at the end. Closing a connection takes it off the list, and
  // closing the only one removes the list, which ends the loop.
  for (auto left = idle.size(); left > 0; --left) {
    const auto connection = idle[left - 1];
    if (!connection->IsReusable(now, duration::max())) {
      connection->Close();
      continue;
    }
    if (!connection->IsReusable(now, options.max_idle_time)) {
      return nullptr;  // the others have been idle even longer
    }
    if (connection->CanCarry(options)) {
      RemoveIdle(connection);
      return connection;
    }
  }
  return nullptr;
}

auto http_pool::AddIdle(const std::shared_ptr<pooled_connection>& connection)
    -> void {
  auto& idle = idle_[connection->get_address()];
  idle.push_back(connection);
  if (idle.size() > kMaxIdlePerAddress) {
    const auto oldest = idle.front();
    oldest->Close();
  }
}

auto http_pool::RemoveIdle(const std::shared_ptr<pooled_connection>& connection)
    -> void {
  const auto found = idle_.find(connection->get_address());
  if (found == idle_.end()) {
    return;
  }
  std::erase(found->second, connection);
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

auto http_pool::Start(const host_port& address,
                      std::string bytes,
                      bool is_head_request,
                      const call_options& options,
                      call_hooks hooks) -> std::unique_ptr<pooled_call> {
  auto connection = TakeIdle(address, options);
  if (connection == nullptr) {
    ++opened_connections_;
    connection = std::make_shared<pooled_connection>(*this, address,
                                                     opened_connections_);
    connection->Open(options.connect_timeout);
  }
  const auto path =
      connection->Send(bytes, is_head_request, options, std::move(hooks));
  return std::make_unique<pooled_call>(connection, path);
}

auto http_pool::CloseIdle(const host_port& address) -> void {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return;
  }
  const auto all = found->second;
  for (const auto& connection : all) {
    connection->Close();
  }
}

auto MakeLinkOptions() -> call_options {
  auto options = call_options();
  options.matching = answer_matching::by_order;
  return options;
}

auto RenderPost(const std::string& target,
                const host_port& address,
                const std::string& body) -> std::string {
  auto head = http_head();
  head.method = "POST";
  head.target = target;
  head.fields = {{"Host", address.get()},
                 {"Content-Length", std::to_string(body.size())}};
  return RenderRequestHead(head).append(body);
}

}  // namespace ebony
