#include "control/order_dispatcher.h"

#include <algorithm>
#include <set>

namespace ebony {

order_dispatcher::order_dispatcher(order_dispatcher_options options,
                                   mono_time leader_since)
    : options_(options), leader_since_(leader_since) {}

auto order_dispatcher::MayStillArrive(const backend_state& backend,
                                      const order& open,
                                      mono_time now) const -> bool {
  if (backend.info.checks_fencing) {
    return false;  // The engine rejects a late copy by its fencing number.
  }
  // A copy that an earlier leader sent may still be in flight.
  if (now < leader_since_ + options_.max_delivery_delay) {
    return true;
  }
  const auto found = sends_.find(open.id);
  if (found == sends_.end()) {
    return false;
  }
  const auto& send = found->second;
  return (send.exchanges_in_flight > 0 && now < send.in_flight_until) ||
         now < send.late_copy_until;
}

auto order_dispatcher::StartDueSends(const control_data& data, mono_time now)
    -> std::vector<order_send> {
  auto due = std::vector<order_send>();
  for (const auto& [name, backend] : data.backends) {
    if (backend.suspected || backend.forgotten) {
      continue;
    }
    for (const auto& ledger : backend.accelerators) {
      if (!ledger.get_open()) {
        continue;
      }
      auto& send = sends_[ledger.get_open()->id];
      if (now < send.next_send || send.is_applied) {
        continue;
      }
      send.next_send = now + options_.retry_interval;
      ++send.exchanges_in_flight;
      send.in_flight_until =
          now + options_.exchange_timeout + options_.max_delivery_delay;
      due.push_back(
          {*ledger.get_open(), backend.info.address, backend.info.run});
    }
  }
  return due;
}

auto order_dispatcher::OnAnswered(order_id id) -> void {
  const auto found = sends_.find(id);
  if (found != sends_.end() && found->second.exchanges_in_flight > 0) {
    --found->second.exchanges_in_flight;
  }
}

auto order_dispatcher::OnFailed(order_id id, mono_time now) -> void {
  const auto found = sends_.find(id);
  if (found == sends_.end()) {
    return;
  }
  auto& send = found->second;
  if (send.exchanges_in_flight > 0) {
    --send.exchanges_in_flight;
  }
  send.late_copy_until =
      std::max(send.late_copy_until, now + options_.max_delivery_delay);
}

auto order_dispatcher::FindResolutions(const control_data& data,
                                       const backend_announcement& report,
                                       mono_time now)
    -> std::vector<resolve_order_command> {
  auto resolutions = std::vector<resolve_order_command>();
  const auto found = data.backends.find(report.name);
  if (found == data.backends.end() || found->second.info.run != report.run) {
    return resolutions;
  }
  const auto& backend = found->second;
  const auto count =
      std::min(backend.accelerators.size(), report.accelerators.size());
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto& ledger = backend.accelerators[i];
    const auto& observed = report.accelerators[i];
    auto command = resolve_order_command();
    command.backend = report.name;
    command.accelerator = accelerator_index(static_cast<std::uint32_t>(i));
    command.observed = observed.residents;
    command.sequence = report.sequence;
    if (report.sequence <= ledger.get_resolved_sequence()) {
      continue;  // Predates the newest resolved outcome.
    }
    if (ledger.get_open()) {
      const auto& open = *ledger.get_open();
      const auto is_applied = observed.applied == open.id;
      sends_[open.id].is_applied = is_applied;
      if (is_applied && !MayStillArrive(backend, open, now)) {
        command.id = open.id;
        resolutions.push_back(std::move(command));
      }
    } else if (!HaveSameResidents(observed.residents, ledger.get_confirmed())) {
      resolutions.push_back(std::move(command));
    }
  }
  return resolutions;
}

auto order_dispatcher::PruneClosed(const control_data& data) -> void {
  auto open = std::set<order_id>();
  for (const auto& [name, backend] : data.backends) {
    for (const auto& ledger : backend.accelerators) {
      if (ledger.get_open()) {
        open.insert(ledger.get_open()->id);
      }
    }
  }
  std::erase_if(
      sends_, [&open](const auto& item) { return !open.contains(item.first); });
}

}  // namespace ebony
