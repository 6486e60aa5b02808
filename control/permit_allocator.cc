#include "control/permit_allocator.h"

#include <algorithm>
#include <utility>

namespace ebony {

auto permit_allocator::GetInterval(const server_state& server) const
    -> duration {
  constexpr double kMinShare = 0.01;
  const auto share = kGrantedFraction * std::max(reachable_share_, kMinShare);
  const auto interval = GetRequestInterval(*server.rate);
  return duration(static_cast<duration::rep>(
      static_cast<double>(interval.count()) / share));
}

auto permit_allocator::GetAge(const server_state& server, mono_time now) const
    -> duration {
  const auto max_age = std::max(kMinBacklog, GetInterval(server) / 2);
  return std::min(max_age, duration(now - server.next_due));
}

auto permit_allocator::Restart(mono_time now) -> void {
  servers_.clear();
  not_before_ = now + kTakeoverDelay;
}

auto permit_allocator::GetAvailability(const server_state& server,
                                       mono_time now) const -> duration {
  constexpr auto kNone = duration(-1);
  if (server.has_slots &&
      (now < server.slots_not_before || server.slots.CountFree(now) == 0)) {
    return kNone;
  }
  // Gateways with requests use a slot that is freed again, so that one which
  // is granted need not be kept for the daemon whose turn it is.
  return server.rate ? GetAge(server, now) : permit_queue::kReservation;
}

// What gateways hold of a server that has just begun to be limited by slots is
// known once they have reported it.
auto permit_allocator::SetSlots(server_state& server,
                                const limited_server& limited,
                                bool is_new,
                                mono_time now) -> void {
  const auto had_slots =
      std::exchange(server.has_slots, limited.limit.max_rejections.has_value());
  if (!server.has_slots) {
    return;
  }
  const auto slots = std::max(1U, limited.slots);
  server.slots.SetCapacity(
      limited.limit.is_presumed ? std::min(slots, kFirstSlots) : slots);
  if ((is_new || !had_slots) && !limited.limit.is_presumed) {
    server.slots_not_before = now + kTakeoverDelay;
  }
}

auto permit_allocator::SetLimit(const limited_server& limited, mono_time now)
    -> void {
  if (!IsLimited(limited.limit)) {
    servers_.erase(limited.id);
    return;
  }
  auto found = servers_.find(limited.id);
  const auto is_new = found == servers_.end() ||
                      found->second.start_time_ms != limited.start_time_ms;
  if (is_new) {
    found = servers_.insert_or_assign(limited.id, server_state()).first;
    found->second.start_time_ms = limited.start_time_ms;
    found->second.next_due = now;
  }
  found->second.rate = limited.limit.rate;
  SetSlots(found->second, limited, is_new, now);
}

auto permit_allocator::Request(const vm_name& vm,
                               const permit_report& report,
                               mono_time now) -> void {
  const auto found = servers_.find(report.id);
  if (found == servers_.end()) {
    return;
  }
  auto& server = found->second;
  if (server.rate) {
    server.next_due -= GetInterval(server) * report.returned;
  }
  server.queue.Request(vm, report.waiting, report.expected, now);
  if (!server.has_slots || report.start_time_ms != server.start_time_ms) {
    return;
  }
  server.slots.Report(vm, report.held, now);
  if (report.rejected > 0) {
    server.slots.OnRejected(now);
  }
}

auto permit_allocator::Take(const vm_name& vm, mono_time now) -> permit_counts {
  auto permits = permit_counts();
  if (now < not_before_) {
    return permits;
  }
  for (auto& [id, server] : servers_) {
    server.queue.Expire(now);
    auto count = std::uint32_t{0};
    for (auto age = GetAvailability(server, now);
         age >= duration(0) && server.queue.TryTake(vm, age);
         age = GetAvailability(server, now)) {
      if (server.rate) {
        server.next_due = now - age + GetInterval(server);
      }
      if (server.has_slots) {
        server.slots.Grant(vm, now);
      }
      ++count;
    }
    if (count > 0) {
      permits[id] = count;
    }
  }
  return permits;
}

}  // namespace ebony
