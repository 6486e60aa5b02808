#include "main/backend_roster.h"

#include "codec/record_codec.h"
#include "core/error_kind.h"

namespace ebony {

namespace {

// Lost backend servers that control has heard of are dropped after this.
constexpr auto kForgetLost = std::chrono::minutes(5);

auto HasNews(const backend_announcement& before,
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

backend_roster::backend_roster(duration timeout) : timeout_(timeout) {}

auto backend_roster::OnAnnouncement(const backend_announcement& state,
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
                      "announcement: older than the last one");
  }
  const auto is_news = HasNews(known.state, state) || known.is_lost;
  known.state = state;
  known.heard = now;
  known.is_lost = false;
  if (is_news) {
    known.is_dirty = true;
    known.reported_in = 0;
  }
}

auto backend_roster::FindLost(mono_time now) -> void {
  for (auto& [name, known] : backends_) {
    if (!known.is_lost && now - known.heard >= timeout_) {
      known.is_lost = true;
      known.is_dirty = true;
      known.reported_in = 0;
    }
  }
  std::erase_if(backends_, [now](const auto& item) {
    return item.second.is_lost && !item.second.is_dirty &&
           now - item.second.heard > kForgetLost;
  });
}

auto backend_roster::FillPoll(schema::entry_poll& poll, mono_time now) -> void {
  for (auto& [name, known] : backends_) {
    if (!known.is_dirty) {
      continue;
    }
    auto* report = poll.add_reports();
    *report->mutable_state() = ToSchema(known.state);
    report->set_unreachable(known.is_lost);
    report->set_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - known.heard)
            .count()));
    if (known.reported_in == 0) {
      known.reported_in = poll.sequence();
    }
  }
}

auto backend_roster::OnPollAnswered(std::uint64_t sequence) -> void {
  for (auto& [name, known] : backends_) {
    if (known.is_dirty && known.reported_in != 0 &&
        known.reported_in <= sequence) {
      known.is_dirty = false;
    }
  }
}

auto backend_roster::OnNewLeader() -> void {
  for (auto& [name, known] : backends_) {
    known.is_dirty = true;
    known.reported_in = 0;
  }
}

auto backend_roster::FillGossip(schema::backend_gossip& gossip,
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
