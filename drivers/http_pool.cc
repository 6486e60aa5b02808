#include "drivers/http_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ebony {

namespace {

constexpr std::size_t kMaxIdlePerAddress = 16;
// Used when the peer does not say how long it keeps idle connections.
constexpr duration kDefaultKeep = std::chrono::milliseconds(1500);
// Taken off the time that the peer states, against a close that crosses a send.
constexpr duration kKeepMargin = std::chrono::milliseconds(700);
constexpr int kFirstFinalStatus = 200;

// Returns the time of `Keep-Alive: timeout=N`.
auto GetKeepTime(const http_head& head) -> duration {
  const auto* field = head.Find("Keep-Alive");
  if (field == nullptr) {
    return kDefaultKeep;
  }
  const auto at = field->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultKeep;
  }
  auto seconds = 0;
  const auto* begin = field->data() + at + std::string("timeout=").size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::max(duration(0),
                  duration(std::chrono::seconds(seconds)) - kKeepMargin);
}

}  // namespace

class pooled_connection
    : public std::enable_shared_from_this<pooled_connection> {
  http_pool& pool_;
  host_port address_;
  std::shared_ptr<stream_socket> socket_;
  std::unique_ptr<http_reader> reader_;
  call_hooks hooks_;
  std::string rest_;  // bytes that the parser has not taken yet
  std::uint64_t sent_before_ = 0;
  bool is_busy_ = false;
  bool is_head_request_ = false;
  bool skips_ = false;  // the answer being read is not for this call
  bool has_bodyless_head_ = false;
  bool keep_alive_ = true;
  int status_ = 0;
  duration keep_time_ = kDefaultKeep;
  mono_time idle_since_;
  timer_id connect_timer_;

  auto ExpectAnswer() -> void {
    skips_ = false;
    status_ = 0;
    auto hooks = http_reader::hooks();
    hooks.on_head = [this](const http_head& head) { OnHead(head); };
    hooks.on_body = [this](std::string_view bytes) {
      if (!skips_ && hooks_.on_body) {
        hooks_.on_body(bytes);
      }
    };
    reader_ = std::make_unique<http_reader>(
        http_message_type::response, std::move(hooks), http_reader::limits());
  }

  auto OnHead(const http_head& head) -> void {
    status_ = head.status;
    keep_alive_ = head.keep_alive && !head.ends_at_close;
    keep_time_ = GetKeepTime(head);
    has_bodyless_head_ = is_head_request_;
    if (status_ < kFirstFinalStatus) {
      skips_ = true;
      return;
    }
    skips_ = hooks_.on_head && !hooks_.on_head(head);
  }

  auto OnBytes(std::string_view bytes) -> void {
    const auto self = shared_from_this();
    if (!is_busy_) {
      Drop();  // bytes that answer nothing
      return;
    }
    while (!bytes.empty() && is_busy_) {
      auto consumed = std::size_t{0};
      auto verdict = reader_->Feed(bytes, consumed);
      if (!is_busy_) {
        return;  // cancelled by a hook
      }
      bytes.remove_prefix(std::min(consumed, bytes.size()));
      if (has_bodyless_head_ && reader_->has_head() && !skips_) {
        verdict = parse_status::complete;
      }
      if (verdict == parse_status::complete && skips_) {
        ExpectAnswer();
        continue;
      }
      if (verdict == parse_status::complete) {
        OnWhole(bytes.empty());
        return;
      }
      if (verdict != parse_status::need_more) {
        Fail(call_failure::malformed_response);
        return;
      }
      if (consumed == 0) {
        // Beast wants more than one read holds; it keeps nothing itself.
        rest_.assign(bytes);
        return;
      }
    }
  }

  auto OnWhole(bool has_no_surplus) -> void {
    is_busy_ = false;
    pool_.busy_.erase(shared_from_this());
    // A request that is still being sent would be read as the next one's body.
    const auto request_sent =
        socket_->get_unsent_bytes() == 0 && socket_->is_open();
    const auto hooks = std::exchange(hooks_, {});
    if (has_no_surplus && keep_alive_ && request_sent) {
      idle_since_ = pool_.loop_.get_now();
      pool_.Keep(shared_from_this());
    } else {
      socket_->Close();
    }
    if (hooks.on_complete) {
      hooks.on_complete();
    }
  }

  auto OnEnd(socket_close_reason reason) -> void {
    const auto self = shared_from_this();
    pool_.loop_.CancelTimer(connect_timer_);
    if (!is_busy_) {
      pool_.Remove(self);
      return;
    }
    const auto is_whole = reason == socket_close_reason::closed && !skips_ &&
                          reader_->has_head() &&
                          reader_->FeedEof() == parse_status::complete;
    if (is_whole) {
      keep_alive_ = false;
      OnWhole(false);
      return;
    }
    const auto nothing_left = reason == socket_close_reason::not_connected ||
                              socket_->get_sent_bytes() == sent_before_;
    Fail(nothing_left ? call_failure::not_sent : call_failure::interrupted);
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
  pooled_connection(http_pool& pool, host_port address)
      : pool_(pool),
        address_(std::move(address)),
        socket_(std::make_shared<stream_socket>(pool.loop_)) {}

  auto Open(duration connect_timeout) -> void {
    const auto weak = weak_from_this();
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [weak](std::string_view bytes) {
      const auto self = weak.lock();
      if (self == nullptr) {
        return;
      }
      if (self->rest_.empty()) {
        self->OnBytes(bytes);
        return;
      }
      const auto joined = std::exchange(self->rest_, {}).append(bytes);
      self->OnBytes(joined);
    };
    hooks.on_close = [weak](socket_close_reason reason) {
      if (const auto self = weak.lock()) {
        self->OnEnd(reason);
      }
    };
    socket_->Connect(address_, std::move(hooks));
    connect_timer_ = pool_.loop_.AddTimerIn(connect_timeout, [weak] {
      const auto self = weak.lock();
      if (self != nullptr && self->is_busy_ &&
          self->socket_->get_sent_bytes() == 0) {
        self->Fail(call_failure::not_sent);
      }
    });
  }

  auto Send(const std::string& bytes, bool is_head_request, call_hooks hooks)
      -> void {
    is_busy_ = true;
    is_head_request_ = is_head_request;
    has_bodyless_head_ = false;
    hooks_ = std::move(hooks);
    rest_.clear();
    sent_before_ = socket_->get_sent_bytes();
    ExpectAnswer();
    pool_.busy_.insert(shared_from_this());
    socket_->Send(bytes);
  }

  auto Drop() -> void {
    const auto self = shared_from_this();
    pool_.loop_.CancelTimer(connect_timer_);
    is_busy_ = false;
    hooks_ = {};
    socket_->Close();
    pool_.busy_.erase(self);
    pool_.Remove(self);
  }

  auto get_address() const -> const host_port& { return address_; }
  auto IsFresh(mono_time now, duration max_idle_time) const -> bool {
    return socket_->is_open() &&
           now - idle_since_ <= std::min(max_idle_time, keep_time_);
  }
};

pooled_call::pooled_call(std::weak_ptr<pooled_connection> connection)
    : connection_(std::move(connection)) {}

auto pooled_call::Cancel() -> void {
  if (const auto connection = connection_.lock()) {
    connection->Drop();
  }
}

http_pool::http_pool(event_loop& loop) : loop_(loop) {}

auto http_pool::TakeIdle(const host_port& address, duration max_idle_time)
    -> std::shared_ptr<pooled_connection> {
  const auto found = idle_.find(address);
  while (found != idle_.end() && !found->second.empty()) {
    const auto connection = found->second.back();
    if (connection->IsFresh(loop_.get_now(), max_idle_time)) {
      found->second.pop_back();
      return connection;
    }
    if (!connection->IsFresh(loop_.get_now(), duration::max())) {
      connection->Drop();
      continue;
    }
    return nullptr;  // the newest is too old for this call
  }
  return nullptr;
}

auto http_pool::Keep(const std::shared_ptr<pooled_connection>& connection)
    -> void {
  auto& idle = idle_[connection->get_address()];
  idle.push_back(connection);
  if (idle.size() > kMaxIdlePerAddress) {
    const auto oldest = idle.front();
    oldest->Drop();
  }
}

auto http_pool::Remove(const std::shared_ptr<pooled_connection>& connection)
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
  auto connection = TakeIdle(address, options.max_idle_time);
  if (connection == nullptr) {
    ++opened_;
    connection = std::make_shared<pooled_connection>(*this, address);
    connection->Open(options.connect_timeout);
  }
  connection->Send(bytes, is_head_request, std::move(hooks));
  return std::make_unique<pooled_call>(connection);
}

auto http_pool::CloseIdle(const host_port& address) -> void {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return;
  }
  const auto all = found->second;
  for (const auto& connection : all) {
    connection->Drop();
  }
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
