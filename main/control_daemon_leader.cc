// What the control daemon does while it leads: polls, orders, placement.

#include <algorithm>
#include <utility>

#include "codec/link_codec.h"
#include "codec/record_codec.h"
#include "consensus/voter_replacement.h"
#include "drivers/logger.h"
#include "main/control_daemon.h"

namespace ebony {

namespace {

using std::chrono::milliseconds;

constexpr auto kReadTimeout = milliseconds(2000);
// A suspected backend server is forgotten after this.
constexpr auto kForgetAfter = std::chrono::hours(1);
constexpr auto kOrderTimeout = milliseconds(2000);
// Weight of the newest placement round in the smoothed demand.
constexpr double kDemandWeight = 0.05;
constexpr int kClockDriftPermille = 10;

auto MakeDispatcherOptions(const schema::control_settings& settings)
    -> order_dispatcher_options {
  return {milliseconds(settings.order_retry_ms()), kOrderTimeout,
          milliseconds(settings.order_hold_ms())};
}

// True when something that the log must know differs.
auto IsAnnouncementNews(const backend_state& known,
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
  leader_->watch.OnEntryPoll(entry, now);
  for (const auto& report : poll.reports()) {
    OnReport(entry, report);
  }
  const auto rounds_per_second = 1000.0 / settings_.placement_ms();
  for (const auto& demand : poll.demands()) {
    leader_->demand[model_name(demand.model())] +=
        kDemandWeight * demand.requests() * rounds_per_second;
  }
  const auto known = state_.get_data().daemon_schemas.find(entry);
  const auto is_schema_news = known == state_.get_data().daemon_schemas.end() ||
                              known->second != poll.schema_version();
  if (is_schema_news && leader_->proposed_schemas.insert(entry).second) {
    Propose(daemon_schema_command{entry, poll.schema_version()});
  }
  const auto from = config_version(poll.have_version());
  auto serve = [this, route, from, reply]() mutable {
    auto* fresh = reply.mutable_update();
    fresh->set_term(raft_->get_term().get());
    fresh->set_lease_ms(settings_.lease_ms());
    FillUpdate(state_.get_data(), from, *fresh);
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
    leader_->watch.OnUnreachable(entry, state.name, state.run, now);
    return;
  }
  leader_->watch.OnReachable(entry, state.name, state.run,
                             now - milliseconds(report.age_ms()));
  auto& newest = leader_->reports[state.name];
  const auto is_newer = std::pair(state.run, state.sequence) >=
                        std::pair(newest.run, newest.sequence);
  if (is_newer) {
    newest = state;
    leader_->has_news = true;
  }
  const auto& backends = state_.get_data().backends;
  const auto known = backends.find(state.name);
  const auto is_news =
      known == backends.end() || IsAnnouncementNews(known->second, state);
  if (is_newer && is_news &&
      leader_->proposed_backends.insert(state.name).second) {
    Propose(put_backend_command{state});
  }
}

auto control_daemon::OnOrderResult(const order_result& result) -> void {
  if (!leader_) {
    return;
  }
  if (result.consumed) {
    leader_->orders.OnAnswered(result.id);
  } else {
    leader_->orders.OnFailed(result.id, GetNow());
  }
}

auto control_daemon::UpdateLeaderDuty() -> void {
  if (!raft_->is_leader_ready()) {
    DropLeaderDuty();
    return;
  }
  if (leader_) {
    return;
  }
  const auto now = GetNow();
  leader_ = std::make_unique<leader_duty>(leader_duty{
      .orders = order_dispatcher(MakeDispatcherOptions(settings_), now),
      .watch = failure_detector(
          {milliseconds(settings_.suspect_ms()), settings_.suspect_observers()},
          now),
      .leases = entry_leases(
          {milliseconds(settings_.lease_ms()), kClockDriftPermille}, entries_),
      .since = now,
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
      .has_news = true,
      .load_tokens = static_cast<double>(settings_.loads_at_once()),
      .tokens_at = now,
      .next_placement = now + milliseconds(settings_.placement_ms()),
      .planned_up_to = {},
  });
  metrics_.Count("ebony_control_leaderships_total");
  LogEvent(log_level::info, "leader_started",
           {{"node", identity_.node.get()},
            {"term", std::to_string(raft_->get_term().get())}});
}

auto control_daemon::DropLeaderDuty() -> void {
  if (!leader_) {
    return;
  }
  LogEvent(log_level::info, "leader_ended",
           {{"node", identity_.node.get()},
            {"term", std::to_string(raft_->get_term().get())}});
  const auto duty = std::move(leader_);
  for (const auto& [id, change] : duty->changes) {
    RespondError(*change.exchange, error_kind::not_leader, ran_state::unknown,
                 "leadership ended before the outcome was known; send the "
                 "same change again");
  }
  for (const auto& read : duty->reads) {
    read.refuse();
  }
}

auto control_daemon::RunLeaderDuties(mono_time now) -> void {
  ServeReads(now);
  AnswerChanges(now);
  if (std::exchange(leader_->has_news, false) ||
      now >= leader_->next_placement) {
    ProposeResolutions(now);
  }
  for (const auto& suspect :
       leader_->watch.FindSuspects(state_.get_data(), now)) {
    Propose(suspect);
  }
  if (now >= leader_->next_placement) {
    leader_->next_placement = now + milliseconds(settings_.placement_ms());
    RunPlacement(now);
    ForgetLostBackends(now);
    RunMembership();
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
      read.refuse();
    } else {
      leader_->reads.push_back(std::move(read));
    }
  }
}

auto control_daemon::AnswerChanges(mono_time now) -> void {
  for (auto item = leader_->changes.begin(); item != leader_->changes.end();) {
    auto& change = item->second;
    auto is_done = false;
    if (change.outcome && !change.outcome->applied) {
      RespondError(*change.exchange, change.outcome->error, ran_state::no,
                   DescribeRefusal(change));
      is_done = true;
    } else if (change.outcome) {
      const auto version = change.outcome->version;
      if (!change.accepted && leader_->leases.IsAccepted(version)) {
        change.accepted = now;
      }
      const auto in_force =
          change.accepted &&
          leader_->leases.IsInForce(version, *change.accepted, now);
      if (change.accepted && (in_force || !change.wait_in_force)) {
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
                   "recorded, but not yet held by a majority of the entries");
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
      std::chrono::duration<double>(now - leader_->tokens_at).count();
  leader_->tokens_at = now;
  leader_->load_tokens =
      std::min(leader_->load_tokens + elapsed * settings_.loads_per_second(),
               static_cast<double>(settings_.loads_at_once()));
  for (auto& [model, demand] : leader_->demand) {
    demand *= 1 - kDemandWeight;
  }
  if (applied_ < leader_->planned_up_to) {
    return;  // The last plan's orders are not applied yet.
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
  leader_->planned_up_to = raft_->get_last();
}

auto control_daemon::ForgetLostBackends(mono_time now) -> void {
  for (const auto& [name, backend] : state_.get_data().backends) {
    if (!backend.suspected || backend.forgotten) {
      leader_->suspected_since.erase(name);
      continue;
    }
    const auto since =
        leader_->suspected_since.emplace(name, now).first->second;
    if (now - since >= kForgetAfter) {
      Propose(forget_backend_command{name});
    }
  }
}

auto control_daemon::SendOrders(mono_time now) -> void {
  for (const auto& send :
       leader_->orders.StartDueSends(state_.get_data(), now)) {
    auto call = http_call();
    call.url = "http://" + send.address.get() + "/v1/orders";
    auto body = ToSchema(send.body);
    body.set_backend_incarnation(send.run.get());
    call.body = RenderJson(body);
    call.headers = {"Content-Type: application/json"};
    if (!order_key_.empty()) {
      call.headers.push_back("Authorization: Bearer " + order_key_);
    }
    call.timeout = kOrderTimeout;
    call.repeatable = false;
    const auto id = send.body.id;
    call.callbacks.on_end = [this, id](http_end end, const std::string&) {
      // An order that never left, or that was answered, is not under way.
      const auto consumed = end == http_end::whole || end == http_end::not_sent;
      events_.Push(order_result{id, consumed});
    };
    client_.Call(std::move(call));
    metrics_.Count("ebony_control_order_sends_total");
  }
  leader_->orders.PruneClosed(state_.get_data());
}

auto control_daemon::RunMembership() -> void {
  auto facts = replacement_facts();
  facts.is_caught_up = [this](const node_id& id) {
    return raft_->IsCaughtUp(id);
  };
  facts.get_silence = [this](const node_id& id) {
    return raft_->GetSilence(id);
  };
  facts.lost_after = milliseconds(settings_.suspect_ms());
  for (const auto& joiner : leader_->joiners) {
    const auto next = PlanReplacement(raft_->get_group(), joiner, facts);
    if (!next) {
      continue;
    }
    if (raft_->ProposeMembership(*next)) {
      LogEvent(log_level::info, "membership_change",
               {{"joiner", joiner.get()},
                {"voters", std::to_string(next->voters.size())},
                {"learners", std::to_string(next->learners.size())}});
    }
    return;
  }
}

auto control_daemon::PublishMetrics() -> void {
  const auto& data = state_.get_data();
  metrics_.Set("ebony_control_term",
               static_cast<double>(raft_->get_term().get()));
  metrics_.Set("ebony_control_commit",
               static_cast<double>(raft_->get_commit().get()));
  metrics_.Set("ebony_control_backends",
               static_cast<double>(data.backends.size()));
  metrics_.Set("ebony_control_models_at_risk",
               static_cast<double>(leader_->risks.size()));
  metrics_.Set("ebony_control_log_bytes",
               static_cast<double>(disk_.get_log_bytes()));
}

}  // namespace ebony
