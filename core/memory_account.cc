#include "core/memory_account.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

constexpr std::uint64_t kMebibyte = std::uint64_t{1024} * 1024;
// Of the VM's memory. The rest is for the program, the registry, the calls to
// servers, and a body that is copied while it grows.
constexpr std::uint64_t kAccountPercent = 40;
// Of the account.
constexpr std::uint64_t kSmallPercent = 25;
constexpr std::uint64_t kControlPercent = 6;
// For this long after a client was refused memory, others may not exceed their
// share.
constexpr duration kWantTime = std::chrono::seconds(5);

auto GetLargePart(std::uint64_t bytes) -> std::uint64_t {
  return bytes > kSmallRequestBytes ? bytes : 0;
}

auto GetExcess(std::uint64_t bytes, std::uint64_t limit) -> std::uint64_t {
  return bytes > limit ? bytes - limit : 0;
}

}  // namespace

auto GetMemoryLimits(std::uint32_t memory_mb) -> memory_limits {
  auto limits = memory_limits();
  limits.total = memory_mb * kMebibyte * kAccountPercent / 100;
  limits.small_reserve = limits.total * kSmallPercent / 100;
  limits.control_reserve = limits.total * kControlPercent / 100;
  return limits;
}

memory_account::memory_account(memory_limits limits) : limits_(limits) {}

auto memory_account::GetRoom(memory_user user, std::uint64_t bytes) const
    -> std::uint64_t {
  if (user == memory_user::daemon) {
    return limits_.total;
  }
  const auto room = GetExcess(limits_.total, limits_.control_reserve);
  return bytes > kSmallRequestBytes ? GetExcess(room, limits_.small_reserve)
                                    : room;
}

auto memory_account::HasOtherWants(client_address client, mono_time now) const
    -> bool {
  return std::any_of(wants_.begin(), wants_.end(), [&](const want& item) {
    return item.until > now && item.client != client;
  });
}

auto memory_account::RecordWant(client_address client, mono_time now) -> void {
  auto same = std::find_if(wants_.begin(), wants_.end(), [&](const want& item) {
    return item.client == client;
  });
  if (same == wants_.end()) {
    same = std::min_element(wants_.begin(), wants_.end(),
                            [](const want& left, const want& right) {
                              return left.until < right.until;
                            });
  }
  *same = {client, now + kWantTime};
}

auto memory_account::Draw(client_address client,
                          memory_user user,
                          std::uint64_t from,
                          std::uint64_t to,
                          mono_time now) -> memory_verdict {
  const auto is_only_large =
      to > kSmallRequestBytes && used_by_large_ == GetLargePart(from);
  if (limits_.total == 0 || to <= from || is_only_large) {
    Set(client, from, to);
    return memory_verdict::granted;
  }
  const auto grown = to - from;
  if (user == memory_user::client && HasOtherWants(client, now) &&
      GetUsedBy(client) + grown > get_share()) {
    return memory_verdict::over_share;
  }
  if (used_ + grown > GetRoom(user, to)) {
    RecordWant(client, now);
    return memory_verdict::no_room;
  }
  Set(client, from, to);
  return memory_verdict::granted;
}

auto memory_account::Set(client_address client,
                         std::uint64_t from,
                         std::uint64_t to) -> void {
  if (limits_.total == 0 || from == to) {
    return;
  }
  used_ = used_ - from + to;
  used_by_large_ = used_by_large_ - GetLargePart(from) + GetLargePart(to);
  auto& held = used_by_client_[client];
  held = held - from + to;
  if (held == 0) {
    used_by_client_.erase(client);
  }
}

auto memory_account::GetShortage(client_address client,
                                 memory_user user,
                                 std::uint64_t from,
                                 std::uint64_t to,
                                 memory_verdict verdict) const
    -> std::uint64_t {
  switch (verdict) {
    case memory_verdict::no_room:
      return GetExcess(used_ + to - from, GetRoom(user, to));
    case memory_verdict::over_share:
      return GetExcess(GetUsedBy(client) + to - from, get_share());
    case memory_verdict::granted:
      break;
  }
  return 0;
}

auto memory_account::GetOverdraft() const -> std::uint64_t {
  return limits_.total == 0 ? 0 : GetExcess(used_, limits_.total);
}

auto memory_account::GetUsedBy(client_address client) const -> std::uint64_t {
  const auto found = used_by_client_.find(client);
  return found == used_by_client_.end() ? 0 : found->second;
}

auto memory_account::FindLargest() const -> client_address {
  const auto largest =
      std::max_element(used_by_client_.begin(), used_by_client_.end(),
                       [](const auto& left, const auto& right) {
                         return std::pair(left.second, left.first) <
                                std::pair(right.second, right.first);
                       });
  return largest == used_by_client_.end() ? client_address() : largest->first;
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : account_(std::exchange(other.account_, nullptr)),
      client_(other.client_),
      user_(other.user_),
      bytes_(std::exchange(other.bytes_, 0)) {}

auto memory_charge::operator=(memory_charge&& other) noexcept
    -> memory_charge& {
  if (this != &other) {
    Set(0);
    account_ = std::exchange(other.account_, nullptr);
    client_ = other.client_;
    user_ = other.user_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

auto memory_charge::GrowTo(std::uint64_t bytes, mono_time now)
    -> memory_verdict {
  if (account_ == nullptr || bytes <= bytes_) {
    return memory_verdict::granted;
  }
  const auto verdict = account_->Draw(client_, user_, bytes_, bytes, now);
  if (verdict == memory_verdict::granted) {
    bytes_ = bytes;
  }
  return verdict;
}

auto memory_charge::GetShortage(std::uint64_t bytes,
                                memory_verdict verdict) const -> std::uint64_t {
  return account_ == nullptr
             ? 0
             : account_->GetShortage(client_, user_, bytes_, bytes, verdict);
}

}  // namespace ebony
