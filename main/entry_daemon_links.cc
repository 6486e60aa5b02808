// Link messages of the entry daemon: configuration polls, lease confirmation,
// gossip and claims.

#include <algorithm>
#include <utility>

#include "codec/entry_codec.h"
#include "codec/site_codec.h"
#include "control/record_rules.h"
#include "main/entry_daemon.h"

namespace ebony {

namespace {

using std::chrono::milliseconds;

// Time between confirmation rounds.
constexpr auto kConfirmInterval = milliseconds(200);
// Maximum number of backend loads in one gossip message.
constexpr std::size_t kMaxGossipLoads = 16;
// Time for which the end of a limit is passed on.
constexpr auto kEndedLimitAge = std::chrono::seconds(30);
// After more unanswered polls than this the next voter is polled.
constexpr std::uint64_t kMaxUnansweredPolls = 3;

}  // namespace

auto entry_daemon::OnFrame(const inbound_frame& inbound) -> void {
  const auto& frame = inbound.frame;
  switch (frame.body_case()) {
    case schema::link_frame::kUpdate:
      OnUpdate(frame.update(), vm_name(frame.from()));
      break;
    case schema::link_frame::kAsk:
      OnClaimRequest(inbound);
      break;
    case schema::link_frame::kAnswer:
      OnClaimAnswer(frame.answer());
      break;
    case schema::link_frame::kFinish:
      claim_table_.Complete(request_key(frame.finish().key()),
                            GetOwner(frame.finish()),
                            GetOutcome(frame.finish()));
      break;
    case schema::link_frame::kAttest:
      OnConfirmationRequest(inbound);
      break;
    case schema::link_frame::kGossip:
      OnGossip(frame.gossip());
      break;
    default:
      metrics_.Count("ebony_entry_unexpected_frames_total");
      break;
  }
}

auto entry_daemon::MergeRows(const schema::entry_update& update) -> void {
  for (const auto& row : update.backends()) {
    backend_rows_[row.backend()] = row;
  }
  for (const auto& row : update.records()) {
    record_rows_[row.content().name()] = row;
  }
}

auto entry_daemon::OnUpdate(const schema::entry_update& update,
                            const vm_name& from) -> void {
  if (update.entry_incarnation() != run_.get()) {
    return;  // The answer is for an earlier run of this daemon.
  }
  if (!update.attested_by_peer()) {
    leader_ = update.leader();
  }
  if (update.lease_ms() == 0) {
    return;
  }
  const auto before = table_.get_version();
  const auto is_applied = table_.Apply(ToDomain(update));
  if (is_applied && table_.get_version() > before) {
    MergeRows(update);
    router_.Prune(table_, GetNow());
  }
  const auto is_up_to_date =
      table_.get_version() >= config_version(update.to_version());
  if (!is_up_to_date) {
    return;
  }
  if (update.attested_by_peer()) {
    lease_.OnConfirmed(update.sequence(), from);
    return;
  }
  last_answered_poll_ = std::max(last_answered_poll_, update.sequence());
  lease_.OnLeaderLease(update.sequence(), milliseconds(update.lease_ms()));
  announcements_.OnPollAcknowledged(update.sequence());
  if (update.term() != leader_term_) {
    leader_term_ = update.term();
    announcements_.OnNewLeader();
  }
  if (table_.get_version() > before) {
    next_poll_ = GetNow();  // Acknowledges the new version immediately.
  }
}

auto entry_daemon::OnConfirmationRequest(const inbound_frame& inbound) -> void {
  if (lease_.is_uninitialised()) {
    return;
  }
  const auto& request = inbound.frame.attest();
  auto reply = schema::link_frame();
  auto* update = reply.mutable_update();
  update->set_sequence(request.sequence());
  update->set_entry_incarnation(request.incarnation());
  update->set_attested_by_peer(true);
  // Any value but 0; the requester uses the length of its own lease.
  update->set_lease_ms(1);
  update->set_from_version(request.have_version());
  update->set_to_version(
      std::max(request.have_version(), table_.get_version().get()));
  for (const auto& [name, row] : backend_rows_) {
    if (row.changed() > request.have_version()) {
      *update->add_backends() = row;
    }
  }
  for (const auto& [name, row] : record_rows_) {
    if (row.changed() > request.have_version()) {
      *update->add_records() = row;
    }
  }
  link_.Reply(inbound.route, std::move(reply));
}

auto entry_daemon::OnGossip(const schema::backend_gossip& gossip) -> void {
  const auto now = GetNow();
  directory_.OnStateReport(vm_name(gossip.vm()), gossip.serving(),
                           gossip.draining(), gossip.in_flight(), now);
  for (const auto& load : gossip.loads()) {
    const auto name = backend_name(load.backend());
    router_.OnReport(name, incarnation(load.incarnation()), load.running(),
                     load.queued(), now);
    router_.SetLeaving(name, load.leaving());
  }
  auto& permits = router_.get_permits();
  for (const auto& row : gossip.limits()) {
    auto limit = request_limit();
    if (row.limited()) {
      limit.rate = request_rate(row.rate());
    }
    limit.observed = now - milliseconds(row.age_ms());
    permits.OnAnnounced(backend_name(row.backend()), row.incarnation(), limit);
  }
  has_limits_ = permits.get_limited_servers() > 0;
  for (const auto& row : gossip.crashes()) {
    coordinator_.get_crashes().OnGossip(ToDomain(row), now);
  }
}

auto entry_daemon::AddLimits(schema::backend_gossip& gossip, mono_time now)
    -> void {
  auto& permits = router_.get_permits();
  permits.SetGatewayCount(directory_.ListEntries(now).size());
  for (const auto& item : permits.ListLimits(kEndedLimitAge, now)) {
    auto* row = gossip.add_limits();
    row->set_backend(item.id.get());
    row->set_incarnation(item.start_time_ms);
    row->set_limited(item.limit.rate.has_value());
    row->set_rate(item.limit.rate.value_or(request_rate()).get());
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - item.limit.observed);
    row->set_age_ms(static_cast<std::uint32_t>(age.count()));
  }
  metrics_.Set("ebony_limited_servers",
               static_cast<double>(permits.get_limited_servers()));
}

auto entry_daemon::OnClaimRequest(const inbound_frame& inbound) -> void {
  const auto& request = inbound.frame.ask();
  auto reply = schema::link_frame();
  *reply.mutable_answer() = ToSchema(
      claim_table_.TryClaim(request_key(request.key()), GetOwner(request),
                            request.fingerprint(), GetNow()));
  auto* answer = reply.mutable_answer();
  answer->set_key(request.key());
  answer->set_attempt(request.attempt());
  answer->set_owner_incarnation(request.owner_incarnation());
  answer->set_holder(self_.get());
  link_.Reply(inbound.route, std::move(reply));
}

auto entry_daemon::OnClaimAnswer(const schema::claim_answer& answer) -> void {
  if (answer.owner_incarnation() != run_.get()) {
    return;
  }
  coordinator_.OnClaimReply(request_key(answer.key()), answer.attempt(),
                            vm_name(answer.holder()), ToDomain(answer),
                            GetNow());
}

auto entry_daemon::Poll(mono_time now) -> void {
  next_poll_ = now + milliseconds(settings_.poll_ms());
  ++poll_sequence_;
  auto frame = schema::link_frame();
  auto* poll = frame.mutable_poll();
  poll->set_vm(self_.get());
  poll->set_incarnation(run_.get());
  poll->set_sequence(poll_sequence_);
  poll->set_have_version(table_.get_version().get());
  poll->set_schema_version(kNewestSchemaVersion);
  poll->set_serving(IsServing(now));
  announcements_.AddReports(*poll, now);
  for (const auto& [model, count] : demand_) {
    auto* row = poll->add_demands();
    row->set_model(model.get());
    row->set_requests(count);
  }
  demand_.clear();
  const auto is_unresponsive =
      poll_sequence_ - last_answered_poll_ > kMaxUnansweredPolls;
  auto target = vm_name(leader_);
  if (leader_.empty() || is_unresponsive) {
    target = voters_[next_voter_++ % voters_.size()].name;
  }
  lease_.OnPollSent(poll_sequence_, now);
  link_.Send(target, std::move(frame));
}

auto entry_daemon::Gossip(mono_time now) -> void {
  next_gossip_ = now + kGossipInterval;
  const auto in_flight = static_cast<std::uint32_t>(coordinator_.get_active());
  const auto is_serving = lease_.IsCurrent(now);
  directory_.OnStateReport(self_, is_serving, draining_, in_flight, now);
  auto frame = schema::link_frame();
  auto* gossip = frame.mutable_gossip();
  gossip->set_vm(self_.get());
  gossip->set_serving(is_serving);
  gossip->set_draining(draining_);
  gossip->set_in_flight(in_flight);
  announcements_.AddLoads(*gossip, kMaxGossipLoads);
  AddLimits(*gossip, now);
  const auto& crashes = coordinator_.get_crashes();
  for (const auto& report : crashes.ListGossip(now)) {
    *gossip->add_crashes() = ToSchema(report);
  }
  metrics_.Set("ebony_quarantined_keys",
               static_cast<double>(crashes.CountQuarantined(now)));
  for (const auto& peer : peers_) {
    if (peer.name != self_) {
      link_.Send(peer.name, frame);
    }
  }
  metrics_.Set("ebony_entry_active_requests", in_flight);
  metrics_.Set("ebony_entry_waiting_requests",
               static_cast<double>(coordinator_.get_waiting()));
  metrics_.Set("ebony_entry_config_version",
               static_cast<double>(table_.get_version().get()));
  metrics_.Set("ebony_entry_claims",
               static_cast<double>(claim_table_.get_size()));
}

auto entry_daemon::RequestConfirmation(mono_time now) -> void {
  next_confirm_ = now + kConfirmInterval;
  ++confirm_sequence_;
  lease_.OnConfirmationRequested(confirm_sequence_, now);
  for (const auto& peer : peers_) {
    if (peer.name == self_) {
      continue;
    }
    auto frame = schema::link_frame();
    auto* request = frame.mutable_attest();
    request->set_vm(self_.get());
    request->set_incarnation(run_.get());
    request->set_sequence(confirm_sequence_);
    request->set_have_version(table_.get_version().get());
    link_.Send(peer.name, std::move(frame));
  }
  metrics_.Count("ebony_entry_confirmation_rounds_total");
}

auto entry_daemon::SendClaimMessages() -> void {
  for (const auto& request : claim_coordinator_.TakeRequests()) {
    if (request.holder == self_) {
      const auto reply = claim_table_.TryClaim(request.key, request.owner,
                                               request.fingerprint, GetNow());
      coordinator_.OnClaimReply(request.key, request.owner.attempt, self_,
                                reply, GetNow());
      continue;
    }
    auto frame = schema::link_frame();
    *frame.mutable_ask() = ToSchema(request);
    link_.Send(request.holder, std::move(frame));
  }
  for (const auto& finish : claim_coordinator_.TakeCompletions()) {
    if (finish.holder == self_) {
      claim_table_.Complete(finish.key, finish.owner, finish.outcome);
      continue;
    }
    auto frame = schema::link_frame();
    *frame.mutable_finish() = ToSchema(finish);
    link_.Send(finish.holder, std::move(frame));
  }
}

}  // namespace ebony
