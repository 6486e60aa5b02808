#include "drivers/http_connection.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace ebony {

namespace {

constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
// Bytes that a caller may send ahead (pipeline) while its request is handled.
constexpr std::size_t kMaxPipelinedBytes = 256 * 1024;
// Received bytes that the parser needs again with later ones: the framing of a
// body, or a head, for which a listener may allow more.
constexpr std::size_t kMaxUnparsedBytes = 256 * 1024;
// A buffer up to this size is kept for the next request.
constexpr std::size_t kKeptBufferBytes = 4 * 1024;
// Of a connection without its buffers.
constexpr std::uint64_t kConnectionBytes = 4 * 1024;
// First step in which memory is drawn for a body of unknown length; each one is
// as large as all before it.
constexpr std::uint64_t kFirstBodyStep = 4 * 1024;
// Of a body; less is no progress.
constexpr std::uint64_t kProgressBytes = 4 * 1024;

auto GetClient(int fd) -> client_address {
  auto peer = sockaddr_in();
  auto size = static_cast<socklen_t>(sizeof(peer));
  if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return {};
  }
  return client_address(ntohl(peer.sin_addr.s_addr));
}

auto GetHeadBytes(const http_head& head) -> std::uint64_t {
  const auto texts = std::accumulate(
      head.fields.begin(), head.fields.end(), head.target.size(),
      [](std::size_t sum, const http_field& field) {
        return sum + field.name.size() + field.value.size();
      });
  return texts + head.fields.capacity() * sizeof(http_field);
}

}  // namespace

auto send_progress::Update(const stream_socket& socket, mono_time now)
    -> mono_time {
  if (last_ == mono_time() || socket.get_sent_bytes() != sent_bytes_) {
    sent_bytes_ = socket.get_sent_bytes();
    last_ = now;
  }
  return last_;
}

http_connection::http_connection(http_listener& listener)
    : listener_(listener),
      guard_(listener.options_.guard),
      socket_(std::make_shared<stream_socket>(listener.loop_)) {}

http_connection::~http_connection() {
  if (guard_ != nullptr) {
    guard_->Remove(member_);
  }
}

auto http_connection::Start(int fd) -> void {
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
  if (guard_ != nullptr) {
    JoinGuard(GetClient(fd));
  }
  ExpectRequest();
  socket_->Adopt(fd, std::move(hooks));
}

auto http_connection::JoinGuard(client_address client) -> void {
  const auto is_reserved = listener_.options_.is_reserved;
  const auto user = is_reserved ? memory_user::daemon : memory_user::client;
  connection_charge_ = guard_->MakeCharge(client, user);
  connection_charge_.Set(kConnectionBytes);
  request_charge_ = guard_->MakeCharge(client, user);
  socket_->SetAccounting(is_reserved ? std::shared_ptr<const void>(guard_)
                                     : guard_->TakeDescriptor(),
                         guard_->MakeCharge(client, user));
  const auto weak = weak_from_this();
  member_ = guard_->Add({[this] { return GetHolding(); },
                         [weak](reclaim_reason reason) {
                           if (const auto self = weak.lock()) {
                             self->TurnAway(reason);
                           }
                         }});
}

auto http_connection::ExpectRequest() -> void {
  request_ = {};
  has_head_ = false;
  is_too_large_ = false;
  is_complete_ = false;
  head_room_ = 0;
  body_room_ = 0;
  wanted_room_ = 0;
  next_mark_ = 0;
  last_progress_ = listener_.loop_.get_now();
  const auto limits = listener_.options_.get_limits();
  auto hooks = http_reader::hooks();
  max_body_bytes_ = limits.body_bytes;
  hooks.on_head = [this](http_head head) { OnHead(std::move(head)); };
  hooks.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  reader_ = std::make_unique<http_reader>(
      http_message_type::request, std::move(hooks),
      http_reader::limits{limits.head_bytes, limits.body_bytes});
  StartTimer(limits.idle_timeout, [this] { Close(); });
}

auto http_connection::OnHead(http_head head) -> void {
  request_.head = std::move(head);
  has_head_ = true;
  RecordProgress();
  if (listener_.options_.get_body_limit) {
    max_body_bytes_ = std::min(
        max_body_bytes_, listener_.options_.get_body_limit(request_.head));
  }
  const auto announced = request_.head.announced_bytes;
  is_too_large_ = announced > max_body_bytes_;
  if (is_too_large_) {
    return;
  }
  head_room_ = guard_ == nullptr ? 0 : GetHeadBytes(request_.head);
  if (!DrawBody(announced)) {
    wanted_room_ = std::max<std::uint64_t>(announced, 1);
  } else if (announced > 0) {
    request_.body.reserve(announced);
  }
}

auto http_connection::OnBody(std::string_view bytes) -> void {
  const auto needed = request_.body.size() + bytes.size();
  is_too_large_ = is_too_large_ || needed > max_body_bytes_;
  if (is_too_large_) {
    return;
  }
  // What the socket has read already is taken, even if there is no memory.
  if (needed > body_room_ && wanted_room_ <= body_room_) {
    GrowBody(needed);
  }
  request_.body.append(bytes);
  if (request_.body.size() >= next_mark_) {
    next_mark_ = request_.body.size() + kProgressBytes;
    RecordProgress();
  }
}

auto http_connection::GrowBody(std::uint64_t needed) -> void {
  const auto step = std::max(2 * body_room_, kFirstBodyStep);
  const auto room = std::max(needed, std::min(step, max_body_bytes_));
  if (DrawBody(room)) {
    request_.body.reserve(room);
  } else {
    wanted_room_ = room;
  }
}

auto http_connection::DrawBody(std::uint64_t room) -> bool {
  if (guard_ != nullptr && !guard_->Draw(request_charge_, head_room_ + room)) {
    return false;
  }
  body_room_ = room;
  return true;
}

auto http_connection::AwaitMemory() -> void {
  const auto& get_wait = listener_.options_.get_memory_wait;
  const auto wait = get_wait ? get_wait(request_.head) : duration(0);
  const auto weak = weak_from_this();
  const auto retry = [weak] {
    const auto self = weak.lock();
    return self == nullptr || self->RetryMemory();
  };
  const auto refuse = [weak] {
    if (const auto self = weak.lock()) {
      self->RefuseForMemory();
    }
  };
  if (wait <= duration(0) ||
      !guard_->Await(member_, listener_.loop_.get_now() + wait, retry,
                     refuse)) {
    RefuseForMemory();
    return;
  }
  is_waiting_ = true;
  listener_.loop_.CancelTimer(timer_);
  socket_->PauseReading();
}

auto http_connection::RetryMemory() -> bool {
  if (is_closing_) {
    return true;
  }
  if (!DrawBody(wanted_room_)) {
    return false;
  }
  const auto self = shared_from_this();
  is_waiting_ = false;
  RecordProgress();
  socket_->ResumeReading();
  if (is_complete_) {
    HandleRequest();
  } else {
    request_.body.reserve(wanted_room_);
    StartIdleTimer();
  }
  if (response_ == nullptr && !is_closing_ && !unparsed_.empty()) {
    ParseRequests({});
  }
  return true;
}

auto http_connection::RefuseForMemory() -> void {
  guard_->CountTurnedAway(turn_away_reason::no_memory);
  Reject(kUnavailable);
}

auto http_connection::RecordProgress() -> void {
  last_progress_ = listener_.loop_.get_now();
}

auto http_connection::GetHolding() -> caller_holding {
  auto holding = caller_holding();
  holding.client = connection_charge_.get_client();
  holding.bytes = connection_charge_.get_bytes() + request_charge_.get_bytes();
  holding.last_progress = last_progress_;
  if (response_ != nullptr || get_unsent_bytes() > 0) {
    holding.activity = caller_activity::handling;
    holding.unread_bytes = get_unsent_bytes();
    holding.bytes += holding.unread_bytes;
    holding.last_progress = sent_.Update(*socket_, listener_.loop_.get_now());
  } else if (is_waiting_) {
    holding.activity = caller_activity::waiting;
  } else if (!is_idle()) {
    holding.activity = caller_activity::receiving;
  }
  return holding;
}

auto http_connection::TurnAway(reclaim_reason reason) -> void {
  const auto self = shared_from_this();
  switch (reason) {
    case reclaim_reason::no_progress:
      Reject(kRequestTimeout);
      break;
    case reclaim_reason::over_share:
      Reject(kUnavailable);
      break;
    case reclaim_reason::unread_answer:
      // The handler may be on the stack.
      listener_.loop_.AddTimerIn(duration(0), [self] {
        self->socket_->Reset();
        if (!self->is_closing_) {
          self->OnDisconnect();
        }
      });
      break;
    case reclaim_reason::idle:
      socket_->Close();
      CloseConnection();
      break;
  }
}

auto http_connection::StartTimer(duration delay, std::function<void()> action)
    -> void {
  listener_.loop_.CancelTimer(timer_);
  timer_ = listener_.loop_.AddTimerIn(
      delay, [self = weak_from_this(), action = std::move(action)] {
        if (const auto alive = self.lock()) {
          action();
        }
      });
}

auto http_connection::StartIdleTimer() -> void {
  StartTimer(listener_.options_.get_limits().idle_timeout,
             [this] { Reject(kRequestTimeout); });
}

auto http_connection::Reject(int status) -> void {
  auto head = http_head();
  head.status = status;
  head.fields = {{"Content-Length", "0"}, {"Connection", "close"}};
  if (status == kUnavailable) {
    head.fields.push_back({"Retry-After", "1"});
  }
  socket_->Send(RenderResponseHead(head));
  CloseConnection();
}

auto http_connection::OnBytes(std::string_view bytes) -> void {
  if (response_ == nullptr && !is_waiting_) {
    ParseRequests(bytes);
    return;
  }
  KeepUnparsed(bytes);
  if (unparsed_.size() > kMaxPipelinedBytes) {
    OnDisconnect();
  }
}

auto http_connection::KeepUnparsed(std::string_view rest) -> void {
  if (unparsed_.empty()) {
    unparsed_arrived_after_ = listener_.loop_.GetEarliestArrival();
  }
  unparsed_.append(rest);
  CountUnparsed();
}

auto http_connection::CountUnparsed() -> void {
  if (unparsed_.empty() && unparsed_.capacity() > kKeptBufferBytes) {
    std::string().swap(unparsed_);  // an assignment would keep the buffer
  }
  const auto bytes = kConnectionBytes + unparsed_.capacity();
  if (guard_ == nullptr || bytes == connection_charge_.get_bytes()) {
    return;
  }
  if (bytes < connection_charge_.get_bytes()) {
    connection_charge_.Set(bytes);
  } else if (!is_closing_ && !guard_->Draw(connection_charge_, bytes)) {
    guard_->CountTurnedAway(turn_away_reason::no_memory);
    // A request that is being handled may have run.
    if (response_ != nullptr) {
      OnDisconnect();
    } else {
      Reject(kUnavailable);
    }
  }
}

// Each round uses bytes or ends the loop. The bytes are parsed where they were
// received, and only what is needed again is copied.
auto http_connection::ParseRequests(std::string_view fresh) -> void {
  if (is_parsing_) {
    return;  // called by a handler that has responded at once
  }
  is_parsing_ = true;
  const auto is_fresh = unparsed_.empty();
  if (!is_fresh) {
    unparsed_.append(fresh);
  }
  const auto input = is_fresh ? fresh : std::string_view(unparsed_);
  auto used = std::size_t{0};
  auto has_request = true;
  while (has_request && response_ == nullptr && !is_closing_ && !is_waiting_ &&
         used < input.size()) {
    has_request = ParseRequest(input, used);
  }
  is_parsing_ = false;
  if (is_fresh) {
    unparsed_.assign(input.substr(used));
  } else {
    unparsed_.erase(0, used);
  }
  CountUnparsed();
  const auto limit = std::max<std::size_t>(
      kMaxUnparsedBytes, listener_.options_.get_limits().head_bytes);
  if (!has_request && !is_closing_ && !is_waiting_ &&
      unparsed_.size() > limit) {
    Reject(has_head_ ? kBadRequest : kHeadTooLarge);
  }
}

auto http_connection::ParseRequest(std::string_view input, std::size_t& used)
    -> bool {
  if (request_.received_at == mono_time()) {
    request_.received_at = listener_.loop_.get_now();
    request_.arrived_after = listener_.loop_.GetEarliestArrival();
    if (!unparsed_.empty()) {
      request_.arrived_after =
          std::min(request_.arrived_after, unparsed_arrived_after_);
    }
    RecordProgress();
    StartTimer(listener_.options_.get_limits().head_timeout,
               [this] { Reject(kRequestTimeout); });
  }
  auto consumed = std::size_t{0};
  const auto status = reader_->Feed(input.substr(used), consumed);
  used += consumed;
  if (const auto rejection = GetRejection(status)) {
    if (*rejection == kPayloadTooLarge && guard_ != nullptr) {
      guard_->CountTurnedAway(turn_away_reason::too_large);
    }
    Reject(*rejection);
    return false;
  }
  is_complete_ = status == parse_status::complete;
  const auto size = request_.body.size();
  if (is_complete_ && wanted_room_ <= body_room_ && size > kSmallRequestBytes) {
    wanted_room_ = body_room_ + listener_.options_.body_copies * size;
    DrawBody(wanted_room_);
  }
  if (wanted_room_ > body_room_) {
    AwaitMemory();
    return false;
  }
  if (is_complete_) {
    HandleRequest();
    return true;
  }
  if (has_head_) {
    StartIdleTimer();
  }
  return false;
}

auto http_connection::GetRejection(parse_status status) const
    -> std::optional<int> {
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
  return is_too_large_ ? std::optional(kPayloadTooLarge) : std::nullopt;
}

auto http_connection::HandleRequest() -> void {
  listener_.loop_.CancelTimer(timer_);
  wants_keep_alive_ = request_.head.keep_alive;
  response_ = std::make_shared<response_writer>(weak_from_this(),
                                                request_.head.method == "HEAD");
  if (guard_ != nullptr) {
    auto next = guard_->MakeCharge(connection_charge_.get_client(),
                                   listener_.options_.is_reserved
                                       ? memory_user::daemon
                                       : memory_user::client);
    response_->charge_ = std::exchange(request_charge_, std::move(next));
  }
  listener_.handler_(std::move(request_), response_);
}

auto http_connection::OnDisconnect() -> void {
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

auto http_connection::CloseConnection() -> void {
  const auto self = shared_from_this();
  is_closing_ = true;
  listener_.loop_.CancelTimer(timer_);
  socket_->CloseGracefully();
  if (guard_ != nullptr) {
    guard_->Remove(member_);
  }
  request_ = {};
  request_charge_.Set(0);
  if (socket_->get_unsent_bytes() > 0) {
    listener_.AddClosing(socket_, connection_charge_.get_client());
  }
  listener_.connections_.erase(self);
}

auto http_connection::Send(std::string_view bytes) -> void {
  socket_->Send(bytes);
  if (guard_ != nullptr && get_unsent_bytes() > 0) {
    sent_.Update(*socket_, listener_.loop_.get_now());
    guard_->CheckOverdraft();
  }
}

auto http_connection::OnResponseFinal(bool keeps_open) -> void {
  const auto self = shared_from_this();
  response_ = nullptr;
  if (!keeps_open || !socket_->is_open()) {
    CloseConnection();
    return;
  }
  ExpectRequest();
  ParseRequests({});
}

auto http_connection::Close() -> void {
  const auto self = shared_from_this();
  CloseConnection();
}

}  // namespace ebony
