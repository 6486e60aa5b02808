#include "main/order_executor.h"

#include <algorithm>
#include <list>
#include <utility>

#include "platform/order_codec.h"

namespace ebony {

namespace {

// Time limit of a connection attempt that checks whether a server is reachable.
constexpr duration kReachabilityTimeout = std::chrono::milliseconds(500);
constexpr duration kOrderTimeout = std::chrono::milliseconds(800);
// The same for an adapter's order, which a server answers at once. A late copy
// of it is refused, since it expects a number of orders that is out of date.
constexpr duration kAdapterOrderTimeout = std::chrono::milliseconds(300);
constexpr duration kReportTimeout = std::chrono::milliseconds(800);
// Time without calls to a backend server after one that it did not answer.
constexpr duration kUnansweredBackoff = std::chrono::milliseconds(1500);
// The same after an adapter's order, which makes no server busy.
constexpr duration kAdapterOrderBackoff = std::chrono::milliseconds(100);
// The same after a failed report, a rejected order, or an order that loads or
// unloads a whole model.
constexpr duration kRejectedBackoff = std::chrono::milliseconds(400);
// Added to the order lease for clock drift and network delay.
constexpr duration kLeaseMargin = std::chrono::milliseconds(200);
// Time from the answer to an adapter's load order until the adapter can be
// used.
constexpr duration kAdapterLoadDelay = std::chrono::milliseconds(15);
// Of a report. A sound one lists the names of what a server holds.
constexpr std::uint64_t kMaxReportBytes = std::uint64_t{128} * 1024;
constexpr int kAccepted = 202;
constexpr int kAlreadyApplied = 200;

auto CountAdapters(const std::vector<loaded_model>& held) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& model : held) {
    count += model.adapters.size();
  }
  return count;
}

auto IsAdapterOrder(const model_order& order) -> bool {
  return !order.adapter.get().empty();
}

auto ApplyAdapter(std::vector<loaded_model>& held, const model_order& order)
    -> void {
  for (auto& model : held) {
    if (model.name != order.model) {
      continue;
    }
    std::erase(model.adapters, order.adapter);
    if (order.is_load) {
      model.adapters.push_back(order.adapter);
    }
  }
}

// Answers to these calls bear no id, so each call has a connection of its own.
auto MakeServerCallOptions() -> call_options {
  auto options = call_options();
  options.id = call_id();
  options.matching = answer_matching::by_id;
  return options;
}

}  // namespace

order_executor::order_executor(
    const site_settings& settings,
    event_loop& loop,
    http_pool& pool,
    event_log& log,
    metrics& counters,
    backend_registry& registry,
    std::function<bool()> is_confirmed_leader,
    std::function<double(const backend_name&)> get_requests,
    std::function<void()> on_server_ready)
    : settings_(settings),
      loop_(loop),
      pool_(pool),
      log_(log),
      metrics_(counters),
      registry_(registry),
      is_confirmed_leader_(std::move(is_confirmed_leader)),
      get_requests_(std::move(get_requests)),
      on_server_ready_(std::move(on_server_ready)),
      planner_(model_planner_options()) {}

auto order_executor::StartLeading(std::uint64_t term) -> void {
  is_leading_ = true;
  fencing_number_ = term;
  leader_since_ = loop_.get_now();
  server_states_.clear();
  planner_.Reset(leader_since_);
}

auto order_executor::StopLeading() -> void {
  is_leading_ = false;
  for (auto& [id, state] : server_states_) {
    loop_.CancelTimer(state.timeout);
    if (state.call != nullptr) {
      state.call->Cancel();
    }
  }
  server_states_.clear();
}

auto order_executor::RecordDemand(const schema::demand_row& row) -> void {
  auto demand = demand_report();
  demand.model = model_name(row.model());
  demand.adapter = adapter_name(row.adapter());
  demand.requests = row.arrived();
  demand.prompt_tokens = static_cast<double>(row.prompt_tokens());
  demand.is_unserved = row.refused() > 0;
  demand.ended = row.ended();
  constexpr double kMillisecondsPerSecond = 1000;
  demand.busy_seconds =
      static_cast<double>(row.busy_ms()) / kMillisecondsPerSecond;
  planner_.AddDemand(demand, loop_.get_now());
}

auto order_executor::GetServerState(const backend_status& status)
    -> server_state& {
  auto& state = server_states_[status.id];
  if (state.start_time_ms != status.start_time_ms) {
    loop_.CancelTimer(state.timeout);
    if (state.call != nullptr) {
      state.call->Cancel();
    }
    state = server_state();
    state.start_time_ms = status.start_time_ms;
  }
  return state;
}

auto order_executor::EndCall(const backend_name& id) -> void {
  auto& state = server_states_[id];
  loop_.CancelTimer(state.timeout);
  state.call = nullptr;
  state.is_busy = false;
}

// Fetches the number of orders that a backend server has accepted. The next
// order carries this number as the expected one.
auto order_executor::RequestReport(const backend_status& status) -> void {
  auto& state = GetServerState(status);
  state.is_busy = true;
  const auto id = status.id;
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, id, body] {
    EndCall(id);
    const auto report = platform::DecodeReport(*body);
    if (!report || report->is_busy) {
      InvalidateReport(id, kRejectedBackoff);
      return;
    }
    auto& known = server_states_[id];
    known.accepted = report->accepted_orders;
    known.held = report->models;
    known.unloading = model_name();
    PublishKnownModels(id);
    log_.Write(
        event_category::state, "backend_reported",
        {{"backend", id.get()},
         {"accepted", static_cast<std::int64_t>(report->accepted_orders)},
         {"models", static_cast<std::int64_t>(known.held.size())},
         {"adapters", static_cast<std::int64_t>(CountAdapters(known.held))}});
  };
  hooks.on_failed = [this, id](call_failure failure) {
    EndCall(id);
    InvalidateReport(id, kRejectedBackoff);
    if (failure == call_failure::malformed_response) {
      metrics_.Count("ebony_unreadable_reports_total");
      log_.Write(event_category::state, "report_unreadable",
                 {{"backend", id.get()}});
    }
  };
  auto options = MakeServerCallOptions();
  options.max_body_bytes = kMaxReportBytes;
  metrics_.Count("ebony_report_calls_total");
  state.call = pool_.Start(status.address, platform::RenderReportCall(status),
                           false, options, std::move(hooks));
  state.timeout = loop_.AddTimerIn(kReportTimeout, [this, id] {
    if (server_states_[id].call != nullptr) {
      server_states_[id].call->Cancel();
    }
    EndCall(id);
    InvalidateReport(id, kUnansweredBackoff);
  });
}

auto order_executor::VerifyReachable(const backend_name& id) -> void {
  const auto* record = registry_.Find(id);
  if (record == nullptr || record->has_left || record->is_suspected) {
    return;
  }
  auto& state = GetServerState(record->status);
  if (state.check != nullptr) {
    return;
  }
  auto hooks = call_hooks();
  hooks.on_complete = [this, id] { server_states_[id].check = nullptr; };
  hooks.on_failed = [this, id](call_failure failure) {
    server_states_[id].check = nullptr;
    if (IsUnsent(failure)) {
      OnUnreachable(id);
    }
  };
  auto options = MakeServerCallOptions();
  options.connect_timeout = kReachabilityTimeout;
  metrics_.Count("ebony_report_calls_total");
  state.check = pool_.Start(record->status.address,
                            platform::RenderReportCall(record->status), false,
                            options, std::move(hooks));
  // A server that accepts the connection and stays silent is not suspected:
  // its announcements decide.
  loop_.AddTimerIn(2 * kReachabilityTimeout, [this, id] {
    auto& checked = server_states_[id];
    if (checked.check != nullptr) {
      checked.check->Cancel();
      checked.check = nullptr;
    }
  });
}

auto order_executor::OnUnreachable(const backend_name& id) -> void {
  if (!is_leading_ || !registry_.Suspect(id, loop_.get_now())) {
    return;
  }
  metrics_.Count("ebony_backends_unreachable_total");
  log_.Write(event_category::state, "backend_suspected",
             {{"backend", id.get()}, {"reason", "unreachable"}});
}

auto order_executor::SendOrder(const backend_status& status,
                               const model_order& order) -> void {
  auto& state = GetServerState(status);
  state.is_busy = true;
  const auto id = status.id;
  auto call = platform::placement_call();
  call.is_load = order.is_load;
  call.model = order.model;
  call.adapter = order.adapter;
  call.fencing_number = fencing_number_;
  call.holder = settings_.vm;
  call.expected_orders = state.accepted;
  if (!order.is_load && order.adapter.get().empty()) {
    state.unloading = order.model;
    PublishKnownModels(id);
  }
  const auto code = std::make_shared<int>(0);
  auto hooks = call_hooks();
  hooks.on_head = [code](const http_head& head) { *code = head.status; };
  hooks.on_complete = [this, id, order, code] {
    OnOrderAnswered(id, order, *code);
  };
  hooks.on_failed = [this, id, order](call_failure) {
    OnOrderUnanswered(id, order);
  };
  auto options = MakeServerCallOptions();
  options.may_send = is_confirmed_leader_;
  metrics_.Count(order.is_load ? "ebony_orders_total{op=\"load\"}"
                               : "ebony_orders_total{op=\"unload\"}");
  state.call =
      pool_.Start(status.address, platform::RenderPlacementCall(call, status),
                  false, options, std::move(hooks));
  const auto timeout =
      IsAdapterOrder(order) ? kAdapterOrderTimeout : kOrderTimeout;
  state.timeout = loop_.AddTimerIn(timeout, [this, id, order] {
    if (server_states_[id].call != nullptr) {
      server_states_[id].call->Cancel();
    }
    OnOrderUnanswered(id, order);
  });
}

auto order_executor::GetKnownModels(const backend_status& status) const
    -> std::optional<std::vector<loaded_model>> {
  const auto found = server_states_.find(status.id);
  if (found == server_states_.end() ||
      found->second.start_time_ms != status.start_time_ms) {
    return std::nullopt;
  }
  const auto& state = found->second;
  const auto& held = state.accepted ? state.held : status.models;
  const auto is_unloading = [&state](const loaded_model& model) {
    return model.name == state.unloading;
  };
  if (std::none_of(held.begin(), held.end(), is_unloading)) {
    return held == status.models ? std::nullopt : std::optional(held);
  }
  // Gateways must not route requests to a model that is being unloaded.
  auto rest = held;
  std::erase_if(rest, is_unloading);
  return rest == status.models ? std::nullopt : std::optional(rest);
}

auto order_executor::ApplyKnownModels(backend_status& status) const -> void {
  if (auto models = GetKnownModels(status)) {
    status.models = std::move(*models);
  }
}

auto order_executor::PublishKnownModels(const backend_name& id) -> void {
  const auto* record = registry_.Find(id);
  if (record == nullptr) {
    return;
  }
  if (const auto models = GetKnownModels(record->status)) {
    registry_.Update(
        id, [&models](backend_status& status) { status.models = *models; });
  }
}

// Discards the report, so that it is fetched again before the next order.
auto order_executor::InvalidateReport(const backend_name& id, duration backoff)
    -> void {
  auto& state = server_states_[id];
  state.accepted.reset();
  state.not_before = loop_.get_now() + backoff;
}

auto order_executor::OnOrderAnswered(const backend_name& id,
                                     const model_order& order,
                                     int status) -> void {
  EndCall(id);
  auto& state = server_states_[id];
  log_.Write(
      event_category::state, "order_answered",
      {{"backend", id.get()},
       {"op", order.is_load ? "load" : "unload"},
       {"model", order.model.get()},
       {"adapter", order.adapter.get()},
       {"expected", static_cast<std::int64_t>(state.accepted.value_or(0))},
       {"status", static_cast<std::int64_t>(status)}});
  const auto is_done = status == kAccepted || status == kAlreadyApplied;
  if (!is_done || order.adapter.get().empty()) {
    // The report shows a model's load or unload only after it has finished.
    InvalidateReport(id, kRejectedBackoff);
    return;
  }
  if (status == kAccepted || !order.is_load) {
    state.accepted = *state.accepted + 1;
  }
  ApplyAdapter(state.held, order);
  if (!order.is_load) {
    PublishKnownModels(id);
    on_server_ready_();
    return;
  }
  state.is_busy = true;  // until the adapter can be used
  loop_.AddTimerIn(kAdapterLoadDelay, [this, id] {
    EndCall(id);
    PublishKnownModels(id);
    on_server_ready_();
  });
}

auto order_executor::OnOrderUnanswered(const backend_name& id,
                                       const model_order& order) -> void {
  EndCall(id);
  InvalidateReport(
      id, IsAdapterOrder(order) ? kAdapterOrderBackoff : kUnansweredBackoff);
  metrics_.Count("ebony_orders_unanswered_total");
  log_.Write(event_category::state, "order_unanswered",
             {{"backend", id.get()},
              {"op", order.is_load ? "load" : "unload"},
              {"model", order.model.get()},
              {"adapter", order.adapter.get()}});
}

auto order_executor::Tick(const site_config& config) -> void {
  const auto now = loop_.get_now();
  // The order lease of the previous leader has expired after this time, so none
  // of its orders can follow.
  const auto may_send =
      is_leading_ &&
      now - leader_since_ > settings_.order_lease + kLeaseMargin &&
      is_confirmed_leader_();
  if (!may_send) {
    return;
  }
  for (const auto& [name, service] : config.services) {
    if (!service.engine) {
      continue;
    }
    auto servers = std::vector<planner_server>();
    // Copies of the statuses whose models are replaced by the confirmed ones. A
    // list, because the planner's rows point to its elements.
    auto adjusted_statuses = std::list<backend_status>();
    for (const auto& [id, record] : registry_.get_records()) {
      const auto& status = record.status;
      const auto is_confirmed = record.last_seen > leader_since_;
      if (status.service != name || record.has_left || record.is_suspected ||
          status.is_leaving || !is_confirmed) {
        continue;
      }
      auto& state = GetServerState(status);
      const auto is_unavailable = state.is_busy || now < state.not_before;
      PublishKnownModels(id);
      const auto* planned = &status;
      if (state.accepted && state.held != status.models) {
        adjusted_statuses.push_back(status);
        adjusted_statuses.back().models = state.held;
        planned = &adjusted_statuses.back();
      }
      servers.push_back({planned, get_requests_(id),
                         is_unavailable || !state.accepted.has_value()});
    }
    const auto orders = planner_.Plan(*service.engine, servers, now);
    for (const auto& order : orders) {
      if (const auto* record = registry_.Find(order.backend)) {
        SendOrder(record->status, order);
      }
    }
    for (const auto& server : servers) {
      auto& state = server_states_[server.status->id];
      if (!state.is_busy && now >= state.not_before && !state.accepted) {
        RequestReport(*server.status);
      }
    }
  }
}

}  // namespace ebony
