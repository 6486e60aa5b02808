#include <algorithm>
#include <utility>

#include "codec/handover_codec.h"
#include "codec/message_reader.h"
#include "codec/site_codec.h"
#include "main/coordinator_daemon.h"
#include "main/site_paths.h"

// Calls between coordinators, and between coordinators and gateways.

namespace ebony {

namespace {

// Intervals of a follower's syncs with the leader: without gateways to serve,
// with gateways, and while a request on one of them lacks a model or adapter.
constexpr duration kIdleSyncInterval = std::chrono::milliseconds(400);
constexpr duration kRelaySyncInterval = std::chrono::milliseconds(100);
constexpr duration kUrgentSyncInterval = std::chrono::milliseconds(30);
// The leader stops offering a follower as a relay after this time without a
// sync from it.
constexpr duration kFollowerTimeout = std::chrono::milliseconds(1500);
// Followers that keep copies of what began each stream, beside the leader: as
// many as disks that may be lost at once.
constexpr std::size_t kStreamKeepers = 2;
// Streams in one answer to a follower.
constexpr std::size_t kMaxStreamCopies = 4096;
constexpr duration kLeaderSyncTimeout = std::chrono::milliseconds(800);
constexpr duration kLinkIdleTimeout = std::chrono::seconds(5);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

auto coordinator_daemon::CheckRows(const char* path,
                                   std::size_t bytes,
                                   std::optional<std::size_t> unreadable_rows)
    -> bool {
  if (unreadable_rows == 0U) {
    return true;
  }
  metrics_.Count("ebony_unreadable_rows_total", unreadable_rows.value_or(0));
  log_.Write(event_category::state, "message_unreadable",
             {{"path", path},
              {"bytes", static_cast<std::int64_t>(bytes)},
              {"rows", static_cast<std::int64_t>(unreadable_rows.value_or(0))},
              {"used", unreadable_rows ? "yes" : "no"}});
  return unreadable_rows.has_value();
}

auto coordinator_daemon::OnLinkCall(const incoming_request& call,
                                    const response_pointer& answer) -> void {
  const auto& path = call.head.target;
  if (path == kRaftPath) {
    const auto body = raft_.OnRaftCall(call.body);
    Respond(answer, body ? kOk : kUnavailable, body.value_or(""));
  } else if (path == kJoinPath) {
    Respond(answer, kOk, raft_.OnJoinCall(call.body));
  } else if (path == kSyncPath) {
    OnSync(call, answer);
  } else if (path == kAnnouncePath) {
    OnAnnounceBatch(call, answer);
  } else {
    Respond(answer, kNotFound, {});
  }
}

auto coordinator_daemon::RecordLoads(const schema::sync_request& request)
    -> void {
  // Backend indexes of another epoch do not identify servers of this registry.
  if (request.roster_source() == registry_epoch_) {
    load_totals_.Report(vm_name(request.vm()),
                        GetLoadReport(request.loads(), backend_index_),
                        loop_.get_now());
    for (const auto number : request.unreachable()) {
      if (const auto* id = backend_index_.FindName(number)) {
        order_executor_.VerifyReachable(*id);
      }
    }
  }
  RecordLeaving(request);
  order_executor_.RecordFirstEvents(ToDomain(request.first_events()));
  for (const auto& row : request.demands()) {
    order_executor_.RecordDemand(row);
  }
}

auto coordinator_daemon::RecordLeaving(const schema::sync_request& request)
    -> void {
  if (request.roster_source() != registry_epoch_) {
    return;  // its numbers identify servers of another registry
  }
  for (const auto& row : request.leaving()) {
    const auto* id = backend_index_.FindName(row.number());
    if (id != nullptr && registry_.ObserveLeaving(*id, row.born_ms())) {
      metrics_.Count("ebony_leaving_servers_total");
      log_.Write(event_category::state, "server_leaving",
                 {{"backend", id->get()}, {"reporter", request.vm()}});
    }
  }
}

auto coordinator_daemon::RecordPermitRequests(
    const schema::sync_request& request,
    mono_time said_at) -> void {
  if (request.roster_source() != registry_epoch_) {
    return;  // its numbers identify servers of another registry
  }
  const auto now = loop_.get_now();
  const auto reports = GetPermitReports(request, backend_index_, said_at);
  for (const auto& report : reports) {
    const auto is_change =
        report.news &&
        registry_.ObserveLimit(report.id, report.start_time_ms, *report.news);
    if (is_change) {
      metrics_.Count("ebony_limit_changes_total");
      log_.Write(
          event_category::state, "limit_named",
          {{"backend", report.id.get()},
           {"per_1000_s", GetRateField(report.news->rate)},
           {"max_rejections", GetRejectionField(report.news->max_rejections)},
           {"reporter", request.vm()},
           {"age_ms", duration(now - report.news->observed)}});
    }
  }
  for (const auto& report : reports) {
    if (report.rejected > 0 &&
        registry_.ObserveRejection(report.id, report.start_time_ms, now)) {
      log_.Write(event_category::state, "server_full",
                 {{"backend", report.id.get()},
                  {"rejected", static_cast<std::int64_t>(report.rejected)},
                  {"reporter", request.vm()}});
    }
  }
  UpdateLimits();
  for (const auto& report : reports) {
    permit_allocator_.Request(vm_name(request.vm()), report, now);
  }
}

auto coordinator_daemon::UpdateLimits() -> void {
  const auto now = loop_.get_now();
  const auto since = std::exchange(limits_revision_, registry_.get_revision());
  for (const auto* record : registry_.ListSince(since)) {
    const auto& status = record->status;
    permit_allocator_.SetLimit(
        {status.id, status.start_time_ms, status.slots,
         record->has_left ? request_limit() : record->limit},
        now);
  }
}

auto coordinator_daemon::FillPermits(const vm_name& vm,
                                     schema::sync_answer& reply) -> void {
  if (!raft_.IsConfirmedLeader()) {
    return;
  }
  const auto now = loop_.get_now();
  reply.set_grants_permits(true);
  permit_allocator_.SetReachableShare(gateways_.GetReachableShare(now));
  const auto permits = permit_allocator_.Take(vm, now);
  AddPermits(reply, permits, backend_index_);
  for (const auto& [id, count] : permits) {
    metrics_.Count("ebony_permits_granted_total", count);
  }
}

auto coordinator_daemon::GetDeskRole() -> desk_role {
  if (!raft_.is_leader()) {
    return desk_role::relay;
  }
  return raft_.IsConfirmedLeader() ? desk_role::leader
                                   : desk_role::unsure_leader;
}

auto coordinator_daemon::HandleCrashes(const schema::sync_request& request,
                                       schema::sync_answer& reply) -> void {
  const auto now = loop_.get_now();
  crash_desk_.HandleSync(
      request, GetDeskRole(),
      [this](const crash_record& record) { LogCrashRecord(log_, record); }, now,
      reply);
  metrics_.Set("ebony_crash_records",
               static_cast<double>(crash_desk_.get_ledger().get_size()));
  metrics_.Set(
      "ebony_quarantined_keys",
      static_cast<double>(crash_desk_.get_ledger().CountQuarantined(now)));
}

// Only a relay has somebody to pass reports and questions on to.
auto coordinator_daemon::RecordBegunStreams(const schema::sync_request& request)
    -> void {
  const auto now = loop_.get_now();
  const auto is_leader = raft_.is_leader();
  for (const auto& row : request.begun_streams()) {
    ForEachBegunStream(row, [&](stream_key key, const stream_origin& origin) {
      if (is_leader) {
        origins_.OnTold(key, origin, now);
      } else if (!origins_.OnBegun(key, origin, now)) {
        metrics_.Count("ebony_unreported_streams_total");
      }
    });
  }
}

auto coordinator_daemon::FillOrigins(const schema::sync_request& request,
                                     schema::sync_answer& reply) -> void {
  for (const auto item : request.origin_questions()) {
    const auto key = stream_key(item);
    const auto origin = origins_.Find(key);
    metrics_.Count(origin ? "ebony_origin_answers_total{known=\"yes\"}"
                          : "ebony_origin_answers_total{known=\"no\"}");
    if (origin) {
      AddBegunStreams(*reply.add_origins(), *origin, {key});
    } else if (!raft_.is_leader()) {
      origins_.Ask(
          key, [](const stream_origin&) {}, loop_.get_now());
    }
  }
  metrics_.Set("ebony_known_streams", static_cast<double>(origins_.get_size()));
}

auto coordinator_daemon::IsStreamKeeper(const vm_name& vm) const -> bool {
  const auto now = loop_.get_now();
  auto before = std::size_t{0};
  for (const auto& [name, item] : followers_) {
    if (name == vm) {
      return item.keeps_streams && before < kStreamKeepers;
    }
    const auto is_live = now - item.last_seen <= kFollowerTimeout;
    before += is_live && item.keeps_streams ? 1 : 0;
  }
  return false;
}

// Only where a service has several software versions does the origin of a
// stream have to outlive this leader. Relays know the streams of their gateways
// themselves, so that nothing has to be passed on.
auto coordinator_daemon::FillStreamCopies(const schema::sync_request& request,
                                          schema::sync_answer& reply) -> void {
  const auto services = software_.GetMixedServices();
  const auto source = GetStreamSource(registry_epoch_, services);
  const auto has_relays =
      reply.gateway_count() > sync_relay::kMaxDirectGateways;
  if (source == 0 || has_relays || !IsStreamKeeper(vm_name(request.vm()))) {
    return;
  }
  auto revision =
      request.stream_source() == source ? request.have_streams() : 0;
  const auto streams =
      origins_.get_table().ListSince(revision, services, kMaxStreamCopies);
  for (const auto& [origin, keys] : streams) {
    AddBegunStreams(*reply.add_origins(), origin, keys);
  }
  reply.set_stream_source(source);
  reply.set_stream_revision(revision);
}

auto coordinator_daemon::RequestStreamCopies(
    schema::sync_request& request) const -> void {
  request.set_keeps_streams(true);
  request.set_stream_source(stream_source_);
  request.set_have_streams(stream_revision_);
}

auto coordinator_daemon::FillRegistry(const schema::sync_request& request,
                                      schema::sync_answer& reply) -> void {
  reply.set_roster_source(registry_epoch_);
  reply.set_roster_revision(registry_.get_revision());
  const auto since =
      request.roster_source() == registry_epoch_ ? request.have_roster() : 0;
  for (const auto* record : registry_.ListSince(since)) {
    auto* row = reply.add_backends();
    *row = ToSchema(*record, loop_.get_now());
    row->set_number(backend_index_.Assign(record->status.id));
  }
}

// Only a leader that a majority has confirmed lately is sure that no other one
// has acknowledged a newer configuration.
auto coordinator_daemon::FillConfig(const schema::sync_request& request,
                                    schema::sync_answer& reply) const -> void {
  AddConfig(request, config_, reply);
  reply.set_states_config(true);
  reply.set_confirms_config(raft_.IsConfirmedLeader());
}

// Answers a gateway that syncs with the leader.
auto coordinator_daemon::FillGatewayAnswer(const schema::sync_request& request,
                                           mono_time said_at,
                                           schema::sync_answer& reply) -> void {
  const auto now = loop_.get_now();
  gateways_.Update(
      {vm_name(request.vm()), host_port(request.caller_address()),
       data_centre_name(request.data_centre()),
       incarnation(request.incarnation()), request.ready(), now,
       MakePeerAddress(request.caller_address(), request.peer_port()),
       request.reaches_no_server(), request.millicores(), request.memory_mb()});
  if (IsLeftToRelay(request, reply)) {
    FillRelayHint(request, reply);
    return;
  }
  RecordLoads(request);
  RecordPermitRequests(request, said_at);
  AddLoads(*reply.mutable_loads(), load_totals_.GetReport());
  FillRegistry(request, reply);
  AddSoftwareVersions(reply, request, GetCurrentSoftware(), software_times_,
                      loop_.get_now());
  FillPermits(vm_name(request.vm()), reply);
  FillConfig(request, reply);
  FillRelays(reply);
  // A gateway that gets relays turns to one of them, and should not wait for as
  // long as if the leader served all.
  const auto daemons = std::max(1, reply.relays_size());
  reply.set_served_gateways(reply.gateway_count() /
                            static_cast<std::uint32_t>(daemons));
  drain_acks_.OnRevisionSent(vm_name(request.vm()), registry_.get_revision(),
                             now);
}

auto coordinator_daemon::IsLeftToRelay(const schema::sync_request& request,
                                       const schema::sync_answer& reply)
    -> bool {
  const auto now = loop_.get_now();
  const auto has_relay = std::any_of(
      followers_.begin(), followers_.end(), [now](const auto& item) {
        return now - item.second.last_seen <= kFollowerTimeout;
      });
  return reply.gateway_count() > sync_relay::kMaxDirectGateways && has_relay &&
         request.roster_source() != registry_epoch_ &&
         !registry_transfers_.TryTake(now);
}

auto coordinator_daemon::FillRelayHint(const schema::sync_request& request,
                                       schema::sync_answer& reply) -> void {
  metrics_.Count("ebony_registries_left_to_relays_total");
  FillConfig(request, reply);
  FillRelays(reply);
  // The gateway turns to one of the relays at once.
  reply.set_served_gateways(1);
}

// Relays are offered only when there are too many gateways for the leader
// alone.
auto coordinator_daemon::FillRelays(schema::sync_answer& reply) const -> void {
  if (reply.gateway_count() <= sync_relay::kMaxDirectGateways) {
    return;
  }
  const auto now = loop_.get_now();
  for (const auto& [vm, follower] : followers_) {
    if (now - follower.last_seen <= kFollowerTimeout) {
      auto* row = reply.add_relays();
      row->set_link(follower.link.get());
      row->set_data_centre(follower.data_centre.get());
    }
  }
}

// Answers a follower, whose sync also reports the gateways that it serves.
auto coordinator_daemon::FillFollowerAnswer(const schema::sync_request& request,
                                            mono_time said_at,
                                            schema::sync_answer& reply)
    -> void {
  followers_[vm_name(request.vm())] = {
      host_port(request.relay_link()), data_centre_name(request.data_centre()),
      loop_.get_now(), request.keeps_streams()};
  FillStreamCopies(request, reply);
  RecordRelayedGateways(request, said_at);
  RecordLoads(request);
  RecordPermitRequests(request, said_at);
  FillRegistry(request, reply);
  AddSoftwareVersions(reply, request, GetCurrentSoftware(), software_times_,
                      loop_.get_now());
  FillPermits(vm_name(request.vm()), reply);
  if (reply.gateway_count() > sync_relay::kMaxDirectGateways) {
    AddLoads(*reply.mutable_loads(), load_totals_.GetReport());
  }
  if (request.wants_gateways()) {
    FillGateways(reply);
    FillRelays(reply);
  }
  if (request.takes_config()) {
    FillConfig(request, reply);
  }
}

auto coordinator_daemon::RecordRelayedGateways(
    const schema::sync_request& request,
    mono_time said_at) -> void {
  const auto is_current_epoch = request.roster_source() == registry_epoch_;
  for (const auto& row : request.relayed()) {
    const auto vm = vm_name(row.vm());
    const auto heard = said_at - std::chrono::milliseconds(row.silent_ms());
    gateways_.Update({vm, host_port(row.caller_address()),
                      data_centre_name(row.data_centre()),
                      incarnation(row.incarnation()), row.ready(), heard,
                      MakePeerAddress(row.caller_address(), row.peer_port()),
                      row.reaches_no_server(), row.millicores(),
                      row.memory_mb()});
    drain_acks_.OnRevisionSent(vm, is_current_epoch ? row.told_roster() : 0,
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
    row->set_peer_port(GetPort(gateway.peer_address));
    row->set_reaches_no_server(gateway.reaches_no_server);
    row->set_millicores(gateway.millicores);
    row->set_memory_mb(gateway.memory_mb);
  }
}

auto coordinator_daemon::FillPeers(const schema::sync_request& request,
                                   schema::sync_answer& reply) -> void {
  const auto& list = peer_lists_.Get(
      gateways_, vm_name(request.vm()), data_centre_name(request.data_centre()),
      request.reaches_no_server(), loop_.get_now());
  reply.set_peers_digest(list.digest);
  if (list.digest != request.have_peers()) {
    AddPeers(reply, list.peers);
  }
}

// Answers a gateway that syncs with this coordinator as a relay.
auto coordinator_daemon::FillRelayedAnswer(const schema::sync_request& request,
                                           mono_time said_at,
                                           schema::sync_answer& reply) -> void {
  const auto now = loop_.get_now();
  relay_.HandleGatewaySync(request, now, said_at);
  relay_.FillGatewayAnswer(request, reply, now);
  relay_.FillConfig(request, config_, reply, now);
}

auto coordinator_daemon::OnSync(const incoming_request& call,
                                const response_pointer& answer) -> void {
  auto request = schema::sync_request();
  if (!CheckRows(kSyncPath, call.body.size(),
                 ReadMessage(call.body, request))) {
    Respond(answer, kBadRequest, {});
    return;
  }
  const auto is_leader = raft_.is_leader();
  const auto is_gateway = !request.caller_address().empty();
  auto reply = schema::sync_answer();
  reply.set_is_leader(is_leader);
  reply.set_leader_link(raft_.GetLeaderLinkAddress().get());
  for (const auto& link : raft_.GetLinkAddresses()) {
    reply.add_coordinator_links(link.get());
  }
  const auto now = loop_.get_now();
  reply.set_gateway_count(
      static_cast<std::uint32_t>(gateways_.CountReady(now)));
  if (is_leader || (is_gateway && relay_.CanServeGateways(now))) {
    RecordBegunStreams(request);
    FillOrigins(request, reply);
    HandleCrashes(request, reply);
    quota_desk_.HandleSync(request, GetDeskRole(),
                           gateways_.GetReachableShare(now), now, reply);
  }
  if (is_gateway) {
    FillPeers(request, reply);
  }
  if (is_leader && is_gateway) {
    FillGatewayAnswer(request, call.arrived_after, reply);
  } else if (is_leader) {
    FillFollowerAnswer(request, call.arrived_after, reply);
  } else if (is_gateway && relay_.CanServeGateways(now)) {
    FillRelayedAnswer(request, call.arrived_after, reply);
  }
  Respond(answer, kOk, reply.SerializeAsString());
  if (is_leader) {
    drain_acks_.Tick(now);
  }
}

auto coordinator_daemon::GetLeaderSyncInterval() const -> duration {
  if (relay_.HasUnservedDemand() || origins_.HasQuestions() ||
      crash_desk_.IsUrgent() || quota_desk_.IsUrgent(loop_.get_now())) {
    return kUrgentSyncInterval;
  }
  return relay_.HasGateways() ? kRelaySyncInterval : kIdleSyncInterval;
}

// A follower fetches from the leader the list of gateways for its directory,
// and the data for the gateways that it serves as a relay.
auto coordinator_daemon::SyncWithLeader() -> void {
  const auto leader = raft_.GetLeaderLinkAddress();
  const auto now = loop_.get_now();
  if (leader_sync_call_ != nullptr &&
      now - leader_sync_started_ > kLeaderSyncTimeout) {
    leader_sync_call_->Cancel();
    leader_sync_call_ = nullptr;
  }
  if (leader == host_port() || leader_sync_call_ != nullptr ||
      now - leader_sync_started_ < GetLeaderSyncInterval()) {
    return;
  }
  leader_sync_started_ = now;
  auto request = schema::sync_request();
  request.set_vm(settings_.vm.get());
  request.set_data_centre(settings_.data_centre.get());
  request.set_relay_link(raft_.get_own_link_address().get());
  request.set_wants_gateways(now - last_gateway_request_ >= kIdleSyncInterval);
  if (request.wants_gateways()) {
    last_gateway_request_ = now;
  }
  relay_.FillLeaderRequest(request, now);
  relay_.RequestConfig(request, config_);
  crash_desk_.FillLeaderRequest(request, now);
  quota_desk_.FillLeaderRequest(request, now);
  RequestStreamCopies(request);
  const auto streams = origins_.TakeReport(now);
  for (const auto& [origin, keys] : streams.begun) {
    AddBegunStreams(*request.add_begun_streams(), origin, keys);
  }
  for (const auto& key : streams.questions) {
    request.add_origin_questions(key.get());
  }
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, body] {
    leader_sync_call_ = nullptr;
    OnLeaderSyncAnswer(*body);
  };
  hooks.on_failed = [this](call_failure) { leader_sync_call_ = nullptr; };
  auto options = MakeLinkOptions();
  options.max_idle_time = kLinkIdleTimeout;
  options.max_body_bytes = kMaxLinkBodyBytes;
  leader_sync_call_ = pool_.Start(
      leader, RenderPost(kSyncPath, leader, request.SerializeAsString()), false,
      options, std::move(hooks));
}

auto coordinator_daemon::OnLeaderSyncAnswer(const std::string& body) -> void {
  auto reply = schema::sync_answer();
  if (!CheckRows(kSyncPath, body.size(), ReadMessage(body, reply)) ||
      !reply.is_leader()) {
    return;
  }
  const auto now = loop_.get_now();
  if (reply.config_number() > config_.number.get()) {
    metrics_.Count("ebony_config_behind_total");
    log_.Write(event_category::state, "config_behind",
               {{"number", static_cast<std::int64_t>(config_.number.get())},
                {"leader", static_cast<std::int64_t>(reply.config_number())}});
  }
  relay_.ApplyConfig(reply, leader_sync_started_);
  relay_.ApplyLeaderAnswer(reply, now);
  quota_desk_.ApplyLeaderAnswer(reply, leader_sync_started_, now);
  crash_desk_.ApplyLeaderAnswer(
      reply,
      [this](const crash_record& record) { LogCrashRecord(log_, record); },
      now);
  origins_.OnReportAnswered(
      std::exchange(reported_leader_, reply.roster_source()) !=
      reply.roster_source());
  stream_source_ = reply.stream_source();
  stream_revision_ = reply.stream_revision();
  for (const auto& row : reply.origins()) {
    ForEachBegunStream(
        row, [this, now](stream_key key, const stream_origin& origin) {
          origins_.OnTold(key, origin, now);
        });
  }
  if (reply.gateways_size() > 0) {
    gateways_.Clear();
  }
  for (const auto& row : reply.gateways()) {
    gateways_.Update(
        {vm_name(row.vm()), host_port(row.caller_address()),
         data_centre_name(row.data_centre()), incarnation(), row.ready(), now,
         MakePeerAddress(row.caller_address(), row.peer_port()),
         row.reaches_no_server(), row.millicores(), row.memory_mb()});
  }
}

}  // namespace ebony
