#include "main/coordinator_daemon.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "drivers/compression.h"
#include "main/site_paths.h"
#include "platform/config_codec.h"

namespace ebony {

namespace {

constexpr duration kTick = std::chrono::milliseconds(50);
constexpr duration kFollowInterval = std::chrono::milliseconds(400);
constexpr duration kFollowTimeout = std::chrono::milliseconds(800);
// Shorter than the second that callers of these interfaces wait.
constexpr duration kConfirmLimit = std::chrono::milliseconds(800);
constexpr duration kPassOnTimeout = std::chrono::milliseconds(900);
constexpr duration kLinkIdle = std::chrono::seconds(5);
constexpr std::size_t kMaxDirectory = 64;
constexpr std::chrono::seconds kDirectoryTtl{2};
constexpr std::uint64_t kMaxControlBody = 64 * 1024 * 1024;

constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

auto MakeListenerOptions() -> http_listener::options {
  auto options = http_listener::options();
  options.get_limits = [] {
    auto limits = connection_limits();
    limits.body_bytes = kMaxControlBody;
    return limits;
  };
  options.is_closing = [] { return false; };
  return options;
}

}  // namespace

coordinator_daemon::coordinator_daemon(site_settings settings,
                                       event_loop& loop,
                                       event_log& log,
                                       metrics& counters)
    : settings_(std::move(settings)),
      loop_(loop),
      log_(log),
      metrics_(counters),
      pool_(loop),
      quorum_(settings_, loop, pool_, log, counters, MakeState()),
      registry_(backend_registry_options()),
      orders_(settings_, loop, pool_, log, counters, registry_, [this] {
        loop_.AddTimerIn(duration(0), [this] { TickOrders(); });
      }) {}

auto coordinator_daemon::MakeState() -> replicated_state {
  auto state = replicated_state();
  state.apply = [this](const log_entry& entry) { ApplyEntry(entry); };
  state.encode = [this] {
    auto message = schema::site_snapshot();
    message.set_config_number(config_.number.get());
    message.set_config(config_.body.bytes);
    message.set_config_bytes(config_.body.inflated_size);
    return message.SerializeAsString();
  };
  state.restore = [this](const std::string& bytes) {
    auto message = schema::site_snapshot();
    if (!message.ParseFromString(bytes)) {
      throw ebony_error(error_kind::storage_failed,
                        "the snapshot of the configuration is damaged");
    }
    SetConfig(message);
  };
  return state;
}

auto coordinator_daemon::SetConfig(const schema::site_snapshot& message)
    -> void {
  config_.number = config_number(message.config_number());
  config_.body = {message.config(), message.config_bytes()};
  decoded_.reset();
}

// Decoded when it is first asked for: a restart applies many configurations in
// a row, and only the last one matters.
auto coordinator_daemon::GetDecoded() -> const site_config* {
  if (decoded_ == nullptr && config_.number != config_number()) {
    try {
      decoded_ = std::make_unique<site_config>(
          platform::DecodeConfig(Inflate(config_.body)));
    } catch (const ebony_error& error) {
      // Checked before it was proposed, so only another build can get here.
      log_.Write(line_weight::state, "config_unreadable",
                 {{"number", static_cast<std::int64_t>(config_.number.get())},
                  {"error", error.what()}});
      decoded_ = std::make_unique<site_config>();
    }
  }
  return decoded_.get();
}

// The highest number wins; the same or a lower one changes nothing.
auto coordinator_daemon::ApplyEntry(const log_entry& entry) -> void {
  if (entry.kind == entry_kind::command) {
    auto message = schema::site_snapshot();
    if (message.ParseFromString(entry.payload) &&
        message.config_number() > config_.number.get()) {
      SetConfig(message);
      log_.Write(line_weight::state, "config_applied",
                 {{"number", static_cast<std::int64_t>(config_.number.get())},
                  {"index", static_cast<std::int64_t>(entry.index.get())}});
    }
  }
  AnswerPuts(entry.index);
}

auto coordinator_daemon::AnswerPuts(log_index applied) -> void {
  while (!puts_.empty() && puts_.begin()->first <= applied) {
    const auto put = puts_.begin()->second;
    puts_.erase(puts_.begin());
    log_.Write(line_weight::state, "config_acknowledged",
               {{"number", static_cast<std::int64_t>(put.number.get())}});
    Answer(put.answer, kOk, "{}");
  }
}

auto coordinator_daemon::Answer(const answer_pointer& answer,
                                int status,
                                std::string body) -> void {
  auto head = http_head();
  head.status = status;
  if (!body.empty()) {
    head.fields.push_back({"Content-Type", "application/json"});
  }
  answer->Respond(std::move(head), body);
}

auto coordinator_daemon::OnControlCall(http_call_in call,
                                       const answer_pointer& answer) -> void {
  try {
    const auto decoded = platform::DecodeControlCall(call.head, call.body);
    if (const auto* announce = std::get_if<platform::announce_call>(&decoded)) {
      OnAnnounce(announce->status, answer);
    } else if (const auto* leave =
                   std::get_if<platform::leave_call>(&decoded)) {
      OnLeave(*leave, answer);
    } else if (const auto* put =
                   std::get_if<platform::put_config_call>(&decoded)) {
      OnPutConfig(put->number, call.head.target, call.body, answer);
    } else if (std::holds_alternative<platform::read_config_call>(decoded)) {
      OnReadConfig(call.head.target, answer);
    } else {
      Answer(answer, kNotFound, {});
    }
  } catch (const ebony_error& error) {
    const auto& row = GetErrorAnswer(error.get_kind());
    metrics_.Count("ebony_control_refused_total");
    log_.Write(line_weight::state, "control_call_refused",
               {{"method", call.head.method},
                {"target", call.head.target},
                {"error", error.what()},
                {"status", static_cast<std::int64_t>(row.http_status)}});
    Answer(answer, row.http_status, {});
  }
}

auto coordinator_daemon::AnswerAnnounced(const answer_pointer& answer) -> void {
  const auto next = quorum_.is_leader() ? settings_.operator_address
                                        : quorum_.GetLeaderOperator();
  Answer(answer, kOk, platform::EncodeAnnounceAnswer(next));
}

auto coordinator_daemon::NoteAnnouncement(backend_status status)
    -> announce_verdict {
  orders_.Correct(status);
  return registry_.Announce(status, loop_.get_now());
}

auto coordinator_daemon::OnAnnounce(const backend_status& status,
                                    const answer_pointer& answer) -> void {
  if (!quorum_.is_leader()) {
    auto record = backend_record();
    record.status = status;
    record.heard = loop_.get_now();
    PassToLeader(ToSchema(record, loop_.get_now()), answer);
    return;
  }
  const auto verdict = NoteAnnouncement(status);
  if (verdict == announce_verdict::changed) {
    log_.Write(line_weight::state, "backend_announced",
               {{"backend", status.id.get()},
                {"service", status.service.get()},
                {"address", status.address.get()},
                {"leaving", status.is_leaving ? "yes" : "no"},
                {"models", static_cast<std::int64_t>(status.models.size())},
                {"sequence", static_cast<std::int64_t>(status.sequence)}});
  }
  AcknowledgeKnown(status.id, [this, answer](bool is_known) {
    if (is_known) {
      AnswerAnnounced(answer);
    } else {
      Answer(answer, kUnavailable, {});
    }
  });
}

// A departure is acknowledged once the gateways know it, all else at once.
auto coordinator_daemon::AcknowledgeKnown(const backend_name& id,
                                          std::function<void(bool)> done)
    -> void {
  const auto* record = registry_.Find(id);
  const auto departs =
      record != nullptr && (record->is_gone || record->status.is_leaving);
  if (!departs) {
    done(true);
    return;
  }
  departures_.Wait(record->revision, loop_.get_now(), std::move(done));
}

auto coordinator_daemon::OnLeave(const platform::leave_call& call,
                                 const answer_pointer& answer) -> void {
  if (!quorum_.is_leader()) {
    auto record = backend_record();
    record.status.id = call.id;
    record.status.born_ms = call.born_ms;
    record.is_gone = true;
    record.heard = loop_.get_now();
    PassToLeader(ToSchema(record, loop_.get_now()), answer);
    return;
  }
  if (registry_.Leave(call.id, call.born_ms, loop_.get_now())) {
    log_.Write(line_weight::state, "backend_left",
               {{"backend", call.id.get()}});
  }
  AcknowledgeKnown(call.id, [this, answer](bool is_known) {
    if (is_known) {
      AnswerAnnounced(answer);
    } else {
      Answer(answer, kUnavailable, {});
    }
  });
}

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

auto coordinator_daemon::RedirectToLeader(const std::string& target,
                                          const answer_pointer& answer)
    -> void {
  const auto leader = quorum_.GetLeaderOperator();
  if (leader == host_port() || leader == settings_.operator_address) {
    Answer(answer, kUnavailable, {});
    return;
  }
  auto head = http_head();
  head.status = kTemporaryRedirect;
  head.fields.push_back({"Location", "http://" + leader.get() + target});
  answer->Respond(std::move(head), {});
}

auto coordinator_daemon::OnPutConfig(config_number number,
                                     const std::string& target,
                                     const std::string& body,
                                     const answer_pointer& answer) -> void {
  if (!quorum_.is_leader()) {
    RedirectToLeader(target, answer);
    return;
  }
  // Proposed also when it changes nothing: the answer then says that the group
  // has it, or a newer one, on a majority of its disks.
  auto message = schema::site_snapshot();
  message.set_config_number(number.get());
  if (number > config_.number) {
    const auto deflated = Deflate(body);
    message.set_config(deflated.bytes);
    message.set_config_bytes(deflated.inflated_size);
  }
  const auto index = quorum_.Propose(message.SerializeAsString());
  if (!index) {
    Answer(answer, kUnavailable, {});
    return;
  }
  log_.Write(line_weight::state, "config_proposed",
             {{"number", static_cast<std::int64_t>(number.get())},
              {"current", static_cast<std::int64_t>(config_.number.get())},
              {"index", static_cast<std::int64_t>(index->get())}});
  puts_.emplace(*index, waiting_put{number, answer});
}

auto coordinator_daemon::OnReadConfig(const std::string& target,
                                      const answer_pointer& answer) -> void {
  if (!quorum_.is_leader()) {
    RedirectToLeader(target, answer);
    return;
  }
  quorum_.ConfirmLeadership(kConfirmLimit, [this, answer](bool is_current) {
    const auto can_tell = is_current && config_.number != config_number();
    Answer(answer, can_tell ? kOk : kUnavailable,
           can_tell ? Inflate(config_.body) : std::string());
  });
}

auto coordinator_daemon::OnDirectoryCall(const http_call_in& call,
                                         const answer_pointer& answer) -> void {
  const auto decoded = platform::DecodeControlCall(call.head, {});
  if (std::holds_alternative<platform::resolve_call>(decoded)) {
    OnResolve(answer);
  } else {
    Answer(answer, kNotFound, {});
  }
}

auto coordinator_daemon::OnResolve(const answer_pointer& answer) -> void {
  auto addresses = std::vector<host_port>();
  for (const auto& gateway : gateways_.ListReady(loop_.get_now())) {
    if (addresses.size() < kMaxDirectory) {
      addresses.push_back(gateway.caller_address);
    }
  }
  metrics_.Count("ebony_directory_calls_total");
  if (addresses.empty()) {
    Answer(answer, kUnavailable, {});
    return;
  }
  Answer(answer, kOk, platform::EncodeDirectory(addresses, kDirectoryTtl));
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
  auto report = load_report();
  for (const auto& row : request.loads()) {
    report[backend_name(row.id())] = {row.requests(), row.tokens()};
  }
  loads_.Report(vm_name(request.vm()), std::move(report), loop_.get_now());
  for (const auto& row : request.demands()) {
    orders_.NoteDemand(row);
  }
}

auto coordinator_daemon::FillLoads(schema::sync_answer& answer) const -> void {
  for (const auto& [id, amount] : loads_.get_totals()) {
    auto* row = answer.add_loads();
    row->set_id(id.get());
    row->set_requests(static_cast<std::uint32_t>(amount.requests));
    row->set_tokens(amount.tokens);
  }
}

auto coordinator_daemon::OnSync(const std::string& body,
                                const answer_pointer& answer) -> void {
  auto request = schema::sync_request();
  if (!request.ParseFromString(body)) {
    Answer(answer, kUnavailable, {});
    return;
  }
  const auto now = loop_.get_now();
  auto reply = schema::sync_answer();
  reply.set_is_leader(quorum_.is_leader());
  reply.set_leader_link(quorum_.GetLeaderLink().get());
  for (const auto& link : quorum_.GetLinks()) {
    reply.add_coordinator_links(link.get());
  }
  if (quorum_.is_leader()) {
    if (!request.caller_address().empty()) {
      gateways_.Hear(
          {vm_name(request.vm()), host_port(request.caller_address()),
           data_centre_name(request.data_centre()),
           incarnation(request.incarnation()), request.ready(), now});
      NoteLoads(request);
      FillLoads(reply);
      reply.set_config_number(config_.number.get());
      if (request.have_config() < config_.number.get()) {
        reply.set_config(config_.body.bytes);
        reply.set_config_bytes(config_.body.inflated_size);
      }
      reply.set_roster_source(roster_source_);
      reply.set_roster_revision(registry_.get_revision());
      const auto since =
          request.roster_source() == roster_source_ ? request.have_roster() : 0;
      for (const auto* record : registry_.ListSince(since)) {
        *reply.add_backends() = ToSchema(*record, now);
      }
    }
    for (const auto& gateway : gateways_.ListReady(now)) {
      auto* row = reply.add_gateways();
      row->set_vm(gateway.vm.get());
      row->set_caller_address(gateway.caller_address.get());
      row->set_data_centre(gateway.data_centre.get());
      row->set_ready(true);
    }
  }
  Answer(answer, kOk, reply.SerializeAsString());
  if (quorum_.is_leader() && !request.caller_address().empty()) {
    departures_.OnTold(vm_name(request.vm()), registry_.get_revision(), now);
    departures_.Tick(now);
  }
}

// A follower asks the leader for the gateways, for its own directory.
auto coordinator_daemon::FollowLeader() -> void {
  const auto leader = quorum_.GetLeaderLink();
  const auto now = loop_.get_now();
  if (follow_call_ != nullptr && now - follow_began_ > kFollowTimeout) {
    follow_call_->Cancel();
    follow_call_ = nullptr;
  }
  if (leader == host_port() || follow_call_ != nullptr ||
      now - follow_began_ < kFollowInterval) {
    return;
  }
  follow_began_ = now;
  auto request = schema::sync_request();
  request.set_vm(settings_.vm.get());
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
  if (reply.gateways_size() > 0) {
    gateways_.Clear();
  }
  for (const auto& row : reply.gateways()) {
    gateways_.Hear({vm_name(row.vm()), host_port(row.caller_address()),
                    data_centre_name(row.data_centre()), incarnation(),
                    row.ready(), now});
  }
}

auto coordinator_daemon::TickLeader() -> void {
  const auto leads = quorum_.is_leader();
  if (leads != was_leader_) {
    was_leader_ = leads;
    if (leads) {
      roster_source_ =
          settings_.vm.get() + "/" + std::to_string(quorum_.get_term().get()) +
          "/" + std::to_string(loop_.get_now().time_since_epoch().count());
      registry_ = backend_registry(backend_registry_options());
      loads_.Clear();
      departures_.Clear();
      orders_.StartLeading(quorum_.get_term().get());
    } else {
      orders_.StopLeading();
      departures_.Clear();
      // Whether these were accepted is not known here any more.
      for (const auto& [index, put] : puts_) {
        Answer(put.answer, kUnavailable, {});
      }
      puts_.clear();
    }
  }
  if (!leads) {
    FollowLeader();
    return;
  }
  for (const auto& id : registry_.Expire(loop_.get_now())) {
    log_.Write(line_weight::state, "backend_suspected",
               {{"backend", id.get()}});
  }
  departures_.Tick(loop_.get_now());
  loads_.Expire(loop_.get_now());
  for (const auto& [id, record] : registry_.get_records()) {
    orders_.NoteLoad(id, static_cast<double>(loads_.Get(id).requests));
  }
  TickOrders();
}

auto coordinator_daemon::TickOrders() -> void {
  const auto* config = GetDecoded();
  if (config != nullptr && quorum_.is_leader()) {
    orders_.Tick(*config);
  }
}

auto coordinator_daemon::Tick() -> void {
  quorum_.Tick();
  TickLeader();
}

auto coordinator_daemon::Open() -> void {
  quorum_.Open();
}

auto coordinator_daemon::Start() -> void {
  links_ = std::make_unique<http_listener>(
      loop_,
      host_port(settings_.ip + ":" + std::to_string(settings_.link_port)),
      MakeListenerOptions(),
      [this](http_call_in call, const answer_pointer& answer) {
        OnLinkCall(call, answer);
      });
  operators_ = std::make_unique<http_listener>(
      loop_, settings_.operator_address, MakeListenerOptions(),
      [this](http_call_in call, const answer_pointer& answer) {
        OnControlCall(std::move(call), answer);
      });
  directory_ = std::make_unique<http_listener>(
      loop_, settings_.directory_address, MakeListenerOptions(),
      [this](http_call_in call, const answer_pointer& answer) {
        OnDirectoryCall(call, answer);
      });
  RepeatEvery(loop_, kTick, [this] { Tick(); });
}

auto coordinator_daemon::Reload(const site_settings& settings) -> void {
  settings_.seeds = settings.seeds;
}

}  // namespace ebony
