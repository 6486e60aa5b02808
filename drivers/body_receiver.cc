#include "drivers/body_receiver.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "drivers/wakeup_event.h"

namespace ebony {

namespace {

// A body without an announced length is first charged with this much, and with
// twice as much whenever it has outgrown its charge.
constexpr std::uint64_t kFirstChargeBytes = std::uint64_t{16} * 1024;

auto GetReason(body_result result) -> std::string_view {
  switch (result) {
    case body_result::too_large:
      return "too_large";
    case body_result::no_memory:
      return "no_memory";
    case body_result::evicted:
      return "evicted";
    case body_result::stored:
      break;
  }
  return "stored";
}

}  // namespace

struct received_body::shared_account {
  std::mutex mutex;
  body_account account;
  std::map<body_id, received_body*> receiving;

  explicit shared_account(body_account_options options) : account(options) {}
};

received_body::received_body(std::shared_ptr<shared_account> account,
                             body_id id,
                             int socket)
    : account_(std::move(account)), id_(id), socket_(socket) {}

received_body::~received_body() {
  const auto lock = std::lock_guard(account_->mutex);
  account_->receiving.erase(id_);
  account_->account.Release(id_);
}

body_receiver::body_receiver(body_receiver_options options)
    : options_(std::move(options)),
      account_(
          std::make_shared<received_body::shared_account>(options_.account)) {}

auto body_receiver::TurnAway(body_result result) -> body_result {
  if (options_.on_turned_away) {
    options_.on_turned_away(GetReason(result));
  }
  return result;
}

auto body_receiver::EvictLocked(body_id id) -> void {
  const auto found = account_->receiving.find(id);
  if (found == account_->receiving.end()) {
    return;
  }
  auto& body = *found->second;
  body.is_evicted_ = true;
  std::string().swap(body.bytes_);
  account_->receiving.erase(found);
  const auto& answer = options_.evicted_answer;
  // As much as the socket takes: the caller is not waited for.
  ::send(body.socket_, answer.data(), answer.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
  // The thread that serves the connection sees its end, and closes it.
  ::shutdown(body.socket_, SHUT_RDWR);
  TurnAway(body_result::evicted);
}

auto body_receiver::ChargeLocked(received_body& body, std::uint64_t bytes)
    -> bool {
  const auto decision = account_->account.Charge(body.id_, bytes, GetNow());
  for (const auto id : decision.evicted) {
    EvictLocked(id);
  }
  if (decision.is_granted) {
    body.charged_bytes_ = bytes;
  }
  return decision.is_granted;
}

auto body_receiver::Begin(int socket) -> body_pointer {
  const auto lock = std::lock_guard(account_->mutex);
  const auto id = account_->account.Begin(GetNow());
  auto body = std::make_shared<received_body>(account_, id, socket);
  account_->receiving.emplace(id, body.get());
  return body;
}

auto body_receiver::Announce(received_body& body, std::uint64_t bytes)
    -> body_result {
  if (bytes > options_.max_body_bytes) {
    return TurnAway(body_result::too_large);
  }
  const auto lock = std::lock_guard(account_->mutex);
  if (!ChargeLocked(body, bytes)) {
    return TurnAway(body_result::no_memory);
  }
  body.bytes_.reserve(bytes);
  return body_result::stored;
}

auto body_receiver::Append(received_body& body, std::string_view bytes)
    -> body_result {
  const auto lock = std::lock_guard(account_->mutex);
  if (body.is_evicted_) {
    return body_result::evicted;
  }
  const auto total = body.bytes_.size() + bytes.size();
  if (total > options_.max_body_bytes) {
    return TurnAway(body_result::too_large);
  }
  if (total > body.charged_bytes_) {
    const auto step = std::max(kFirstChargeBytes, 2 * body.charged_bytes_);
    const auto charge =
        std::min(options_.max_body_bytes, std::max<std::uint64_t>(total, step));
    if (!ChargeLocked(body, charge)) {
      return TurnAway(body_result::no_memory);
    }
    body.bytes_.reserve(charge);
  }
  body.bytes_.append(bytes);
  account_->account.OnReceived(body.id_, bytes.size(), GetNow());
  return body_result::stored;
}

auto body_receiver::Take(received_body& body) -> std::optional<std::string> {
  const auto lock = std::lock_guard(account_->mutex);
  if (body.is_evicted_) {
    return std::nullopt;
  }
  account_->receiving.erase(body.id_);
  account_->account.OnWhole(body.id_);
  return std::move(body.bytes_);
}

auto body_receiver::End(received_body& body) -> void {
  const auto lock = std::lock_guard(account_->mutex);
  account_->receiving.erase(body.id_);
  account_->account.OnWhole(body.id_);
}

}  // namespace ebony
