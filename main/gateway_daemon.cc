#include "main/gateway_daemon.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "codec/handover_codec.h"
#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "core/text.h"
#include "main/peer_fields.h"
#include "platform/config_codec.h"
#include "platform/control_codec.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

constexpr std::size_t kMaxPending = 256;  // requests
// Maximum number of requests held until the first configuration arrives, and
// the longest time that each is held.
constexpr std::size_t kMaxDeferred = 128;
constexpr duration kMaxDeferTime = std::chrono::milliseconds(900);
// Streams that start later than this after SIGTERM are rejected, since they may
// not end within the stop grace period.
constexpr duration kStreamAcceptTime = std::chrono::milliseconds(2800);
constexpr std::size_t kMinBufferedBytes = std::size_t{8} * 1024 * 1024;
// Longest time that a request waits for memory before it is refused.
constexpr duration kMaxMemoryWait = std::chrono::milliseconds(250);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kTooManyRequests = 429;

auto MakeRetryOptions(const site_settings& settings)
    -> retry_allowance_options {
  auto options = retry_allowance_options();
  options.ratio = settings.retry_ratio;
  options.slack = settings.retry_slack;
  options.window = settings.retry_window;
  return options;
}

}  // namespace

gateway_daemon::gateway_daemon(site_settings settings,
                               event_loop& loop,
                               event_log& log,
                               metrics& counters)
    : settings_(std::move(settings)),
      loop_(loop),
      log_(log),
      metrics_(counters),
      random_(std::random_device()()),
      pool_(loop, &platform::DecodeAnsweredId),
      permits_(server_permits_options(),
               [this](std::uint64_t bound) { return random_() % bound; }),
      quota_gate_(quotas_,
                  [this](std::uint64_t bound) { return random_() % bound; }),
      crash_uplink_(guard_.get_ledger()),
      paths_(loop, log, counters, registry_.get_registry(), MakePathHooks()),
      verifier_(loop,
                log,
                counters,
                [this](const std::set<backend_name>& except,
                       std::function<void(bool)> on_done) {
                  paths_.ConfirmWithOthers(except, std::move(on_done));
                }),
      peers_(settings_.data_centre,
             [this](std::uint64_t bound) { return random_() % bound; }),
      selector_(server_selector_options(),
                registry_.get_registry(),
                permits_,
                pauses_,
                [this](std::uint64_t bound) { return random_() % bound; }),
      retries_(MakeRetryOptions(settings_)),
      pending_(kMaxPending),
      freshness_(settings_.config_limit),
      incarnation_(random_()),
      context_(MakeContext()),
      link_(
          settings_,
          loop,
          pool_,
          log,
          counters,
          {[this] { return MakeRequest(); },
           [this](const schema::sync_answer& answer) { OnSyncAnswer(answer); },
           [this] { freshness_.OnContact(loop_.get_now()); },
           [this] { DispatchPending(); },
           [this](std::uint64_t bound) { return random_() % bound; }}) {}

auto gateway_daemon::MakeContext() -> proxy_context {
  return proxy_context{
      loop_,
      pool_,
      log_,
      metrics_,
      selector_,
      retries_,
      pending_,
      waits_,
      admission_,
      demand_,
      permits_,
      pauses_,
      pace_,
      origins_,
      guard_,
      verifier_,
      paths_,
      peers_,
      quotas_,
      first_events_,
      [this](std::uint64_t bound) { return random_() % bound; },
      [this] { link_.SyncSoon(); },
      [this] { link_.SyncSoon(); },
      [this] { ScheduleDispatch(); },
      [this](const backend_name& id, std::uint64_t start_time_ms) {
        OnServerLeaving(id, start_time_ms);
      },
      [this](const stream_origin& origin) {
        return versions_.IsSettled(origin, loop_.get_now());
      },
      [this](const http_head& head, const request_metadata& metadata,
             std::optional<config_number> accepted_under) {
        return CheckCaller(head, metadata, accepted_under);
      },
      [this](const request_metadata& metadata, const route_rule& rule,
             quota_gate::decision_hook on_decided) {
        RequestCredit(metadata, rule, std::move(on_decided));
      },
      [this] { return keys_->has_organisations(); },
      [this] {
        return is_draining_ &&
               loop_.get_now() - drain_start_ > kStreamAcceptTime;
      },
      0,
      0,
      0};
}

auto gateway_daemon::is_ready() const -> bool {
  return !is_draining_ && route_table_ != nullptr;
}

auto gateway_daemon::GetConfigStanding() -> config_standing {
  const auto now = loop_.RefreshNow();
  const auto standing = freshness_.GetStanding(now);
  if (standing != logged_standing_) {
    logged_standing_ = standing;
    const auto number =
        route_table_ == nullptr ? 0 : route_table_->get_config().number.get();
    log_.Write(event_category::state, "config_standing",
               {{"standing", std::string(GetStandingText(standing))},
                {"number", static_cast<std::int64_t>(number)},
                {"age_ms", freshness_.GetAge(now)},
                {"from", link_.get_peer().get()}});
  }
  return standing;
}

auto gateway_daemon::HasUsableConfig() -> bool {
  return route_table_ != nullptr &&
         GetConfigStanding() != config_standing::unconfirmed;
}

auto gateway_daemon::OnBackendChanged(const backend_record& record,
                                      mono_time now) -> void {
  const auto& status = record.status;
  log_.Write(
      event_category::state, "backend_known",
      {{"backend", status.id.get()},
       {"address", status.address.get()},
       {"software", status.software.get()},
       {"leaving", status.is_leaving ? "yes" : "no"},
       {"gone", record.has_left ? "yes" : "no"},
       {"suspected", record.is_suspected ? "yes" : "no"},
       {"limit", GetRateField(record.limit.rate)},
       {"max_rejections", GetRejectionField(record.limit.max_rejections)},
       {"presumed", record.limit.is_presumed ? "yes" : "no"},
       {"sequence", static_cast<std::int64_t>(status.sequence)},
       {"age_ms", duration(now - record.last_seen)}});
  if (status.service != service_name()) {
    software_.Observe(status.service, status.software, now);
  }
  permits_.OnAnnounced(status.id, status.start_time_ms, record.limit);
  if (record.has_left) {
    pool_.CloseIdle(status.address);
  }
}

auto gateway_daemon::OnServerLeaving(const backend_name& id,
                                     std::uint64_t start_time_ms) -> void {
  if (!registry_.ObserveLeaving(id, start_time_ms)) {
    return;
  }
  log_.Write(event_category::state, "server_leaving",
             {{"backend", id.get()},
              {"start_ms", static_cast<std::int64_t>(start_time_ms)}});
  if (const auto* record = registry_.get_registry().Find(id)) {
    pool_.CloseIdle(record->status.address);
  }
  link_.SyncSoon();
}

auto gateway_daemon::RejectCall(const request_metadata& metadata,
                                error_kind kind,
                                int status,
                                const response_pointer& answer,
                                duration retry_after) -> void {
  const auto may_return = status == kUnavailable || status == kTooManyRequests;
  quotas_.CreditBack(metadata.account.charge, loop_.get_now());
  answer->Respond(
      platform::MakeErrorHead(status, metadata.id,
                              may_return ? retry_after : duration(0)),
      {});
  metrics_.Count(std::string("ebony_refused_total{kind=\"") +
                 GetErrorAnswer(kind).code.data() + "\"}");
  log_.Write(event_category::request, "refused",
             {{"request", metadata.id.get()},
              {"host", metadata.host},
              {"path", metadata.path},
              {"organisation", metadata.account.organisation.get()},
              {"kind", GetErrorAnswer(kind).code.data()},
              {"config", static_cast<std::int64_t>(
                             route_table_ == nullptr
                                 ? 0
                                 : route_table_->get_config().number.get())},
              {"status", static_cast<std::int64_t>(status)}});
}

auto gateway_daemon::RejectUnrouted(const request_metadata& metadata,
                                    const response_pointer& answer) -> void {
  if (GetConfigStanding() == config_standing::current) {
    RejectCall(metadata, error_kind::not_found, kNotFound, answer);
  } else {
    RejectCall(metadata, error_kind::not_current, kUnavailable, answer);
  }
}

auto gateway_daemon::OnCall(incoming_request call,
                            const response_pointer& answer) -> void {
  RemovePeerFields(call.head);
  if (!TakesRequests()) {
    RejectCall(platform::DecodeCallerRequest(call.head), error_kind::draining,
               kUnavailable, answer);
    return;
  }
  if (!HasUsableConfig()) {
    DeferCall(std::move(call), answer);
    return;
  }
  auto metadata = platform::DecodeCallerRequest(call.head);
  StartSession(std::move(call), std::move(metadata), answer);
}

// After a restart the configuration, or after a silence its confirmation,
// usually arrives within a second. A caller that is rejected before that could
// use up its retries.
auto gateway_daemon::DeferCall(incoming_request call,
                               const response_pointer& answer) -> void {
  if (deferred_.size() >= kMaxDeferred) {
    RejectCall(platform::DecodeCallerRequest(call.head),
               error_kind::not_current, kUnavailable, answer);
    return;
  }
  const auto deadline =
      platform::DecodeCallerRequest(call.head).deadline.value_or(kMaxDeferTime);
  const auto limit = std::min(kMaxDeferTime, deadline / 2);
  deferred_.push_back({std::move(call), answer, loop_.get_now() + limit});
  loop_.AddTimerIn(limit, [this] { RunDeferredCalls(); });
}

auto gateway_daemon::RunDeferredCalls() -> void {
  const auto now = loop_.get_now();
  auto remaining = std::vector<deferred_call>();
  auto deferred = std::exchange(deferred_, {});
  for (auto& item : deferred) {
    if (item.answer->is_final()) {
      continue;  // the caller has disconnected
    }
    auto metadata = platform::DecodeCallerRequest(item.call.head);
    if (HasUsableConfig()) {
      StartSession(std::move(item.call), std::move(metadata), item.answer);
    } else if (now >= item.expires_at) {
      RejectCall(metadata, error_kind::not_current, kUnavailable, item.answer);
    } else {
      remaining.push_back(std::move(item));
    }
  }
  std::move(remaining.begin(), remaining.end(), std::back_inserter(deferred_));
}

auto gateway_daemon::StartSession(incoming_request call,
                                  request_metadata metadata,
                                  const response_pointer& answer) -> void {
  const auto* rule = route_table_->Match(metadata.host, metadata.path);
  if (rule == nullptr) {
    RejectUnrouted(metadata, answer);
    return;
  }
  if (Authenticate(*rule, call.head, metadata, answer)) {
    AwaitQuota(*rule, std::move(call), std::move(metadata), answer);
  }
}

auto gateway_daemon::StartAdmitted(incoming_request call,
                                   request_metadata metadata,
                                   const response_pointer& answer) -> void {
  const auto* rule = route_table_->Match(metadata.host, metadata.path);
  if (rule == nullptr) {
    RejectUnrouted(metadata, answer);
    return;
  }
  if (rule->retry == retry_policy::resumable && metadata.takes_up_stream) {
    TakeUpStream(*rule, std::move(call), std::move(metadata), answer);
    return;
  }
  StartRouted(std::move(call), std::move(metadata), std::nullopt, answer);
}

auto gateway_daemon::StartRouted(incoming_request call,
                                 request_metadata metadata,
                                 std::optional<stream_origin> origin,
                                 const response_pointer& answer) -> void {
  const auto* rule = route_table_->Match(metadata.host, metadata.path);
  if (rule == nullptr) {
    RejectUnrouted(metadata, answer);
    return;
  }
  const auto* service =
      origin ? route_table_->FindTarget(*rule, origin->service)
             : &route_table_->PickService(*rule, [this](std::uint64_t bound) {
                 return random_() % bound;
               });
  if (service == nullptr) {
    RejectCall(metadata, error_kind::stream_version_gone, kUnavailable, answer);
    return;
  }
  AddSession(*rule, *service, std::move(call), std::move(metadata),
             std::move(origin), std::nullopt, answer);
}

auto gateway_daemon::AddSession(const route_rule& rule,
                                const service_spec& service,
                                incoming_request call,
                                request_metadata metadata,
                                std::optional<stream_origin> origin,
                                std::optional<handover_terms> terms,
                                const response_pointer& answer) -> void {
  // No configuration names such a model, and no message could.
  const auto names_model =
      IsUtf8(metadata.model.get()) && IsUtf8(metadata.adapter.get());
  if (service.engine && !names_model) {
    RejectCall(metadata, error_kind::invalid_request, kBadRequest, answer);
    return;
  }
  const auto session = std::make_shared<proxy_session>(
      context_, route_table_, rule, service, std::move(call),
      std::move(metadata), std::move(origin), std::move(terms), answer);
  std::erase_if(sessions_, [](const auto& item) { return item.expired(); });
  sessions_.insert(session);
  session->Start();
}

// Dispatches the queued requests once after the current batch of events, not
// after each event.
auto gateway_daemon::ScheduleDispatch() -> void {
  if (is_dispatch_scheduled_ || pending_.get_size() == 0) {
    return;
  }
  is_dispatch_scheduled_ = true;
  loop_.AddTimerIn(duration(0), [this] {
    is_dispatch_scheduled_ = false;
    DispatchPending();
  });
}

auto gateway_daemon::DispatchPending() -> void {
  pending_.ForEach([](const std::shared_ptr<proxy_session>& session) {
    session->RetryDispatch();
  });
}

auto gateway_daemon::MakeCallerOptions() -> http_listener::options {
  auto options = http_listener::options();
  options.get_limits = [this] {
    auto limits = connection_limits();
    if (route_table_ != nullptr) {
      const auto& configured = route_table_->get_config().limits;
      limits.head_bytes = configured.max_head_bytes;
      limits.body_bytes = configured.max_body_bytes;
      limits.head_timeout = configured.head_timeout;
      limits.idle_timeout = configured.idle_timeout;
    }
    return limits;
  };
  options.is_closing = [this] { return is_draining_; };
  options.guard = caller_guard_;
  options.get_memory_wait = [](const http_head& head) {
    const auto deadline = platform::DecodeCallerRequest(head).deadline;
    return std::min(kMaxMemoryWait, deadline.value_or(kMaxMemoryWait) / 4);
  };
  return options;
}

auto gateway_daemon::Start() -> void {
  caller_guard_ = std::make_shared<caller_guard>(
      loop_, log_, metrics_,
      caller_guard::limits{GetMemoryLimits(settings_.memory_mb),
                           GetMaxCallers(settings_.max_descriptors)});
  context_.buffered_charge =
      caller_guard_->MakeCharge(client_address(), memory_user::client);
  if (const auto limit = caller_guard_->get_account().get_limit(); limit > 0) {
    // The other half is for requests, and for answers that are not yet read. A
    // single answer is never limited by it.
    context_.max_buffered_bytes = std::clamp<std::size_t>(
        limit / 2, kMinBufferedBytes, context_.max_buffered_bytes);
  }
  const auto options = MakeCallerOptions();
  if (settings_.peer_address != host_port()) {
    auto peer_options = options;
    peer_options.is_reserved = true;
    peer_listener_ = std::make_unique<http_listener>(
        loop_, settings_.peer_address, peer_options,
        [this](incoming_request call, const response_pointer& answer) {
          OnPeerCall(std::move(call), answer);
        });
  }
  caller_listener_ = std::make_unique<http_listener>(
      loop_, settings_.caller_address, options,
      [this](incoming_request call, const response_pointer& answer) {
        OnCall(std::move(call), answer);
      });
  auto readiness_options = http_listener::options();
  readiness_options.get_limits = [] { return connection_limits(); };
  readiness_options.is_closing = [] { return false; };
  readiness_options.guard = caller_guard_;
  readiness_options.is_reserved = true;
  readiness_listener_ = std::make_unique<http_listener>(
      loop_, settings_.readiness_address, readiness_options,
      [this](const incoming_request& call, const response_pointer& answer) {
        auto head = http_head();
        const auto is_readiness = platform::IsReadinessCall(call.head);
        const auto can_serve = is_ready() && HasUsableConfig();
        head.status = !is_readiness ? kNotFound
                      : can_serve   ? kOk
                                    : kUnavailable;
        answer->Respond(std::move(head), {});
      });
  link_.Start();
  paths_.Start();
}

auto gateway_daemon::CountSuspects() const -> std::size_t {
  return guard_.get_ledger().get_size();
}

auto gateway_daemon::Reload(const site_settings& settings) -> void {
  link_.AddSeeds(settings.seeds);
}

}  // namespace ebony
