#include "control/permit_queue.h"

#include <algorithm>

namespace ebony {

auto permit_queue::IsAnotherFirst(const requester& item) const -> bool {
  const auto waits = item.waiting > 0;
  return std::any_of(
      requesters_.begin(), requesters_.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        const auto other_waits = other.waiting > 0;
        if (&other == &item || (!other_waits && other.expected == 0)) {
          return false;
        }
        return other_waits != waits ? other_waits : other.turn < item.turn;
      });
}

auto permit_queue::Request(const vm_name& vm,
                           std::uint32_t waiting,
                           std::uint32_t expected,
                           mono_time now) -> void {
  auto& item = requesters_[vm];
  item.waiting = waiting;
  item.expected = expected;
  item.last_request = now;
}

auto permit_queue::TryTake(const vm_name& vm, duration age) -> bool {
  const auto found = requesters_.find(vm);
  if (found == requesters_.end()) {
    return false;
  }
  auto& item = found->second;
  if (item.waiting == 0 && item.expected == 0) {
    return false;
  }
  if (age < kReservation && IsAnotherFirst(item)) {
    return false;
  }
  --(item.waiting > 0 ? item.waiting : item.expected);
  item.turn = ++last_turn_;
  return true;
}

auto permit_queue::Expire(mono_time now) -> void {
  std::erase_if(requesters_, [now](const auto& entry) {
    return now - entry.second.last_request > kRequesterTimeout;
  });
}

auto permit_queue::get_waiting() const -> std::uint32_t {
  auto sum = std::uint32_t{0};
  for (const auto& [vm, item] : requesters_) {
    sum += item.waiting;
  }
  return sum;
}

auto permit_queue::get_expected() const -> std::uint32_t {
  auto sum = std::uint32_t{0};
  for (const auto& [vm, item] : requesters_) {
    sum += item.expected;
  }
  return sum;
}

}  // namespace ebony
