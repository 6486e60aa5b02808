#include "main/order_desk.h"

#include <algorithm>
#include <list>
#include <utility>

#include "platform/order_codec.h"

namespace ebony {

namespace {

constexpr duration kOrderTimeout = std::chrono::milliseconds(800);
constexpr duration kStateTimeout = std::chrono::milliseconds(800);
// After an unanswered order its server is left alone for this long.
constexpr duration kUnansweredPause = std::chrono::milliseconds(1500);
constexpr duration kRefusedPause = std::chrono::milliseconds(400);
// Added to the order lease, for what the clocks and links may differ.
constexpr duration kLeaseMargin = std::chrono::milliseconds(200);
// From the answer to an adapter's order until the adapter can be used.
constexpr duration kAdapterArrival = std::chrono::milliseconds(15);
constexpr int kAccepted = 202;
constexpr int kHeldAlready = 200;

auto CountAdapters(const std::vector<held_model>& held) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& model : held) {
    count += model.adapters.size();
  }
  return count;
}

auto ApplyAdapter(std::vector<held_model>& held, const model_order& order)
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

}  // namespace

order_desk::order_desk(const site_settings& settings,
                       event_loop& loop,
                       http_pool& pool,
                       event_log& log,
                       metrics& counters,
                       backend_registry& registry,
                       std::function<void()> on_free)
    : settings_(settings),
      loop_(loop),
      pool_(pool),
      log_(log),
      metrics_(counters),
      registry_(registry),
      on_free_(std::move(on_free)),
      planner_(model_planner_options()) {}

auto order_desk::StartLeading(std::uint64_t term) -> void {
  is_leading_ = true;
  fencing_number_ = term;
  leader_since_ = loop_.get_now();
  desks_.clear();
  planner_.Reset(leader_since_);
}

auto order_desk::StopLeading() -> void {
  is_leading_ = false;
  for (auto& [id, desk] : desks_) {
    loop_.CancelTimer(desk.timeout);
    if (desk.call != nullptr) {
      desk.call->Cancel();
    }
  }
  desks_.clear();
}

auto order_desk::NoteDemand(const schema::demand_row& row) -> void {
  auto demand = demand_report();
  demand.model = model_name(row.model());
  demand.adapter = adapter_name(row.adapter());
  demand.requests = row.arrived();
  demand.prompt_tokens = static_cast<double>(row.prompt_tokens());
  demand.is_unserved = row.refused() > 0;
  planner_.AddDemand(demand, loop_.get_now());
}

auto order_desk::GetDesk(const backend_status& status) -> desk_entry& {
  auto& desk = desks_[status.id];
  if (desk.born_ms != status.born_ms) {
    loop_.CancelTimer(desk.timeout);
    if (desk.call != nullptr) {
      desk.call->Cancel();
    }
    desk = desk_entry();
    desk.born_ms = status.born_ms;
  }
  return desk;
}

auto order_desk::Finish(const backend_name& id) -> void {
  auto& desk = desks_[id];
  loop_.CancelTimer(desk.timeout);
  desk.call = nullptr;
  desk.is_open = false;
}

// Asks a server how many orders it has accepted, so that the next one can say
// which it expects.
auto order_desk::AskState(const backend_status& status) -> void {
  auto& desk = GetDesk(status);
  desk.is_open = true;
  const auto id = status.id;
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_head = [](const http_head&) { return true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_whole = [this, id, body] {
    Finish(id);
    const auto report = platform::DecodeReport(*body);
    if (!report || report->is_busy) {
      Forget(id, kRefusedPause);
      return;
    }
    auto& known = desks_[id];
    known.accepted = report->accepted_orders;
    known.held = report->models;
    known.leaving = model_name();
    Publish(id);
    log_.Write(
        line_weight::state, "backend_reported",
        {{"backend", id.get()},
         {"accepted", static_cast<std::int64_t>(report->accepted_orders)},
         {"models", static_cast<std::int64_t>(known.held.size())},
         {"adapters", static_cast<std::int64_t>(CountAdapters(known.held))}});
  };
  hooks.on_failed = [this, id](call_failure) {
    Finish(id);
    Forget(id, kRefusedPause);
  };
  metrics_.Count("ebony_report_calls_total");
  desk.call = pool_.Start(status.address, platform::RenderReportCall(status),
                          false, call_options(), std::move(hooks));
  desk.timeout = loop_.AddTimerIn(kStateTimeout, [this, id] {
    if (desks_[id].call != nullptr) {
      desks_[id].call->Cancel();
    }
    Finish(id);
    Forget(id, kUnansweredPause);
  });
}

auto order_desk::Send(const backend_status& status, const model_order& order)
    -> void {
  auto& desk = GetDesk(status);
  desk.is_open = true;
  const auto id = status.id;
  auto call = platform::placement_call();
  call.is_load = order.is_load;
  call.model = order.model;
  call.adapter = order.adapter;
  call.fencing_number = fencing_number_;
  call.holder = settings_.vm;
  call.expected_orders = desk.accepted;
  if (!order.is_load && order.adapter.get().empty()) {
    desk.leaving = order.model;
    Publish(id);
  }
  const auto code = std::make_shared<int>(0);
  auto hooks = call_hooks();
  hooks.on_head = [code](const http_head& head) {
    *code = head.status;
    return true;
  };
  hooks.on_whole = [this, id, order, code] { OnAnswer(id, order, *code); };
  hooks.on_failed = [this, id, order](call_failure) { OnNoAnswer(id, order); };
  auto options = call_options();
  options.max_idle = duration(0);  // a kept connection could prove dead
  metrics_.Count(order.is_load ? "ebony_orders_total{op=\"load\"}"
                               : "ebony_orders_total{op=\"unload\"}");
  desk.call =
      pool_.Start(status.address, platform::RenderPlacementCall(call, status),
                  false, options, std::move(hooks));
  desk.timeout = loop_.AddTimerIn(kOrderTimeout, [this, id, order] {
    if (desks_[id].call != nullptr) {
      desks_[id].call->Cancel();
    }
    OnNoAnswer(id, order);
  });
}

auto order_desk::GetCorrection(const backend_status& status) const
    -> std::optional<std::vector<held_model>> {
  const auto found = desks_.find(status.id);
  if (found == desks_.end() || found->second.born_ms != status.born_ms) {
    return std::nullopt;
  }
  const auto& desk = found->second;
  const auto& held = desk.accepted ? desk.held : status.models;
  const auto is_leaving = [&desk](const held_model& model) {
    return model.name == desk.leaving;
  };
  if (std::none_of(held.begin(), held.end(), is_leaving)) {
    return held == status.models ? std::nullopt : std::optional(held);
  }
  // No gateway should send to a model that is about to go.
  auto rest = held;
  std::erase_if(rest, is_leaving);
  return rest == status.models ? std::nullopt : std::optional(rest);
}

auto order_desk::Correct(backend_status& status) const -> void {
  if (auto models = GetCorrection(status)) {
    status.models = std::move(*models);
  }
}

auto order_desk::Publish(const backend_name& id) -> void {
  const auto* record = registry_.Find(id);
  if (record == nullptr) {
    return;
  }
  if (const auto models = GetCorrection(record->status)) {
    registry_.Update(
        id, [&models](backend_status& status) { status.models = *models; });
  }
}

// What the server holds has to be asked for again before its next order.
auto order_desk::Forget(const backend_name& id, duration pause) -> void {
  auto& desk = desks_[id];
  desk.accepted.reset();
  desk.not_before = loop_.get_now() + pause;
}

auto order_desk::OnAnswer(const backend_name& id,
                          const model_order& order,
                          int status) -> void {
  Finish(id);
  auto& desk = desks_[id];
  log_.Write(
      line_weight::state, "order_answered",
      {{"backend", id.get()},
       {"op", order.is_load ? "load" : "unload"},
       {"model", order.model.get()},
       {"adapter", order.adapter.get()},
       {"expected", static_cast<std::int64_t>(desk.accepted.value_or(0))},
       {"status", static_cast<std::int64_t>(status)}});
  const auto is_done = status == kAccepted || status == kHeldAlready;
  if (!is_done || order.adapter.get().empty()) {
    // A model's load or unload shows in the server's report once it is over.
    Forget(id, kRefusedPause);
    return;
  }
  if (status == kAccepted || !order.is_load) {
    desk.accepted = *desk.accepted + 1;
  }
  ApplyAdapter(desk.held, order);
  if (!order.is_load) {
    Publish(id);
    on_free_();
    return;
  }
  desk.is_open = true;  // until the adapter has arrived
  loop_.AddTimerIn(kAdapterArrival, [this, id] {
    Finish(id);
    Publish(id);
    on_free_();
  });
}

auto order_desk::OnNoAnswer(const backend_name& id, const model_order& order)
    -> void {
  Finish(id);
  Forget(id, kUnansweredPause);
  metrics_.Count("ebony_orders_unanswered_total");
  log_.Write(line_weight::state, "order_unanswered",
             {{"backend", id.get()},
              {"op", order.is_load ? "load" : "unload"},
              {"model", order.model.get()},
              {"adapter", order.adapter.get()}});
}

auto order_desk::Tick(const site_config& config) -> void {
  const auto now = loop_.get_now();
  // The former leader's orders are at least a lease away by then.
  const auto may_order =
      is_leading_ && now - leader_since_ > settings_.order_lease + kLeaseMargin;
  if (!may_order) {
    return;
  }
  for (const auto& [name, service] : config.services) {
    if (!service.engine) {
      continue;
    }
    auto servers = std::vector<planner_server>();
    // Copies of those that the planner sees otherwise: with what they hold for
    // sure.
    auto views = std::list<backend_status>();
    for (const auto& [id, record] : registry_.get_records()) {
      const auto& status = record.status;
      if (status.service != name || record.is_gone || record.is_suspected ||
          status.is_leaving) {
        continue;
      }
      auto& desk = GetDesk(status);
      const auto is_waiting = desk.is_open || now < desk.not_before;
      Publish(id);
      const auto* view = &status;
      if (desk.accepted && desk.held != status.models) {
        views.push_back(status);
        views.back().models = desk.held;
        view = &views.back();
      }
      servers.push_back(
          {view, loads_[id], is_waiting || !desk.accepted.has_value()});
    }
    const auto orders = planner_.Plan(*service.engine, servers, now);
    for (const auto& order : orders) {
      if (const auto* record = registry_.Find(order.backend)) {
        Send(record->status, order);
      }
    }
    for (const auto& server : servers) {
      auto& desk = desks_[server.status->id];
      if (!desk.is_open && now >= desk.not_before && !desk.accepted) {
        AskState(*server.status);
      }
    }
  }
}

auto order_desk::NoteLoad(const backend_name& id, double requests) -> void {
  loads_[id] = requests;
}

}  // namespace ebony
