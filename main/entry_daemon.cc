#include "main/entry_daemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/record_codec.h"
#include "drivers/logger.h"
#include "main/backend_calls.h"
#include "settings/settings_loader.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr std::size_t kEventCapacity = 16384;   // events
constexpr std::size_t kClientCapacity = 16384;  // commands
// Upper bound of the time that the core thread waits for an event.
constexpr auto kCoreTickInterval = milliseconds(20);
constexpr auto kCoordinatorTickInterval = milliseconds(20);
// Margin for clocks that run at different rates, in parts per thousand.
constexpr int kClockDriftPermille = 10;
const auto kJsonHeaders = header_map{{"Content-Type", "application/json"}};

auto GetOtherPeers(const std::vector<entry_peer>& entries,
                   const std::vector<link_peer>& voters,
                   const vm_name& self) -> std::vector<link_peer> {
  auto others = voters;
  for (const auto& entry : entries) {
    if (entry.name != self) {
      others.push_back({entry.name, entry.link_address});
    }
  }
  return others;
}

// Unknown names are reported by CheckSettings.
auto ParsePolicy(const std::string& name) -> routing_policy {
  if (name == "least-outstanding") {
    return routing_policy::least_outstanding;
  }
  return name == "round-robin" ? routing_policy::round_robin
                               : routing_policy::expected_wait;
}

auto MakeRouterOptions(const schema::entry_settings& settings)
    -> router_options {
  const auto uses = [&settings](const std::string& signal) -> bool {
    return std::find(settings.routing_signals().begin(),
                     settings.routing_signals().end(),
                     signal) != settings.routing_signals().end();
  };
  auto options = router_options();
  options.local_data_centre = data_centre_name(settings.data_centre());
  options.policy = ParsePolicy(settings.routing());
  options.use_reports = uses("reports");
  options.use_prefix_hints = uses("prefix");
  options.use_distance = uses("distance");
  return options;
}

auto MakeClaimOptions(const schema::entry_settings& settings)
    -> claim_table_options {
  auto options = claim_table_options();
  options.key_lifetime = milliseconds(settings.key_lifetime_ms());
  options.drift_permille = kClockDriftPermille;
  return options;
}

auto MakeClaimPeers(const std::vector<entry_peer>& entries)
    -> std::vector<claim_peer> {
  auto peers = std::vector<claim_peer>();
  for (const auto& entry : entries) {
    peers.push_back({entry.name, entry.data_centre});
  }
  return peers;
}

auto MakeDirectoryEntries(const std::vector<entry_peer>& entries)
    -> std::vector<directory_entry> {
  auto list = std::vector<directory_entry>();
  for (const auto& entry : entries) {
    list.push_back({entry.name, entry.data_centre, entry.http_address, 1});
  }
  return list;
}

auto MakeCoordinatorOptions(const schema::entry_settings& settings)
    -> coordinator_options {
  auto options = coordinator_options();
  options.max_queue = settings.max_queue();
  options.max_in_flight = settings.max_in_flight();
  options.retry_budget_percent = settings.retry_budget_percent();
  options.stall = milliseconds(settings.stall_ms());
  options.entry_count = static_cast<std::size_t>(settings.entries_size());
  return options;
}

// Returns a number that identifies this run of the process. Later runs have
// larger numbers.
auto MakeIncarnation() -> incarnation {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

// Throws settings_error with all errors.
auto CheckSettings(const schema::entry_settings& settings,
                   const std::vector<entry_peer>& peers) -> void {
  auto errors = std::vector<std::string>();
  const auto is_listed =
      std::any_of(peers.begin(), peers.end(), [&settings](const auto& peer) {
        return peer.name.get() == settings.vm();
      });
  if (!is_listed) {
    errors.push_back("--entries: must list this VM, '" + settings.vm() + "'");
  }
  const auto& policy = settings.routing();
  if (policy != "expected-wait" && policy != "least-outstanding" &&
      policy != "round-robin") {
    errors.push_back("--routing: '" + policy +
                     "' must be expected-wait, least-outstanding or "
                     "round-robin");
  }
  for (const auto& signal : settings.routing_signals()) {
    if (signal != "reports" && signal != "prefix" && signal != "distance" &&
        signal != "none") {
      errors.push_back("--routing-signals: '" + signal +
                       "' must be reports, prefix, distance or none");
    }
  }
  if (settings.key_lifetime_ms() < settings.max_timeout_ms()) {
    errors.emplace_back("--key-lifetime-ms: must be at least --max-timeout-ms");
  }
  if (settings.default_timeout_ms() > settings.max_timeout_ms()) {
    errors.emplace_back(
        "--default-timeout-ms: must be at most --max-timeout-ms");
  }
  if (settings.caller_key_file().empty() &&
      !IsLoopback(host_port(settings.http_address()))) {
    errors.emplace_back(
        "--caller-key-file: required unless --http-address is loopback");
  }
  if (!errors.empty()) {
    throw settings_error(errors);
  }
}

}  // namespace

entry_daemon::entry_daemon(schema::entry_settings settings, metrics& counters)
    : settings_(std::move(settings)),
      metrics_(counters),
      peers_(ParseEntries(
          {settings_.entries().begin(), settings_.entries().end()})),
      voters_(
          ParseVoters({settings_.voters().begin(), settings_.voters().end()})),
      caller_keys_(ReadKeys(settings_.caller_key_file())),
      backend_keys_(ReadKeys(settings_.backend_key_file())),
      self_(settings_.vm()),
      run_(MakeIncarnation()),
      limits_{milliseconds(settings_.default_timeout_ms()),
              milliseconds(settings_.max_timeout_ms())},
      random_(std::random_device()()),
      lease_(self_, peers_.size()),
      router_(MakeRouterOptions(settings_),
              [this](std::uint64_t bound) { return random_() % bound; }),
      claim_table_(MakeClaimOptions(settings_), GetNow()),
      claim_coordinator_(MakeClaimOptions(settings_),
                         self_,
                         run_,
                         MakeClaimPeers(peers_)),
      directory_({}, self_, MakeDirectoryEntries(peers_)),
      announcements_(milliseconds(settings_.announce_timeout_ms())),
      coordinator_(
          MakeCoordinatorOptions(settings_),
          table_,
          router_,
          claim_coordinator_,
          [this](std::uint64_t bound) { return random_() % bound; },
          [this](const std::string& series) { metrics_.Count(series); }),
      events_(kEventCapacity, [this] { wakeup_event_.Notify(); }),
      link_(
          self_,
          host_port(settings_.link_address()),
          GetOtherPeers(peers_, voters_, self_),
          [this](inbound_frame inbound) {
            if (!events_.Push(std::move(inbound))) {
              metrics_.Count("ebony_entry_events_refused_total");
            }
          },
          counters),
      http_({.address = host_port(settings_.http_address()),
             .max_body_bytes = settings_.max_body_bytes(),
             .max_held_body_bytes = settings_.max_held_body_bytes(),
             .on_body_turned_away =
                 [&counters](std::string_view reason) {
                   counters.Count("ebony_bodies_turned_away_total{reason=\"" +
                                  std::string(reason) + "\"}");
                 }},
            [this](http_request request, const exchange_pointer& exchange) {
              OnHttp(std::move(request), exchange);
            }),
      client_(kClientCapacity),
      core_thread_([this] { RunCore(); }) {
  CheckSettings(settings_, peers_);
}

entry_daemon::~entry_daemon() {
  Stop();
}

auto entry_daemon::Start() -> void {
  link_.Start();
  client_.Start();
  core_thread_.Start();
  http_.Start();
  LogEvent(log_level::info, "entry_started",
           {{"vm", self_.get()}, {"http", settings_.http_address()}});
}

auto entry_daemon::Stop() -> void {
  if (stopping_.exchange(true)) {
    return;
  }
  wakeup_event_.Notify();
  core_thread_.Join();
  http_.Stop();
  client_.Stop();
  link_.Stop();
}

auto entry_daemon::Drain() -> void {
  drain_started_ = GetNow();
  draining_ = true;
  wakeup_event_.Notify();
  LogEvent(log_level::info, "entry_draining", {{"vm", self_.get()}});
}

auto entry_daemon::OnHttp(http_request request,
                          const exchange_pointer& exchange) -> void {
  const auto& path = request.path;
  if (path == "/healthz") {
    exchange->Respond(200, {}, "ok\n");
  } else if (path == "/metrics") {
    exchange->Respond(200, {{"Content-Type", "text/plain"}}, metrics_.Render());
  } else if (path == "/v1/announcements") {
    OnAnnouncementCall(request, exchange);
  } else if (path == "/v1/entries" || path == "/v1/models" ||
             path == "/readyz") {
    if (!events_.Push(query{path, exchange})) {
      throw ebony_error(error_kind::overloaded,
                        "the event queue of this entry is full");
    }
  } else if (path == "/v1/chat/completions" || path == "/v1/completions" ||
             ParseServicePath(path)) {
    OnCallerCall(std::move(request), exchange);
  } else {
    throw ebony_error(error_kind::not_found, path + ": no such operation");
  }
}

auto entry_daemon::OnAnnouncementCall(const http_request& request,
                                      const exchange_pointer& exchange)
    -> void {
  if (!backend_keys_.empty() &&
      FindKeyName(backend_keys_, request.GetHeader("authorization")).empty()) {
    metrics_.Count("ebony_entry_refused_announcements_total");
    throw ebony_error(error_kind::unauthenticated,
                      "a backend server's key is required");
  }
  if (!events_.Push(received_announcement{ParseAnnouncementJson(request.body),
                                          exchange})) {
    throw ebony_error(error_kind::overloaded,
                      "the event queue of this entry is full");
  }
}

auto entry_daemon::OnCallerCall(http_request request,
                                const exchange_pointer& exchange) -> void {
  auto caller = std::string();
  if (!caller_keys_.empty()) {
    caller = FindKeyName(caller_keys_, request.GetHeader("authorization"));
    if (caller.empty()) {
      metrics_.Count("ebony_entry_refused_callers_total");
      throw ebony_error(error_kind::unauthenticated, "an API key is required");
    }
  }
  if (rejecting_) {
    throw ebony_error(
        error_kind::draining,
        "this entry is shutting down; send the request to another one");
  }
  const auto now = GetNow();
  auto parsed = ParseCallerRequest(request, caller, limits_, now);
  auto session = std::make_shared<caller_session>(
      exchange, std::move(request), std::move(parsed), metrics_, now);
  if (!events_.Push(request_arrival{std::move(session)})) {
    throw ebony_error(error_kind::overloaded,
                      "the event queue of this entry is full");
  }
}

auto entry_daemon::RunCore() -> void {
  while (!stopping_) {
    wakeup_event_.Wait(kCoreTickInterval);
    while (auto item = events_.Pop()) {
      Handle(std::move(*item));
      ExecuteActions();
    }
    RunTimers(GetNow());
    ExecuteActions();
  }
}

auto entry_daemon::Handle(event item) -> void {
  const auto now = GetNow();
  if (const auto* arrived = std::get_if<request_arrival>(&item)) {
    OnArrival(arrived->session);
  } else if (const auto* progress = std::get_if<attempt_progress>(&item)) {
    coordinator_.OnProgress(progress->id, progress->attempt,
                            progress->events_delivered, now);
  } else if (const auto* ended = std::get_if<attempt_ended>(&item)) {
    OnAttemptEnded(*ended);
  } else if (const auto* stated = std::get_if<limit_stated>(&item)) {
    OnLimitStated(*stated);
  } else if (const auto* closed = std::get_if<caller_disconnected>(&item)) {
    coordinator_.OnCallerDisconnected(closed->id, now);
    ExecuteActions();
    if (coordinator_.IsActive(closed->id)) {
      return;  // The session still records the outcome for resends.
    }
    RemoveSession(closed->id);
  } else if (const auto* received = std::get_if<received_announcement>(&item)) {
    OnAnnouncement(*received);
  } else if (const auto* asked = std::get_if<query>(&item)) {
    OnQuery(*asked);
  } else if (const auto* inbound = std::get_if<inbound_frame>(&item)) {
    OnFrame(*inbound);
  }
}

auto entry_daemon::IsServing(mono_time now) const -> bool {
  return lease_.IsCurrent(now) && !draining_;
}

auto entry_daemon::OnArrival(const session_pointer& session) -> void {
  const auto now = GetNow();
  if (!lease_.IsCurrent(now)) {
    metrics_.Count("ebony_requests_refused_total{code=\"not_current\"}");
    RespondError(*session->get_exchange(), error_kind::not_current,
                 ran_state::no,
                 "this entry cannot confirm that its configuration is current");
    return;
  }
  auto request = session->get_parsed_request();
  request.id = request_id(next_request_++);
  sessions_[request.id] = session;
  const auto id = request.id;
  session->get_exchange()->SetOnDisconnect(
      [this, id] { events_.Push(caller_disconnected{id}); });
  if (request.model != model_name()) {
    ++demand_[request.model];
  }
  coordinator_.OnRequest(request, now);
}

auto entry_daemon::OnAnnouncement(const received_announcement& item) -> void {
  const auto now = GetNow();
  const auto& state = item.state;
  try {
    announcements_.OnAnnouncement(state, now);
  } catch (const ebony_error& error) {
    RespondError(*item.exchange, error.get_kind(), error.get_ran(),
                 error.what());
    return;
  }
  router_.OnReport(state.name, state.run, state.running, state.queued, now);
  router_.SetLeaving(state.name, state.leaving);
  item.exchange->Respond(200, kJsonHeaders, RenderDirectory());
}

auto entry_daemon::OnQuery(const query& item) -> void {
  if (item.path == "/readyz") {
    const auto now = GetNow();
    const auto claims = claim_table_.IsReady(now) ? ", grants claims\n"
                                                  : ", grants no claims yet\n";
    const auto is_ready = IsServing(now);
    item.exchange->Respond(
        is_ready ? 200 : 503, {},
        (is_ready ? "ready" : "not ready") + std::string(claims));
    return;
  }
  item.exchange->Respond(
      200, kJsonHeaders,
      item.path == "/v1/models" ? RenderModels() : RenderDirectory());
}

auto entry_daemon::OnAttemptEnded(const attempt_ended& item) -> void {
  const auto now = GetNow();
  if (item.load) {
    if (const auto* backend = table_.FindBackend(item.backend)) {
      router_.OnReport(item.backend, backend->run, item.load->running,
                       item.load->queued, now);
    }
  }
  coordinator_.OnAttemptEnd(item.id, item.attempt, item.result, now);
}

auto entry_daemon::RecordPause(const backend_route& backend,
                               const limit_statement& statement) -> void {
  const auto now = GetNow();
  auto& pauses = router_.get_pauses();
  if (!statement.retry_after) {
    pauses.OnAccepted(backend.name, backend.run.get(), now);
  } else if (pauses.OnAsked(backend.name, backend.run.get(),
                            *statement.retry_after, now)) {
    metrics_.Count("ebony_server_pauses_total");
    LogEvent(log_level::info, "pause_asked",
             {{"backend", backend.name.get()},
              {"asked_ms", std::to_string(*statement.retry_after /
                                          std::chrono::milliseconds(1))}});
  }
  has_pauses_ = pauses.get_size() > 0;
}

auto entry_daemon::OnLimitStated(const limit_stated& item) -> void {
  const auto* backend = table_.FindBackend(item.backend);
  if (backend == nullptr) {
    return;
  }
  RecordPause(*backend, item.statement);
  if (item.statement.is_leaving && router_.OnSaidLeaving(*backend)) {
    metrics_.Count("ebony_leaving_servers_total");
    LogEvent(log_level::info, "server_leaving",
             {{"backend", item.backend.get()}});
  }
  if (item.statement.is_unreadable) {
    metrics_.Count("ebony_unreadable_limits_total");
    LogEvent(log_level::warn, "limit_unreadable",
             {{"backend", item.backend.get()}});
    return;
  }
  if (!item.statement.rate && !item.statement.is_from_success) {
    return;
  }
  auto& permits = router_.get_permits();
  if (permits.OnAnswer(item.backend, backend->run.get(),
                       {item.statement.rate, GetNow()})) {
    metrics_.Count("ebony_limit_changes_total");
    LogEvent(
        log_level::info, "limit_named",
        {{"backend", item.backend.get()},
         {"per_1000_s", std::to_string(GetRateField(item.statement.rate))}});
  }
  has_limits_ = permits.get_limited_servers() > 0;
}

auto entry_daemon::RunTimers(mono_time now) -> void {
  const auto is_current = lease_.IsCurrent(now);
  if (is_current != was_current_) {
    was_current_ = is_current;
    LogEvent(log_level::info,
             is_current ? "configuration_current" : "configuration_not_current",
             {{"version", std::to_string(table_.get_version().get())}});
    next_gossip_ = now;
  }
  if (now >= next_tick_) {
    next_tick_ = now + kCoordinatorTickInterval;
    coordinator_.Tick(now);
    announcements_.MarkLost(now);
  }
  if (now >= next_poll_) {
    Poll(now);
  }
  if (now >= next_gossip_ || (draining_ && !has_gossiped_draining_)) {
    has_gossiped_draining_ = draining_;
    Gossip(now);
  }
  if (lease_.NeedsConfirmation(now) && now >= next_confirm_) {
    RequestConfirmation(now);
  }
  if (draining_) {
    AdvanceDrain(now);
  }
}

auto entry_daemon::AdvanceDrain(mono_time now) -> void {
  // Other entries may list this one until its peer timeout expires, and callers
  // may cache that answer for the TTL of the directory.
  const auto directory_lifetime = directory_options().peer_timeout +
                                  kGossipInterval +
                                  milliseconds(settings_.directory_ttl_ms());
  if (!rejecting_ && now >= drain_started_ + directory_lifetime) {
    rejecting_ = true;
  }
  const auto has_timed_out =
      now >= drain_started_ + milliseconds(settings_.drain_ms());
  if (rejecting_ && (coordinator_.get_active() == 0 || has_timed_out)) {
    drained_ = true;
  }
}

auto entry_daemon::ExecuteActions() -> void {
  SendClaimMessages();
  for (const auto& action : coordinator_.TakeActions()) {
    std::visit([this](const auto& item) { Execute(item); }, action);
  }
}

auto entry_daemon::Execute(const dispatch_action& action) -> void {
  const auto found = sessions_.find(action.id);
  if (found == sessions_.end()) {
    return;
  }
  const auto session = found->second;
  const auto id = action.id;
  const auto attempt = action.attempt;
  const auto backend = action.backend;
  session->StartAttempt(attempt);
  auto call = MakeAttemptCall(action, session->get_request());
  call.callbacks.on_head = [this, session, attempt, backend](
                               int status, const header_map& headers) {
    const auto limit = session->OnHead(attempt, status, headers);
    if (!limit.IsEmpty() || has_limits_ || has_pauses_) {
      events_.Push(limit_stated{backend, limit});
    }
  };
  call.callbacks.on_data = [this, session, id,
                            attempt](std::string_view bytes) {
    if (const auto delivered = session->OnData(attempt, bytes, GetNow())) {
      events_.Push(attempt_progress{id, attempt, *delivered});
    }
  };
  call.callbacks.on_end = [this, session, id, attempt, backend](
                              transfer_result end, const std::string&) {
    auto result = session->OnEnd(attempt, end);
    events_.Push(attempt_ended{id, attempt, backend, std::move(result),
                               session->get_engine_load()});
  };
  transfers_[id] = client_.Call(std::move(call));
}

auto entry_daemon::Execute(const cancel_action& action) -> void {
  const auto found = transfers_.find(action.id);
  if (found != transfers_.end()) {
    client_.Cancel(found->second);
    transfers_.erase(found);
  }
  const auto session = sessions_.find(action.id);
  if (session != sessions_.end()) {
    session->second->DetachAttempt();
  }
}

auto entry_daemon::Execute(const deliver_action& action) -> void {
  const auto found = sessions_.find(action.id);
  if (found != sessions_.end()) {
    found->second->Deliver(action.attempt);
    RemoveSession(action.id);
  }
}

auto entry_daemon::Execute(const refuse_action& action) -> void {
  const auto found = sessions_.find(action.id);
  if (found != sessions_.end()) {
    found->second->Reject(action);
    RemoveSession(action.id);
  }
}

auto entry_daemon::Execute(const replay_action& action) -> void {
  const auto found = sessions_.find(action.id);
  if (found != sessions_.end()) {
    found->second->Replay(action.outcome);
    RemoveSession(action.id);
  }
}

auto entry_daemon::RemoveSession(request_id id) -> void {
  sessions_.erase(id);
  transfers_.erase(id);
}

auto entry_daemon::RenderDirectory() -> std::string {
  auto out = json();
  out["ttl_ms"] = settings_.directory_ttl_ms();
  out["entries"] = json::array();
  for (const auto& entry : directory_.ListEntries(GetNow())) {
    out["entries"].push_back({{"vm", entry.vm.get()},
                              {"data_centre", entry.data_centre.get()},
                              {"address", entry.address.get()},
                              {"weight", entry.weight}});
  }
  return out.dump() + "\n";
}

auto entry_daemon::RenderModels() -> std::string {
  auto out = json();
  out["object"] = "list";
  out["data"] = json::array();
  for (const auto* spec : table_.ListModels()) {
    const auto name = spec->key.model.get();
    out["data"].push_back({{"id", name},
                           {"object", "model"},
                           {"owned_by", "ebonythread"},
                           {"version", spec->key.version.get()}});
    for (const auto& adapter : spec->adapters) {
      out["data"].push_back({{"id", name + ":" + adapter.key.name.get()},
                             {"object", "model"},
                             {"owned_by", "ebonythread"},
                             {"parent", name}});
    }
  }
  return out.dump() + "\n";
}

}  // namespace ebony
