#include "control/permit_relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ebony {

auto permit_relay::Request(const vm_name& vm,
                           const permit_report& report,
                           mono_time now) -> void {
  auto& server = servers_[report.id];
  if (report.start_time_ms > server.start_time_ms) {
    server.start_time_ms = report.start_time_ms;
    server.slots = slot_ledger();
    server.granted.clear();
  }
  const auto is_newer =
      report.news &&
      (!server.news || server.news->observed < report.news->observed);
  if (is_newer) {
    server.news = report.news;
  }
  server.returned += report.returned;
  server.rejected += report.rejected;
  server.queue.Request(vm, report.waiting, report.expected, now);
  server.slots.Report(vm, report.held, now);
}

auto permit_relay::Take(const vm_name& vm, mono_time now) -> permit_counts {
  auto permits = permit_counts();
  for (auto& [id, server] : servers_) {
    auto count = std::uint32_t{0};
    while (!server.granted.empty() &&
           server.queue.TryTake(vm, now - server.granted.front())) {
      server.granted.pop_front();
      server.slots.Grant(vm, now);
      ++count;
    }
    if (count > 0) {
      permits[id] = count;
    }
  }
  return permits;
}

auto permit_relay::TakeReports(mono_time now) -> std::vector<permit_report> {
  auto reports = std::vector<permit_report>();
  for (auto item = servers_.begin(); item != servers_.end();) {
    auto& server = item->second;
    server.queue.Expire(now);
    server.slots.Expire(now);
    while (!server.granted.empty() &&
           now - server.granted.front() > kPermitLifetime) {
      server.granted.pop_front();
      ++server.returned;
    }
    auto report = permit_report();
    report.id = item->first;
    report.start_time_ms = server.start_time_ms;
    report.news = std::exchange(server.news, std::nullopt);
    const auto held = static_cast<std::uint32_t>(server.granted.size());
    const auto waiting = server.queue.get_waiting();
    report.waiting = waiting - std::min(waiting, held);
    report.expected = server.queue.get_expected();
    report.returned = std::exchange(server.returned, 0);
    report.rejected = std::exchange(server.rejected, 0);
    report.held = server.slots.CountHeld(now) + held;
    const auto asks = report.waiting + report.expected > 0;
    const auto is_needed = report.news || report.returned > 0 ||
                           report.rejected > 0 || asks || report.held > 0 ||
                           server.has_asked || server.reported_held > 0;
    server.reported_held = report.held;
    server.has_asked = asks;
    if (is_needed) {
      reports.push_back(std::move(report));
    }
    // Created again by the next report of a gateway.
    const auto is_unused = server.queue.is_empty() && server.granted.empty() &&
                           server.slots.is_empty();
    item = is_unused ? servers_.erase(item) : std::next(item);
  }
  return reports;
}

auto permit_relay::OnGranted(const permit_counts& permits, mono_time now)
    -> void {
  for (const auto& [id, count] : permits) {
    auto& granted = servers_[id].granted;
    granted.insert(granted.end(), count, now);
  }
}

}  // namespace ebony
