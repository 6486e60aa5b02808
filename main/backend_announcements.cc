#include "main/backend_announcements.h"

#include "codec/record_codec.h"
#include "core/error_kind.h"

namespace ebony {

namespace {

// Lost backend servers are dropped after this time, counted from their last
// announcement, once the leader has acknowledged the loss.
constexpr auto kLostBackendRetention = std::chrono::minutes(5);

auto HasReportableChange(const backend_announcement& before,
                         const backend_announcement& after) -> bool {
  if (before.run != after.run || before.address != after.address ||
      before.leaving != after.leaving || before.slots != after.slots ||
      before.services != after.services ||
      before.accelerators.size() != after.accelerators.size()) {
    return true;
  }
  for (auto i = std::size_t{0}; i < after.accelerators.size(); ++i) {
    if (before.accelerators[i].applied != after.accelerators[i].applied ||
        before.accelerators[i].residents != after.accelerators[i].residents) {
      return true;
    }
  }
  return false;
}

}  // namespace

backend_announcements::backend_announcements(duration timeout)
    : timeout_(timeout) {}

auto backend_announcements::OnAnnouncement(const backend_announcement& state,
                                           mono_time now) -> void {
  const auto found = backends_.find(state.name);
  if (found == backends_.end()) {
    backends_[state.name] = {state, now, false, true, 0};
    return;
  }
  auto& known = found->second;
  if (std::pair(state.run, state.sequence) <
      std::pair(known.state.run, known.state.sequence)) {
    throw ebony_error(error_kind::invalid_request,
                      "announcement: older than the last one received");
  }
  const auto must_report =
      HasReportableChange(known.state, state) || known.is_lost;
  known.state = state;
  known.last_seen = now;
  known.is_lost = false;
  if (must_report) {
    known.needs_report = true;
    known.reported_in_poll = 0;
  }
}

auto backend_announcements::MarkLost(mono_time now) -> void {
  for (auto& [name, known] : backends_) {
    if (!known.is_lost && now - known.last_seen >= timeout_) {
      known.is_lost = true;
      known.needs_report = true;
      known.reported_in_poll = 0;
    }
  }
  std::erase_if(backends_, [now](const auto& item) {
    return item.second.is_lost && !item.second.needs_report &&
           now - item.second.last_seen > kLostBackendRetention;
  });
}

auto backend_announcements::AddReports(schema::entry_poll& poll, mono_time now)
    -> void {
  for (auto& [name, known] : backends_) {
    if (!known.needs_report) {
      continue;
    }
    auto* report = poll.add_reports();
    *report->mutable_state() = ToSchema(known.state);
    report->set_unreachable(known.is_lost);
    report->set_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                              known.last_seen)
            .count()));
    if (known.reported_in_poll == 0) {
      known.reported_in_poll = poll.sequence();
    }
  }
}

auto backend_announcements::OnPollAcknowledged(std::uint64_t sequence) -> void {
  for (auto& [name, known] : backends_) {
    if (known.needs_report && known.reported_in_poll != 0 &&
        known.reported_in_poll <= sequence) {
      known.needs_report = false;
    }
  }
}

auto backend_announcements::OnNewLeader() -> void {
  for (auto& [name, known] : backends_) {
    known.needs_report = true;
    known.reported_in_poll = 0;
  }
}

auto backend_announcements::AddLoads(schema::backend_gossip& gossip,
                                     std::size_t limit) -> void {
  for (const auto& [name, known] : backends_) {
    if (known.is_lost ||
        static_cast<std::size_t>(gossip.loads_size()) >= limit) {
      continue;
    }
    auto* load = gossip.add_loads();
    load->set_backend(name.get());
    load->set_incarnation(known.state.run.get());
    load->set_sequence(known.state.sequence);
    load->set_running(known.state.running);
    load->set_queued(known.state.queued);
    load->set_leaving(known.state.leaving);
  }
}

}  // namespace ebony
