#include <utility>

#include "codec/site_codec.h"
#include "main/coordinator_daemon.h"
#include "main/site_paths.h"

// The calls between coordinators and gateways.

namespace ebony {

namespace {

constexpr duration kFollowInterval = std::chrono::milliseconds(400);
// While this serves gateways, and while one of them lacks a model.
constexpr duration kRelayInterval = std::chrono::milliseconds(100);
constexpr duration kHurriedInterval = std::chrono::milliseconds(30);
// A follower that was not heard for this long is no relay.
constexpr duration kFollowerSilence = std::chrono::milliseconds(1500);
constexpr duration kFollowTimeout = std::chrono::milliseconds(800);
// Shorter than the second that callers of these interfaces wait.
constexpr duration kPassOnTimeout = std::chrono::milliseconds(900);
constexpr duration kLinkIdle = std::chrono::seconds(5);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

// What a backend server says is acknowledged only once the leader has it.
auto coordinator_daemon::PassToLeader(const schema::backend_status_row& row,
                                      const answer_pointer& answer) -> void {
  const auto leader = quorum_.GetLeaderLink();
  if (leader == host_port() || leader == quorum_.get_self_link()) {
    Answer(answer, kUnavailable, {});
    return;
  }
  auto batch = schema::announce_batch();
  *batch.add_backends() = row;
  const auto status = std::make_shared<int>(0);
  auto hooks = call_hooks();
  hooks.on_head = [status](const http_head& head) {
    *status = head.status;
    return true;
  };
  hooks.on_whole = [this, status, answer] {
    if (*status == kOk) {
      AnswerAnnounced(answer);
    } else {
      Answer(answer, kUnavailable, {});
    }
  };
  hooks.on_failed = [this, answer](call_failure) {
    Answer(answer, kUnavailable, {});
  };
  auto options = call_options();
  options.max_idle = kLinkIdle;
  options.connect_time = kPassOnTimeout;
  const auto call = std::shared_ptr<http_call>(pool_.Start(
      leader, RenderPost(kAnnouncePath, leader, batch.SerializeAsString()),
      false, options, std::move(hooks)));
  loop_.AddTimerIn(kPassOnTimeout, [this, call, answer] {
    if (!answer->is_final()) {
      call->Cancel();
      Answer(answer, kUnavailable, {});
    }
  });
}

auto coordinator_daemon::OnAnnounceBatch(const std::string& body,
                                         const answer_pointer& answer) -> void {
  auto batch = schema::announce_batch();
  if (!quorum_.is_leader() || !batch.ParseFromString(body)) {
    Answer(answer, kUnavailable, {});
    return;
  }
  const auto left = std::make_shared<int>(batch.backends_size());
  const auto is_all_known = std::make_shared<bool>(true);
  for (const auto& row : batch.backends()) {
    const auto record = ToDomain(row, loop_.get_now());
    if (record.is_gone) {
      registry_.Leave(record.status.id, record.status.born_ms, loop_.get_now());
    } else {
      NoteAnnouncement(record.status);
    }
    AcknowledgeKnown(record.status.id,
                     [this, answer, left, is_all_known](bool is_known) {
                       *is_all_known = *is_all_known && is_known;
                       if (--*left == 0) {
                         Answer(answer, *is_all_known ? kOk : kUnavailable, {});
                       }
                     });
  }
}

auto coordinator_daemon::OnLinkCall(const http_call_in& call,
                                    const answer_pointer& answer) -> void {
  const auto& path = call.head.target;
  if (path == kRaftPath) {
    const auto body = quorum_.OnRaftCall(call.body);
    Answer(answer, body ? kOk : kUnavailable, body.value_or(""));
  } else if (path == kJoinPath) {
    Answer(answer, kOk, quorum_.OnJoinCall(call.body));
  } else if (path == kSyncPath) {
    OnSync(call.body, answer);
  } else if (path == kAnnouncePath) {
    OnAnnounceBatch(call.body, answer);
  } else {
    Answer(answer, kNotFound, {});
  }
}

auto coordinator_daemon::NoteLoads(const schema::sync_request& request)
    -> void {
  // Reported by the numbers of another leader, a load says nothing here.
  if (request.roster_source() == roster_source_) {
    auto report = load_report();
    ForEachLoad(request.loads(), numbers_,
                [&report](const backend_name& id, std::uint32_t requests,
                          std::uint64_t tokens) {
                  report[id] = {requests, tokens};
                });
    loads_.Report(vm_name(request.vm()), std::move(report), loop_.get_now());
  }
  for (const auto& row : request.demands()) {
    orders_.NoteDemand(row);
  }
}

auto coordinator_daemon::FillLoads(schema::backend_loads& rows) const -> void {
  for (const auto& [id, amount] : loads_.get_totals()) {
    AddLoad(rows, numbers_.GetNumber(id),
            static_cast<std::uint32_t>(amount.requests), amount.tokens);
  }
}

auto coordinator_daemon::FillRoster(const schema::sync_request& request,
                                    schema::sync_answer& reply) -> void {
  reply.set_roster_source(roster_source_);
  reply.set_roster_revision(registry_.get_revision());
  const auto since =
      request.roster_source() == roster_source_ ? request.have_roster() : 0;
  for (const auto* record : registry_.ListSince(since)) {
    auto* row = reply.add_backends();
    *row = ToSchema(*record, loop_.get_now());
    row->set_number(numbers_.Assign(record->status.id));
  }
}

auto coordinator_daemon::FillConfig(const schema::sync_request& request,
                                    schema::sync_answer& reply) const -> void {
  reply.set_config_number(config_.number.get());
  if (request.have_config() < config_.number.get()) {
    reply.set_config(config_.body.bytes);
    reply.set_config_bytes(config_.body.inflated_size);
  }
}

// A gateway's sync with the leader.
auto coordinator_daemon::FillGatewayAnswer(const schema::sync_request& request,
                                           schema::sync_answer& reply) -> void {
  const auto now = loop_.get_now();
  gateways_.Update({vm_name(request.vm()), host_port(request.caller_address()),
                    data_centre_name(request.data_centre()),
                    incarnation(request.incarnation()), request.ready(), now});
  NoteLoads(request);
  FillLoads(*reply.mutable_loads());
  FillRoster(request, reply);
  FillConfig(request, reply);
  FillRelays(reply);
  reply.set_served_gateways(reply.gateway_count());
  departures_.OnRevisionSent(vm_name(request.vm()), registry_.get_revision(),
                             now);
}

// Gateways go to a relay only where they are too many for the leader.
auto coordinator_daemon::FillRelays(schema::sync_answer& reply) const -> void {
  if (reply.gateway_count() <= sync_relay::kDirectGateways) {
    return;
  }
  const auto now = loop_.get_now();
  for (const auto& [vm, follower] : followers_) {
    if (now - follower.heard <= kFollowerSilence) {
      auto* row = reply.add_relays();
      row->set_link(follower.link.get());
      row->set_data_centre(follower.data_centre.get());
    }
  }
}

// The sync of a coordinator that follows, with the gateways that it serves.
auto coordinator_daemon::FillFollowerAnswer(const schema::sync_request& request,
                                            schema::sync_answer& reply)
    -> void {
  followers_[vm_name(request.vm())] = {host_port(request.relay_link()),
                                       data_centre_name(request.data_centre()),
                                       loop_.get_now()};
  NoteRelayed(request);
  NoteLoads(request);
  FillRoster(request, reply);
  if (reply.gateway_count() > sync_relay::kDirectGateways) {
    FillLoads(*reply.mutable_loads());
  }
  if (request.wants_gateways()) {
    FillGateways(reply);
  }
}

auto coordinator_daemon::NoteRelayed(const schema::sync_request& request)
    -> void {
  const auto is_of_this_roster = request.roster_source() == roster_source_;
  for (const auto& row : request.relayed()) {
    const auto vm = vm_name(row.vm());
    const auto heard =
        loop_.get_now() - std::chrono::milliseconds(row.silent_ms());
    gateways_.Update({vm, host_port(row.caller_address()),
                      data_centre_name(row.data_centre()),
                      incarnation(row.incarnation()), row.ready(), heard});
    departures_.OnRevisionSent(vm, is_of_this_roster ? row.told_roster() : 0,
                               heard);
  }
}

auto coordinator_daemon::FillGateways(schema::sync_answer& reply) const
    -> void {
  for (const auto& gateway : gateways_.ListReady(loop_.get_now())) {
    auto* row = reply.add_gateways();
    row->set_vm(gateway.vm.get());
    row->set_caller_address(gateway.caller_address.get());
    row->set_data_centre(gateway.data_centre.get());
    row->set_ready(true);
  }
}

// A gateway's sync with this coordinator while another one leads.
auto coordinator_daemon::FillRelayedAnswer(const schema::sync_request& request,
                                           schema::sync_answer& reply) -> void {
  const auto now = loop_.get_now();
  relay_.Note(request, now);
  relay_.FillAnswer(request, reply, now);
  FillConfig(request, reply);
}

auto coordinator_daemon::OnSync(const std::string& body,
                                const answer_pointer& answer) -> void {
  auto request = schema::sync_request();
  if (!request.ParseFromString(body)) {
    Answer(answer, kUnavailable, {});
    return;
  }
  const auto leads = quorum_.is_leader();
  const auto is_gateway = !request.caller_address().empty();
  auto reply = schema::sync_answer();
  reply.set_is_leader(leads);
  reply.set_leader_link(quorum_.GetLeaderLink().get());
  for (const auto& link : quorum_.GetLinks()) {
    reply.add_coordinator_links(link.get());
  }
  const auto now = loop_.get_now();
  reply.set_gateway_count(
      static_cast<std::uint32_t>(gateways_.CountReady(now)));
  if (leads && is_gateway) {
    FillGatewayAnswer(request, reply);
  } else if (leads) {
    FillFollowerAnswer(request, reply);
  } else if (is_gateway && relay_.IsCurrent(now)) {
    FillRelayedAnswer(request, reply);
  }
  Answer(answer, kOk, reply.SerializeAsString());
  if (leads) {
    departures_.Tick(now);
  }
}

auto coordinator_daemon::GetFollowInterval() const -> duration {
  if (relay_.HasMissing()) {
    return kHurriedInterval;
  }
  return relay_.HasGateways() ? kRelayInterval : kFollowInterval;
}

// A follower asks the leader for the gateways, for its own directory, and for
// what the gateways that it serves ask for.
auto coordinator_daemon::FollowLeader() -> void {
  const auto leader = quorum_.GetLeaderLink();
  const auto now = loop_.get_now();
  if (follow_call_ != nullptr && now - follow_began_ > kFollowTimeout) {
    follow_call_->Cancel();
    follow_call_ = nullptr;
  }
  if (leader == host_port() || follow_call_ != nullptr ||
      now - follow_began_ < GetFollowInterval()) {
    return;
  }
  follow_began_ = now;
  auto request = schema::sync_request();
  request.set_vm(settings_.vm.get());
  request.set_data_centre(settings_.data_centre.get());
  request.set_relay_link(quorum_.get_self_link().get());
  request.set_wants_gateways(now - listed_ >= kFollowInterval);
  if (request.wants_gateways()) {
    listed_ = now;
  }
  relay_.FillRequest(request, now);
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_head = [](const http_head&) { return true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_whole = [this, body] {
    follow_call_ = nullptr;
    OnFollowed(*body);
  };
  hooks.on_failed = [this](call_failure) { follow_call_ = nullptr; };
  auto options = call_options();
  options.max_idle = kLinkIdle;
  follow_call_ = pool_.Start(
      leader, RenderPost(kSyncPath, leader, request.SerializeAsString()), false,
      options, std::move(hooks));
}

auto coordinator_daemon::OnFollowed(const std::string& body) -> void {
  auto reply = schema::sync_answer();
  if (!reply.ParseFromString(body) || !reply.is_leader()) {
    return;
  }
  const auto now = loop_.get_now();
  relay_.Take(reply, now);
  if (reply.gateways_size() > 0) {
    gateways_.Clear();
  }
  for (const auto& row : reply.gateways()) {
    gateways_.Update({vm_name(row.vm()), host_port(row.caller_address()),
                      data_centre_name(row.data_centre()), incarnation(),
                      row.ready(), now});
  }
}

}  // namespace ebony
