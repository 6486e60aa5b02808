#include "main/coordinator_daemon.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "drivers/compression.h"
#include "main/site_paths.h"
#include "platform/config_codec.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(50);
// Below the 1 s timeout of clients of these interfaces.
constexpr duration kConfirmTimeout = std::chrono::milliseconds(800);
// Interval of looks at the software versions of all servers while nothing
// changes.
constexpr duration kCensusInterval = std::chrono::milliseconds(1000);
constexpr std::chrono::seconds kDirectoryTtl{2};
// Of a configuration, of any other call of a server or an operator, and of one
// at the directory.
constexpr std::uint64_t kMaxConfigBytes = std::uint64_t{4} * 1024 * 1024;
constexpr std::uint64_t kMaxControlBodyBytes = std::uint64_t{256} * 1024;
constexpr std::uint64_t kMaxDirectoryBodyBytes = std::uint64_t{16} * 1024;

// Of a refused call, in a log line.
constexpr std::size_t kMaxLoggedBytes = 256;

// Time that a call waits for memory before it is refused.
constexpr duration kMemoryWait = std::chrono::milliseconds(250);

constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

auto MakeListenerOptions(std::uint64_t max_body_bytes,
                         const std::shared_ptr<caller_guard>& guard)
    -> http_listener::options {
  auto options = http_listener::options();
  options.get_limits = [max_body_bytes] {
    auto limits = connection_limits();
    limits.body_bytes = max_body_bytes;
    return limits;
  };
  options.is_closing = [] { return false; };
  options.guard = guard;
  options.get_memory_wait = [](const http_head&) { return kMemoryWait; };
  return options;
}

auto MakeJournalOptions(const site_settings& settings)
    -> fact_journal::options {
  auto options = fact_journal::options();
  options.folder = settings.data_folder;
  return options;
}

auto MakeRandomNumber() -> std::uint64_t {
  auto source = std::random_device();
  return std::uniform_int_distribution<std::uint64_t>()(source);
}

// Returns a source of random numbers in [0, bound).
auto MakeRandomSource() -> std::function<std::uint64_t(std::uint64_t)> {
  auto random = std::make_shared<std::mt19937_64>(MakeRandomNumber());
  return [random](std::uint64_t bound) { return (*random)() % bound; };
}

}  // namespace

coordinator_daemon::coordinator_daemon(site_settings settings,
                                       event_loop& loop,
                                       event_log& log,
                                       metrics& counters,
                                       disk_write write)
    : settings_(std::move(settings)),
      loop_(loop),
      log_(log),
      metrics_(counters),
      pool_(loop, &platform::DecodeAnsweredId),
      raft_(settings_,
            loop,
            pool_,
            log,
            counters,
            MakeStateMachine(),
            std::move(write)),
      registry_(backend_registry_options()),
      directory_(MakeRandomSource()),
      crash_desk_(MakeRandomNumber()),
      quota_desk_(GetQuotaTerms(settings_.quota_window,
                                settings_.quota_tolerance,
                                settings_.quota_slack)),
      facts_(MakeJournalOptions(settings_), log, counters),
      order_executor_(
          settings_,
          loop,
          pool_,
          log,
          counters,
          registry_,
          [this] { return raft_.IsConfirmedLeader(); },
          [this](const backend_name& id) {
            const auto number = backend_index_.GetNumber(id);
            return static_cast<double>(load_totals_.Get(number).requests);
          },
          [this] {
            loop_.AddTimerIn(duration(0), [this] { ExecuteOrders(); });
          }),
      relay_(settings_.vm, MakeRandomSource()) {}

auto coordinator_daemon::MakeStateMachine() -> replicated_state_machine {
  auto state = replicated_state_machine();
  state.apply = [this](const log_entry& entry) { ApplyEntry(entry); };
  state.encode = [this] {
    auto message = schema::site_snapshot();
    message.set_config_number(config_.number.get());
    message.set_config(config_.body.bytes);
    message.set_config_bytes(config_.body.inflated_size);
    for (const auto& item : software_.get_items()) {
      *message.add_software() = ToSchema(item);
    }
    return message.SerializeAsString();
  };
  state.restore = [this](const std::string& bytes) {
    auto message = schema::site_snapshot();
    if (!message.ParseFromString(bytes)) {
      throw ebony_error(error_kind::storage_failed,
                        "the configuration snapshot cannot be decoded");
    }
    SetConfig(message);
    software_ = ToSoftwareVersions(message.software());
    software_times_.Update(software_, loop_.get_now());
  };
  return state;
}

auto coordinator_daemon::SetConfig(const schema::site_snapshot& message)
    -> void {
  config_.number = config_number(message.config_number());
  config_.body = {message.config(), message.config_bytes()};
  decoded_config_.reset();
}

// Decodes the configuration on first use: a restart applies many configurations
// in a row, and only the last one is used.
auto coordinator_daemon::GetDecodedConfig() -> const site_config* {
  if (decoded_config_ == nullptr && config_.number != config_number()) {
    try {
      decoded_config_ = std::make_unique<site_config>(
          platform::DecodeConfig(Inflate(config_.body)));
    } catch (const ebony_error& error) {
      // Validated before it was proposed, so only a configuration that another
      // build accepted can fail here.
      log_.Write(event_category::state, "config_unreadable",
                 {{"number", static_cast<std::int64_t>(config_.number.get())},
                  {"error", error.what()}});
      decoded_config_ = std::make_unique<site_config>();
    }
  }
  return decoded_config_.get();
}

// Applies a configuration only if its number is higher than the current one.
auto coordinator_daemon::ApplyEntry(const log_entry& entry) -> void {
  if (entry.kind == entry_kind::command) {
    auto message = schema::site_snapshot();
    const auto is_readable = message.ParseFromString(entry.payload);
    if (is_readable) {
      ApplySoftware(message);
    }
    if (is_readable && message.config_number() > config_.number.get()) {
      SetConfig(message);
      log_.Write(event_category::state, "config_applied",
                 {{"number", static_cast<std::int64_t>(config_.number.get())},
                  {"index", static_cast<std::int64_t>(entry.index.get())},
                  {"term", static_cast<std::int64_t>(entry.term.get())}});
    }
  }
  if (software_proposal_ && entry.index >= *software_proposal_) {
    software_proposal_.reset();
  }
  pending_puts_.OnApplied(entry);
}

auto coordinator_daemon::ApplySoftware(const schema::site_snapshot& message)
    -> void {
  const auto log_change = [this](const stream_origin& item, const char* event) {
    log_.Write(
        event_category::state, event,
        {{"service", item.service.get()}, {"software", item.software.get()}});
  };
  for (const auto& row : message.added_software()) {
    if (software_.Add(ToDomain(row))) {
      log_change(ToDomain(row), "software_known");
    }
  }
  for (const auto& row : message.removed_software()) {
    if (software_.Remove(ToDomain(row))) {
      log_change(ToDomain(row), "software_forgotten");
    }
  }
  software_times_.Update(software_, loop_.get_now());
  is_census_due_ = true;
}

auto coordinator_daemon::AwaitCommit(log_index index,
                                     config_number number,
                                     const response_pointer& answer) -> void {
  const auto term = raft_.get_term();
  const auto received_at = loop_.get_now();
  pending_puts_.Add(index, term, [=, this](bool is_committed) {
    log_.Write(event_category::state,
               is_committed ? "config_acknowledged" : "config_outcome_unknown",
               {{"number", static_cast<std::int64_t>(number.get())},
                {"index", static_cast<std::int64_t>(index.get())},
                {"current", static_cast<std::int64_t>(config_.number.get())},
                {"proposed_in", static_cast<std::int64_t>(term.get())},
                {"term", static_cast<std::int64_t>(raft_.get_term().get())},
                {"waited_ms", duration(loop_.get_now() - received_at)}});
    Respond(answer, is_committed ? kOk : kUnavailable,
            is_committed ? "{}" : std::string());
  });
}

auto coordinator_daemon::Respond(const response_pointer& answer,
                                 int status,
                                 std::string body) -> void {
  auto head = http_head();
  head.status = status;
  if (!body.empty()) {
    head.fields.push_back({"Content-Type", "application/json"});
  }
  answer->Respond(std::move(head), body);
}

auto coordinator_daemon::OnControlCall(incoming_request call,
                                       const response_pointer& answer) -> void {
  try {
    const auto decoded = platform::DecodeControlCall(call.head, call.body);
    if (const auto* announce = std::get_if<platform::announce_call>(&decoded)) {
      OnAnnounce(announce->status, call.arrived_after, answer);
    } else if (const auto* leave =
                   std::get_if<platform::leave_call>(&decoded)) {
      OnLeave(*leave, call.arrived_after, answer);
    } else if (const auto* put =
                   std::get_if<platform::put_config_call>(&decoded)) {
      OnPutConfig(put->number, call.head.target, call.body, answer);
    } else if (std::holds_alternative<platform::read_config_call>(decoded)) {
      OnReadConfig(call.head.target, answer);
    } else {
      Respond(answer, kNotFound, {});
    }
  } catch (const ebony_error& error) {
    RefuseCall(call.head, error, answer);
  }
}

auto coordinator_daemon::RefuseCall(const http_head& head,
                                    const ebony_error& error,
                                    const response_pointer& answer) -> void {
  const auto& row = GetErrorAnswer(error.get_kind());
  metrics_.Count("ebony_control_refused_total");
  log_.Write(event_category::state, "control_call_refused",
             {{"method", head.method},
              {"target", head.target.substr(0, kMaxLoggedBytes)},
              {"error", std::string(error.what()).substr(0, kMaxLoggedBytes)},
              {"status", static_cast<std::int64_t>(row.http_status)}});
  Respond(answer, row.http_status, {});
}

auto coordinator_daemon::RedirectToLeader(const std::string& target,
                                          const response_pointer& answer)
    -> void {
  const auto leader = raft_.GetLeaderOperatorAddress();
  if (leader == host_port() || leader == settings_.operator_address) {
    Respond(answer, kUnavailable, {});
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
                                     const response_pointer& answer) -> void {
  if (!raft_.is_leader()) {
    RedirectToLeader(target, answer);
    return;
  }
  // Also proposed when the number is not higher than the current one: the
  // answer then confirms that a majority of disks has this configuration or a
  // newer one.
  auto message = schema::site_snapshot();
  message.set_config_number(number.get());
  if (number > config_.number) {
    const auto deflated = Deflate(body);
    message.set_config(deflated.bytes);
    message.set_config_bytes(deflated.inflated_size);
  }
  const auto index = raft_.Propose(message.SerializeAsString());
  if (!index) {
    Respond(answer, kUnavailable, {});
    return;
  }
  log_.Write(event_category::state, "config_proposed",
             {{"number", static_cast<std::int64_t>(number.get())},
              {"current", static_cast<std::int64_t>(config_.number.get())},
              {"index", static_cast<std::int64_t>(index->get())},
              {"term", static_cast<std::int64_t>(raft_.get_term().get())}});
  AwaitCommit(*index, number, answer);
}

auto coordinator_daemon::OnReadConfig(const std::string& target,
                                      const response_pointer& answer) -> void {
  if (!raft_.is_leader()) {
    RedirectToLeader(target, answer);
    return;
  }
  raft_.ConfirmLeadership(kConfirmTimeout, [this, answer](bool is_current) {
    const auto is_available = is_current && config_.number != config_number();
    Respond(answer, is_available ? kOk : kUnavailable,
            is_available ? Inflate(config_.body) : std::string());
  });
}

auto coordinator_daemon::OnDirectoryCall(const incoming_request& call,
                                         const response_pointer& answer)
    -> void {
  try {
    const auto decoded = platform::DecodeControlCall(call.head, call.body);
    if (const auto* resolve = std::get_if<platform::resolve_call>(&decoded)) {
      OnResolve(*resolve, answer);
    } else {
      Respond(answer, kNotFound, {});
    }
  } catch (const ebony_error& error) {
    RefuseCall(call.head, error, answer);
  }
}

auto coordinator_daemon::OnResolve(const platform::resolve_call& call,
                                   const response_pointer& answer) -> void {
  directory_.Update(gateways_, loop_.get_now());
  const auto addresses = directory_.Choose(call.data_centre);
  metrics_.Count("ebony_directory_calls_total");
  if (addresses.empty()) {
    Respond(answer, kUnavailable, {});
    return;
  }
  Respond(answer, kOk, platform::EncodeDirectory(addresses, kDirectoryTtl));
}

auto coordinator_daemon::UpdateQuotas() -> void {
  if (quotas_number_ == config_.number) {
    return;
  }
  quotas_number_ = config_.number;
  if (const auto* config = GetDecodedConfig()) {
    quota_desk_.SetQuotas(config->organisations, loop_.get_now());
  }
}

auto coordinator_daemon::UpdateLeadership() -> void {
  const auto is_leader = raft_.is_leader();
  if (is_leader != was_leader_) {
    was_leader_ = is_leader;
    software_proposal_.reset();
    if (is_leader) {
      registry_epoch_ =
          settings_.vm.get() + "/" + std::to_string(raft_.get_term().get()) +
          "/" + std::to_string(loop_.get_now().time_since_epoch().count());
      // Servers announce themselves here only from now on. Until then the copy
      // of the previous leader's registry holds, so that a server which has
      // left or failed meanwhile is known and its state can be passed on.
      registry_ = relay_.get_registry();
      registry_.Refresh(loop_.get_now());
      backend_index_.Clear();
      followers_.clear();
      load_totals_.Clear();
      permit_allocator_.Restart(loop_.get_now());
      crash_desk_.StartLeading(loop_.get_now());
      quota_desk_.StartLeading({}, loop_.get_now());
      quotas_number_ = config_number();
      limits_revision_ = 0;
      census_.Restart();
      has_all_software_ = false;
      is_census_due_ = true;
      drain_acks_.Clear();
      order_executor_.StartLeading(raft_.get_term().get());
    } else {
      order_executor_.StopLeading();
      drain_acks_.Clear();
      // The next leader may still commit the entries.
      pending_puts_.FailAll();
    }
  }
  if (!is_leader) {
    SyncWithLeader();
    return;
  }
  for (const auto& id : registry_.Expire(loop_.get_now())) {
    log_.Write(event_category::state, "backend_suspected",
               {{"backend", id.get()}});
  }
  UpdateQuotas();
  TakeCensus();
  drain_acks_.Tick(loop_.get_now());
  load_totals_.Expire(loop_.get_now());
  ExecuteOrders();
}

auto coordinator_daemon::TakeCensus() -> void {
  const auto now = loop_.get_now();
  if (!is_census_due_ && now - census_taken_ < kCensusInterval) {
    return;
  }
  census_taken_ = now;
  is_census_due_ = false;
  has_all_software_ = HasAllVersions(software_, registry_);
  const auto change = census_.Plan(registry_, software_, now);
  if (change.is_empty() || software_proposal_) {
    return;
  }
  auto message = schema::site_snapshot();
  for (const auto& item : change.added) {
    *message.add_added_software() = ToSchema(item);
  }
  for (const auto& item : change.removed) {
    *message.add_removed_software() = ToSchema(item);
  }
  software_proposal_ = raft_.Propose(message.SerializeAsString());
}

auto coordinator_daemon::GetCurrentSoftware() const
    -> const software_versions* {
  const auto is_current = has_all_software_ && raft_.IsConfirmedLeader();
  return is_current ? &software_ : nullptr;
}

auto coordinator_daemon::ExecuteOrders() -> void {
  const auto* config = GetDecodedConfig();
  if (config != nullptr && raft_.is_leader()) {
    order_executor_.Tick(*config);
  }
}

auto coordinator_daemon::GetKnownFacts() const -> known_facts {
  return {crash_desk_.get_ledger(), origins_.get_table(),
          software_.GetMixedServices(),
          was_leader_ ? registry_ : relay_.get_registry(),
          was_leader_ ? registry_epoch_ : std::string()};
}

// What an earlier run has written is reported to the leader, as what gateways
// report is.
auto coordinator_daemon::LoadFacts() -> void {
  const auto now = loop_.RefreshNow();
  auto receivers = fact_receivers();
  receivers.on_crash_record = [this, now](const crash_report& report) {
    crash_desk_.Restore(report, now);
  };
  receivers.on_stream = [this, now](stream_key key,
                                    const stream_origin& origin) {
    origins_.OnBegun(key, origin, now);
  };
  receivers.on_departure = [this, now](const backend_record& record) {
    relay_.RestoreDeparture(record, now);
  };
  facts_.Load(raft_.get_self(), receivers, now, GetWallTime());
  facts_.OnRestored(GetKnownFacts());
}

auto coordinator_daemon::Tick() -> void {
  raft_.Tick();
  UpdateLeadership();
  facts_.Tick(GetKnownFacts(), loop_.get_now(), GetWallTime());
}

auto coordinator_daemon::Open() -> void {
  raft_.Open();
  LoadFacts();
}

auto coordinator_daemon::Start() -> void {
  caller_guard_ = std::make_shared<caller_guard>(
      loop_, log_, metrics_,
      caller_guard::limits{GetMemoryLimits(settings_.memory_mb),
                           GetMaxCallers(settings_.max_descriptors)});
  auto link_options = MakeListenerOptions(kMaxLinkBodyBytes, caller_guard_);
  link_options.is_reserved = true;
  link_listener_ = std::make_unique<http_listener>(
      loop_,
      host_port(settings_.ip + ":" + std::to_string(settings_.link_port)),
      link_options,
      [this](incoming_request call, const response_pointer& answer) {
        OnLinkCall(call, answer);
      });
  auto operator_options = MakeListenerOptions(kMaxConfigBytes, caller_guard_);
  operator_options.get_body_limit = [](const http_head& head) {
    return platform::IsConfigCall(head) ? kMaxConfigBytes
                                        : kMaxControlBodyBytes;
  };
  operator_listener_ = std::make_unique<http_listener>(
      loop_, settings_.operator_address, operator_options,
      [this](incoming_request call, const response_pointer& answer) {
        OnControlCall(std::move(call), answer);
      });
  directory_listener_ = std::make_unique<http_listener>(
      loop_, settings_.directory_address,
      MakeListenerOptions(kMaxDirectoryBodyBytes, caller_guard_),
      [this](incoming_request call, const response_pointer& answer) {
        OnDirectoryCall(call, answer);
      });
  RepeatEvery(loop_, kTickInterval, [this] { Tick(); });
}

auto coordinator_daemon::Reload(const site_settings& settings) -> void {
  settings_.seeds = settings.seeds;
}

}  // namespace ebony
