#include "main/gateway_daemon.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "drivers/compression.h"
#include "platform/config_codec.h"
#include "platform/control_codec.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

constexpr std::size_t kMaxWaiting = 256;  // requests
// Calls that may wait for the first configuration, and for how long.
constexpr std::size_t kMaxEarly = 128;
constexpr duration kEarlyWait = std::chrono::milliseconds(900);
constexpr duration kDrainTick = std::chrono::milliseconds(100);
// A stream that begins later after SIGTERM may not end within the grace.
constexpr duration kStreamsUntil = std::chrono::milliseconds(2800);
// Callers may use an old answer of the directory for this long.
constexpr duration kServeOn = std::chrono::milliseconds(6500);
// Left of the grace when everything that is under way is broken off.
constexpr duration kEndMargin = std::chrono::milliseconds(350);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr duration kNoConfigReturn = std::chrono::milliseconds(500);

auto MakeRepeatOptions(const site_settings& settings)
    -> retry_allowance_options {
  auto options = retry_allowance_options();
  options.ratio = settings.repeat_ratio;
  options.slack = settings.repeat_slack;
  options.window = settings.repeat_window;
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
      pool_(loop),
      board_(server_selector_options(),
             roster_.get_registry(),
             [this](std::uint64_t bound) { return random_() % bound; }),
      repeats_(MakeRepeatOptions(settings_)),
      waiting_(kMaxWaiting),
      run_(random_()),
      context_(MakeContext()),
      link_(
          settings_,
          loop,
          pool_,
          log,
          counters,
          {[this] { return MakeRequest(); },
           [this](const schema::sync_answer& answer) { OnSyncAnswer(answer); },
           [this](std::uint64_t bound) { return random_() % bound; }}) {}

auto gateway_daemon::MakeContext() -> proxy_context {
  return proxy_context{
      loop_,
      pool_,
      log_,
      metrics_,
      board_,
      repeats_,
      waiting_,
      demand_,
      [this](std::uint64_t bound) { return random_() % bound; },
      [this] { link_.Hurry(); },
      [this] { ScheduleRoom(); },
      [this] {
        return is_draining_ && loop_.get_now() - drain_began_ > kStreamsUntil;
      },
      0};
}

auto gateway_daemon::is_ready() const -> bool {
  return !is_draining_ && table_ != nullptr;
}

auto gateway_daemon::MakeRequest() -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm(settings_.vm.get());
  request.set_incarnation(run_.get());
  request.set_caller_address(settings_.caller_address.get());
  request.set_data_centre(settings_.data_centre.get());
  request.set_ready(is_ready());
  request.set_have_config(
      table_ == nullptr ? 0 : table_->get_config().number.get());
  roster_.FillRequest(request);
  for (const auto& [id, load] : board_.TakeLoadReport()) {
    AddLoad(*request.mutable_loads(), roster_.get_numbers().GetNumber(id),
            static_cast<std::uint32_t>(load.requests),
            static_cast<std::uint64_t>(load.tokens));
  }
  for (const auto& [key, count] : demand_) {
    auto* row = request.add_demands();
    row->set_service(std::get<service_name>(key).get());
    row->set_model(std::get<model_name>(key).get());
    row->set_adapter(std::get<adapter_name>(key).get());
    row->set_arrived(count.arrived);
    row->set_refused(count.missed);
    row->set_prompt_tokens(count.prompt_tokens);
  }
  demand_.clear();
  return request;
}

auto gateway_daemon::TakeConfig(const schema::sync_answer& answer) -> void {
  if (answer.config().empty()) {
    return;
  }
  const auto current =
      table_ == nullptr ? config_number() : table_->get_config().number;
  if (answer.config_number() <= current.get()) {
    return;
  }
  try {
    table_ = std::make_shared<const route_table>(platform::DecodeConfig(
        Inflate({answer.config(), answer.config_bytes()})));
    log_.Write(event_category::state, "config_applied",
               {{"number", static_cast<std::int64_t>(answer.config_number())},
                {"former", static_cast<std::int64_t>(current.get())},
                {"routes", static_cast<std::int64_t>(
                               table_->get_config().routes.size())}});
  } catch (const ebony_error& error) {
    log_.Write(event_category::state, "config_unreadable",
               {{"error", error.what()}});
  }
}

auto gateway_daemon::TakeRoster(const schema::sync_answer& answer) -> void {
  const auto now = loop_.get_now();
  const auto former = roster_.get_source();
  const auto is_new_source = roster_.ApplyAnswer(
      answer, now, [this, now](const backend_record& record) {
        OnBackendKnown(record, now);
      });
  if (is_new_source) {
    log_.Write(event_category::state, "roster_source",
               {{"source", roster_.get_source()}, {"former", former}});
  }
}

auto gateway_daemon::OnBackendKnown(const backend_record& record, mono_time now)
    -> void {
  const auto& status = record.status;
  log_.Write(event_category::state, "backend_known",
             {{"backend", status.id.get()},
              {"address", status.address.get()},
              {"leaving", status.is_leaving ? "yes" : "no"},
              {"gone", record.is_gone ? "yes" : "no"},
              {"suspected", record.is_suspected ? "yes" : "no"},
              {"sequence", static_cast<std::int64_t>(status.sequence)},
              {"age_ms", duration(now - record.heard)}});
  if (record.is_gone) {
    pool_.CloseIdle(status.address);
  }
}

auto gateway_daemon::OnSyncAnswer(const schema::sync_answer& answer) -> void {
  TakeConfig(answer);
  TakeRoster(answer);
  auto loads = std::map<backend_name, server_load>();
  ForEachLoad(answer.loads(), roster_.get_numbers(),
              [&loads](const backend_name& id, std::uint32_t requests,
                       std::uint64_t tokens) {
                loads[id] = {static_cast<double>(requests),
                             static_cast<double>(tokens)};
              });
  board_.SetTotalLoads(loads, loop_.get_now());
  board_.SetGatewayCount(std::size_t{answer.gateway_count()});
  repeats_.SetGatewayCount(std::size_t{answer.gateway_count()});
  if (!early_.empty()) {
    ReleaseEarly();
  }
  RunWaiting();
}

auto gateway_daemon::RefuseCall(const caller_terms& terms,
                                error_kind kind,
                                int status,
                                const response_pointer& answer) -> void {
  const auto return_time =
      status == kUnavailable ? kNoConfigReturn : duration(0);
  answer->Respond(platform::MakeOwnHead(status, terms.id, return_time), {});
  metrics_.Count(std::string("ebony_refused_total{kind=\"") +
                 GetErrorAnswer(kind).code.data() + "\"}");
  log_.Write(event_category::request, "refused",
             {{"request", terms.id.get()},
              {"host", terms.host},
              {"path", terms.path},
              {"kind", GetErrorAnswer(kind).code.data()},
              {"config",
               static_cast<std::int64_t>(
                   table_ == nullptr ? 0 : table_->get_config().number.get())},
              {"status", static_cast<std::int64_t>(status)}});
}

auto gateway_daemon::OnCall(incoming_request call,
                            const response_pointer& answer) -> void {
  if (table_ == nullptr) {
    HoldEarly(std::move(call), answer);
    return;
  }
  auto terms = platform::DecodeCallerRequest(call.head);
  Relay(std::move(call), std::move(terms), answer);
}

// After a restart the configuration is usually there within a second; a caller
// that was sent away would use up its retry meanwhile.
auto gateway_daemon::HoldEarly(incoming_request call,
                               const response_pointer& answer) -> void {
  if (early_.size() >= kMaxEarly) {
    RefuseCall(platform::DecodeCallerRequest(call.head),
               error_kind::not_current, kUnavailable, answer);
    return;
  }
  const auto deadline =
      platform::DecodeCallerRequest(call.head).deadline.value_or(kEarlyWait);
  const auto limit = std::min(kEarlyWait, deadline / 2);
  early_.push_back({std::move(call), answer, loop_.get_now() + limit});
  loop_.AddTimerIn(limit, [this] { ReleaseEarly(); });
}

auto gateway_daemon::ReleaseEarly() -> void {
  const auto now = loop_.get_now();
  auto rest = std::vector<early_call>();
  auto held = std::exchange(early_, {});
  for (auto& item : held) {
    if (item.answer->is_final()) {
      continue;  // its caller has left
    }
    auto terms = platform::DecodeCallerRequest(item.call.head);
    if (table_ != nullptr) {
      Relay(std::move(item.call), std::move(terms), item.answer);
    } else if (now >= item.until) {
      RefuseCall(terms, error_kind::not_current, kUnavailable, item.answer);
    } else {
      rest.push_back(std::move(item));
    }
  }
  std::move(rest.begin(), rest.end(), std::back_inserter(early_));
}

auto gateway_daemon::Relay(incoming_request call,
                           caller_terms terms,
                           const response_pointer& answer) -> void {
  const auto* rule = table_->Match(terms.host, terms.path);
  if (rule == nullptr) {
    RefuseCall(terms, error_kind::not_found, kNotFound, answer);
    return;
  }
  const auto& service = table_->PickService(
      *rule, [this](std::uint64_t bound) { return random_() % bound; });
  const auto session = std::make_shared<proxy_session>(
      context_, table_, *rule, service, std::move(call), std::move(terms),
      answer);
  std::erase_if(sessions_, [](const auto& item) { return item.expired(); });
  sessions_.insert(session);
  session->Start();
}

// Runs the waiting requests once after a round of events, not after each.
auto gateway_daemon::ScheduleRoom() -> void {
  if (room_is_due_ || waiting_.get_size() == 0) {
    return;
  }
  room_is_due_ = true;
  loop_.AddTimerIn(duration(0), [this] {
    room_is_due_ = false;
    RunWaiting();
  });
}

auto gateway_daemon::RunWaiting() -> void {
  waiting_.ForEach(
      [](const std::shared_ptr<proxy_session>& session) { session->Retry(); });
}

auto gateway_daemon::Start() -> void {
  auto options = http_listener::options();
  options.get_limits = [this] {
    auto limits = connection_limits();
    if (table_ != nullptr) {
      const auto& wanted = table_->get_config().limits;
      limits.head_bytes = wanted.head_bytes;
      limits.body_bytes = wanted.body_bytes;
      limits.head_timeout = wanted.head_time;
      limits.idle_timeout = wanted.idle_time;
    }
    return limits;
  };
  options.is_closing = [this] { return is_draining_; };
  callers_ = std::make_unique<http_listener>(
      loop_, settings_.caller_address, options,
      [this](incoming_request call, const response_pointer& answer) {
        OnCall(std::move(call), answer);
      });
  auto plain = http_listener::options();
  plain.get_limits = [] { return connection_limits(); };
  plain.is_closing = [] { return false; };
  readiness_ = std::make_unique<http_listener>(
      loop_, settings_.readiness_address, plain,
      [this](const incoming_request& call, const response_pointer& answer) {
        auto head = http_head();
        const auto known = platform::IsReadinessCall(call.head);
        head.status = !known ? kNotFound : is_ready() ? kOk : kUnavailable;
        answer->Respond(std::move(head), {});
      });
  link_.Start();
}

auto gateway_daemon::Drain() -> void {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  drain_began_ = loop_.get_now();
  log_.Write(event_category::state, "draining",
             {{"active", static_cast<std::int64_t>(context_.active)}});
  link_.Hurry();
  RepeatEvery(loop_, kDrainTick, [this] { TickDrain(); });
}

auto gateway_daemon::TickDrain() -> void {
  const auto elapsed = loop_.get_now() - drain_began_;
  const auto is_idle = elapsed >= kServeOn && context_.active == 0;
  const auto is_over = elapsed >= settings_.stop_grace - kEndMargin;
  if (is_drained_ || (!is_idle && !is_over)) {
    return;
  }
  callers_->StopAccepting();
  const auto sessions = sessions_;
  for (const auto& item : sessions) {
    if (const auto session = item.lock()) {
      session->Stop();
    }
  }
  callers_->CloseIdle();
  is_drained_ = true;
}

auto gateway_daemon::Reload(const site_settings& settings) -> void {
  link_.AddSeeds(settings.seeds);
}

}  // namespace ebony
