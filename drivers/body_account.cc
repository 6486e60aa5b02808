#include "drivers/body_account.h"

namespace ebony {

body_account::body_account(body_account_options options) : options_(options) {}

auto body_account::Begin(mono_time now) -> body_id {
  const auto id = body_id(next_id_++);
  auto& body = bodies_[id];
  body.progress_at = now;
  ++receiving_;
  return id;
}

auto body_account::FindStalled(body_id except, mono_time now) const
    -> std::optional<body_id> {
  auto oldest = std::optional<body_id>();
  auto oldest_at = now - kStallTime;
  for (const auto& [id, body] : bodies_) {
    if (id != except && body.is_receiving && body.progress_at <= oldest_at) {
      oldest = id;
      oldest_at = body.progress_at;
    }
  }
  return oldest;
}

auto body_account::GetLimit(std::uint64_t bytes) const -> std::uint64_t {
  return bytes <= kSmallBytes
             ? options_.max_bytes
             : options_.max_bytes - options_.max_bytes / kReservedParts;
}

auto body_account::Charge(body_id id, std::uint64_t bytes, mono_time now)
    -> decision {
  auto result = decision();
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return result;
  }
  auto& body = found->second;
  const auto has_room = [&] {
    return charged_bytes_ - body.charged_bytes + bytes <= GetLimit(bytes) &&
           receiving_ <= options_.max_receiving;
  };
  while (!has_room()) {
    const auto stalled = FindStalled(id, now);
    if (!stalled) {
      return result;
    }
    Release(*stalled);
    result.evicted.push_back(*stalled);
  }
  charged_bytes_ += bytes - body.charged_bytes;
  body.charged_bytes = bytes;
  result.is_granted = true;
  return result;
}

auto body_account::OnReceived(body_id id, std::uint64_t bytes, mono_time now)
    -> void {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  auto& body = found->second;
  body.received_bytes += bytes;
  if (body.received_bytes - body.noted_bytes >= kProgressBytes) {
    body.noted_bytes = body.received_bytes;
    body.progress_at = now;
  }
}

auto body_account::OnWhole(body_id id) -> void {
  const auto found = bodies_.find(id);
  if (found != bodies_.end() && found->second.is_receiving) {
    found->second.is_receiving = false;
    --receiving_;
  }
}

auto body_account::Release(body_id id) -> void {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  charged_bytes_ -= found->second.charged_bytes;
  receiving_ -= found->second.is_receiving ? 1 : 0;
  bodies_.erase(found);
}

}  // namespace ebony
