// The control daemon's work as the leader: polls, orders and placement.

#include <algorithm>
#include <utility>

#include "codec/link_codec.h"
#include "codec/record_codec.h"
#include "consensus/voter_replacement.h"
#include "drivers/logger.h"
#include "main/backend_calls.h"
#include "main/control_daemon.h"

namespace ebony {

namespace {

using std::chrono::milliseconds;

// Time limit for the quorum to confirm this leader.
constexpr auto kReadTimeout = milliseconds(2000);
// A backend server that is suspected for this long is removed.
constexpr auto kLostBackendRetention = std::chrono::hours(1);
// Weight of the newest placement round in the smoothed demand.
constexpr double kDemandWeight = 0.05;
// Maximum difference of the rates of two clocks.
constexpr int kClockDriftPermille = 10;

auto MakeDispatcherOptions(const schema::control_settings& settings)
    -> order_dispatcher_options {
  return {milliseconds(settings.order_retry_ms()), kOrderTimeout,
          milliseconds(settings.order_hold_ms())};
}

// True when a report differs in a field that is replicated through the log.
auto HasReplicatedChange(const backend_state& known,
                         const backend_announcement& report) -> bool {
  const auto& info = known.info;
  return known.suspected || known.forgotten || report.run > info.run ||
         report.address != info.address || report.leaving != info.leaving ||
         report.slots != info.slots || report.services != info.services ||
         report.checks_fencing != info.checks_fencing ||
         report.checks_sender != info.checks_sender;
}

}  // namespace

auto control_daemon::OnPoll(const std::string& route,
                            const schema::entry_poll& poll) -> void {
  auto reply = schema::link_frame();
  auto* update = reply.mutable_update();
  update->set_sequence(poll.sequence());
  update->set_entry_incarnation(poll.incarnation());
  update->set_leader(GetLeaderVm());
  if (!leader_) {
    link_.Reply(route, std::move(reply));
    return;
  }
  const auto entry = vm_name(poll.vm());
  if (!leader_->leases.IsMember(entry)) {
    metrics_.Count("ebony_control_unknown_entry_polls_total");
    return;
  }
  const auto now = GetNow();
  leader_->leases.OnPoll(entry, config_version(poll.have_version()));
  leader_->detector.OnEntryPoll(entry, now);
  for (const auto& report : poll.reports()) {
    OnReport(entry, report);
  }
  const auto rounds_per_second = 1000.0 / settings_.placement_ms();
  for (const auto& demand : poll.demands()) {
    leader_->demand[model_name(demand.model())] +=
        kDemandWeight * demand.requests() * rounds_per_second;
  }
  const auto known = state_.get_data().daemon_schemas.find(entry);
  const auto is_new_schema = known == state_.get_data().daemon_schemas.end() ||
                             known->second != poll.schema_version();
  if (is_new_schema && leader_->proposed_schemas.insert(entry).second) {
    Propose(daemon_schema_command{entry, poll.schema_version()});
  }
  const auto from = config_version(poll.have_version());
  auto serve = [this, route, from, reply]() mutable {
    auto* current_update = reply.mutable_update();
    current_update->set_term(raft_->get_term().get());
    current_update->set_lease_ms(settings_.lease_ms());
    AddChangesSince(state_.get_data(), from, *current_update);
    link_.Reply(route, std::move(reply));
  };
  leader_->reads.push_back(
      {raft_->get_next_round(), now + kReadTimeout, std::move(serve), [] {}});
}

auto control_daemon::OnReport(const vm_name& entry,
                              const schema::backend_report& report) -> void {
  const auto state = ToDomain(report.state());
  const auto now = GetNow();
  if (report.unreachable()) {
    leader_->detector.OnUnreachable(entry, state.name, state.run, now);
    return;
  }
  leader_->detector.OnReachable(entry, state.name, state.run,
                                now - milliseconds(report.age_ms()));
  auto& newest = leader_->reports[state.name];
  const auto is_newer = std::pair(state.run, state.sequence) >=
                        std::pair(newest.run, newest.sequence);
  if (is_newer) {
    newest = state;
    leader_->has_new_reports = true;
  }
  const auto& backends = state_.get_data().backends;
  const auto known = backends.find(state.name);
  const auto has_change =
      known == backends.end() || HasReplicatedChange(known->second, state);
  if (is_newer && has_change &&
      leader_->proposed_backends.insert(state.name).second) {
    Propose(put_backend_command{state});
  }
}

auto control_daemon::OnOrderResult(const order_result& result) -> void {
  if (!leader_) {
    return;
  }
  if (result.is_settled) {
    leader_->orders.OnAnswered(result.id);
  } else {
    leader_->orders.OnFailed(result.id, GetNow());
  }
}

auto control_daemon::UpdateLeadership() -> void {
  if (!raft_->is_leader_ready()) {
    EndLeadership();
    return;
  }
  if (leader_) {
    return;
  }
  const auto now = GetNow();
  leader_ = std::make_unique<leader_state>(leader_state{
      .orders = order_dispatcher(MakeDispatcherOptions(settings_), now),
      .detector = failure_detector(
          {milliseconds(settings_.suspect_ms()), settings_.suspect_observers()},
          now),
      .leases = entry_leases(
          {milliseconds(settings_.lease_ms()), kClockDriftPermille}, entries_),
      .leading_since = now,
      .reports = {},
      .proposed_backends = {},
      .proposed_resolutions = {},
      .proposed_schemas = {},
      .joiners = {},
      .demand = {},
      .changes = {},
      .reads = {},
      .risks = {},
      .suspected_since = {},
      .has_new_reports = true,
      .load_tokens = static_cast<double>(settings_.loads_at_once()),
      .load_tokens_updated_at = now,
      .next_placement = now + milliseconds(settings_.placement_ms()),
      .last_planned_index = {},
  });
  metrics_.Count("ebony_control_leaderships_total");
  LogEvent(log_level::info, "leader_started",
           {{"node", identity_.node.get()},
            {"term", std::to_string(raft_->get_term().get())}});
}

auto control_daemon::EndLeadership() -> void {
  if (!leader_) {
    return;
  }
  LogEvent(log_level::info, "leader_ended",
           {{"node", identity_.node.get()},
            {"term", std::to_string(raft_->get_term().get())}});
  const auto ended = std::move(leader_);
  for (const auto& [id, change] : ended->changes) {
    RespondError(*change.exchange, error_kind::not_leader, ran_state::unknown,
                 "the leadership ended before the outcome was known; retry "
                 "the same change with the same Idempotency-Key");
  }
  for (const auto& read : ended->reads) {
    read.reject();
  }
}

auto control_daemon::RunLeaderTasks(mono_time now) -> void {
  ServeReads(now);
  RespondToChanges(now);
  if (std::exchange(leader_->has_new_reports, false) ||
      now >= leader_->next_placement) {
    ProposeResolutions(now);
  }
  for (const auto& suspect :
       leader_->detector.FindSuspects(state_.get_data(), now)) {
    Propose(suspect);
  }
  if (now >= leader_->next_placement) {
    leader_->next_placement = now + milliseconds(settings_.placement_ms());
    RunPlacement(now);
    RemoveLostBackends(now);
    PlanMembershipChange();
    PublishMetrics();
  }
  SendOrders(now);
}

auto control_daemon::ServeReads(mono_time now) -> void {
  const auto confirmed = raft_->get_confirmed_round();
  auto reads = std::exchange(leader_->reads, {});
  for (auto& read : reads) {
    if (read.round <= confirmed) {
      read.serve();
    } else if (now >= read.deadline) {
      read.reject();
    } else {
      leader_->reads.push_back(std::move(read));
    }
  }
}

auto control_daemon::RespondToChanges(mono_time now) -> void {
  for (auto item = leader_->changes.begin(); item != leader_->changes.end();) {
    auto& change = item->second;
    auto is_done = false;
    if (change.outcome && !change.outcome->applied) {
      RespondError(*change.exchange, change.outcome->error, ran_state::no,
                   DescribeRejection(change));
      is_done = true;
    } else if (change.outcome) {
      const auto version = change.outcome->version;
      if (!change.accepted_at && leader_->leases.IsAccepted(version)) {
        change.accepted_at = now;
      }
      const auto in_force =
          change.accepted_at &&
          leader_->leases.IsInForce(version, *change.accepted_at, now);
      if (change.accepted_at && (in_force || !change.wait_in_force)) {
        change.exchange->Respond(
            200, {{"Content-Type", "application/json"}},
            "{\"revision\":" + std::to_string(change.outcome->revision.get()) +
                ",\"version\":" + std::to_string(version.get()) +
                ",\"in_force\":" + (in_force ? "true" : "false") + "}\n");
        is_done = true;
      }
    }
    if (!is_done && now >= change.deadline) {
      RespondError(*change.exchange, error_kind::not_in_force,
                   change.outcome ? ran_state::yes : ran_state::unknown,
                   "timed out before the entries confirmed the change; it may "
                   "still take effect");
      is_done = true;
    }
    item = is_done ? leader_->changes.erase(item) : std::next(item);
  }
}

auto control_daemon::ProposeResolutions(mono_time now) -> void {
  for (const auto& [name, report] : leader_->reports) {
    for (const auto& resolution :
         leader_->orders.FindResolutions(state_.get_data(), report, now)) {
      const auto place = std::pair(name, resolution.accelerator.get());
      if (leader_->proposed_resolutions.insert(place).second) {
        Propose(resolution);
      }
    }
  }
}

auto control_daemon::RunPlacement(mono_time now) -> void {
  const auto elapsed =
      std::chrono::duration<double>(now - leader_->load_tokens_updated_at)
          .count();
  leader_->load_tokens_updated_at = now;
  leader_->load_tokens =
      std::min(leader_->load_tokens + elapsed * settings_.loads_per_second(),
               static_cast<double>(settings_.loads_at_once()));
  for (auto& [model, demand] : leader_->demand) {
    demand *= 1 - kDemandWeight;
  }
  if (applied_ < leader_->last_planned_index) {
    return;  // orders of the previous plan are not applied yet
  }
  const auto plan =
      placement_.Plan(state_.get_data(), leader_->demand,
                      static_cast<std::size_t>(leader_->load_tokens));
  leader_->risks = plan.risks;
  metrics_.Count("ebony_control_loads_total", plan.moves.loads);
  metrics_.Count("ebony_control_unloads_total", plan.moves.unloads);
  metrics_.Count("ebony_control_shifts_total", plan.moves.shifts);
  for (const auto& issue : plan.orders) {
    const auto& ledger = state_.get_data()
                             .backends.at(issue.backend)
                             .accelerators.at(issue.accelerator.get());
    if (issue.target.size() > ledger.get_confirmed().size()) {
      leader_->load_tokens -= 1;
    }
    Propose(issue);
    metrics_.Count("ebony_control_orders_total");
    LogEvent(
        log_level::info, "order_planned",
        {{"backend_server", issue.backend.get()}, {"reason", issue.reason}});
  }
  leader_->last_planned_index = raft_->get_last_index();
}

auto control_daemon::RemoveLostBackends(mono_time now) -> void {
  for (const auto& [name, backend] : state_.get_data().backends) {
    if (!backend.suspected || backend.forgotten) {
      leader_->suspected_since.erase(name);
      continue;
    }
    const auto since =
        leader_->suspected_since.emplace(name, now).first->second;
    if (now - since >= kLostBackendRetention) {
      Propose(forget_backend_command{name});
    }
  }
}

auto control_daemon::SendOrders(mono_time now) -> void {
  for (const auto& send :
       leader_->orders.StartDueSends(state_.get_data(), now)) {
    auto call = MakeOrderCall(send, order_key_);
    const auto id = send.body.id;
    call.callbacks.on_end = [this, id](transfer_result end,
                                       const std::string&) {
      // An order that was answered or never sent has no copy in flight.
      const auto is_settled =
          end == transfer_result::completed || end == transfer_result::not_sent;
      events_.Push(order_result{id, is_settled});
    };
    client_.Call(std::move(call));
    metrics_.Count("ebony_control_order_sends_total");
  }
  leader_->orders.PruneClosed(state_.get_data());
}

auto control_daemon::PlanMembershipChange() -> void {
  auto status = member_status();
  status.is_caught_up = [this](const node_id& id) {
    return raft_->IsCaughtUp(id);
  };
  status.get_time_since_reply = [this](const node_id& id) {
    return raft_->GetTimeSinceReply(id);
  };
  status.supports_swaps = [this](const node_id& id) {
    return raft_->SupportsSwaps(id);
  };
  status.disk_lost_after = milliseconds(settings_.suspect_ms());
  const auto& group = raft_->get_group();
  if (group.swap) {
    ProposeMembership(EndSwap(group, identity_.node, status),
                      group.swap->joining);
    return;
  }
  for (const auto& joiner : leader_->joiners) {
    if (const auto next = PlanReplacement(group, joiner, status)) {
      ProposeMembership(*next, joiner);
      return;
    }
  }
}

auto control_daemon::ProposeMembership(const membership& next,
                                       const node_id& joiner) -> void {
  if (raft_->ProposeMembership(next)) {
    LogEvent(log_level::info, "membership_change",
             {{"joiner", joiner.get()},
              {"voters", std::to_string(next.voters.size())},
              {"learners", std::to_string(next.learners.size())}});
  }
}

auto control_daemon::PublishMetrics() -> void {
  const auto& data = state_.get_data();
  metrics_.Set("ebony_control_term",
               static_cast<double>(raft_->get_term().get()));
  metrics_.Set("ebony_control_commit",
               static_cast<double>(raft_->get_commit_index().get()));
  metrics_.Set("ebony_control_backends",
               static_cast<double>(data.backends.size()));
  metrics_.Set("ebony_control_models_at_risk",
               static_cast<double>(leader_->risks.size()));
  metrics_.Set("ebony_control_log_bytes",
               static_cast<double>(disk_.get_log_bytes()));
}

}  // namespace ebony
