#include "main/coordinator_daemon.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "drivers/compression.h"
#include "platform/config_codec.h"

namespace ebony {

namespace {

constexpr duration kTick = std::chrono::milliseconds(50);
// Shorter than the second that callers of these interfaces wait.
constexpr duration kConfirmLimit = std::chrono::milliseconds(800);
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
      orders_(
          settings_,
          loop,
          pool_,
          log,
          counters,
          registry_,
          [this] { loop_.AddTimerIn(duration(0), [this] { TickOrders(); }); }),
      relay_(settings_.vm) {}

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

auto coordinator_daemon::TickLeader() -> void {
  const auto leads = quorum_.is_leader();
  if (leads != was_leader_) {
    was_leader_ = leads;
    if (leads) {
      roster_source_ =
          settings_.vm.get() + "/" + std::to_string(quorum_.get_term().get()) +
          "/" + std::to_string(loop_.get_now().time_since_epoch().count());
      registry_ = backend_registry(backend_registry_options());
      numbers_.Clear();
      followers_.clear();
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
