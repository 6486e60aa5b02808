#include "main/order_desk.h"

#include <algorithm>
#include <utility>

#include "platform/control_codec.h"

namespace ebony {

namespace {

constexpr duration kOrderTimeout = std::chrono::milliseconds(800);
constexpr duration kStateTimeout = std::chrono::milliseconds(800);
// A server's own report shows an order some hundred milliseconds late.
constexpr duration kReportLag = std::chrono::milliseconds(700);
// After an unanswered order its server is left alone for this long.
constexpr duration kUnansweredPause = std::chrono::milliseconds(1500);
constexpr duration kRefusedPause = std::chrono::milliseconds(400);
// Added to the order lease, for what the clocks and links may differ.
constexpr duration kLeaseMargin = std::chrono::milliseconds(500);
constexpr int kAccepted = 202;
constexpr int kHeldAlready = 200;

}  // namespace

order_desk::order_desk(const site_settings& settings,
                       event_loop& loop,
                       http_pool& pool,
                       event_log& log,
                       metrics& counters,
                       backend_registry& registry)
    : settings_(settings),
      loop_(loop),
      pool_(pool),
      log_(log),
      metrics_(counters),
      registry_(registry),
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
  planner_.NoteDemand(model_name(row.model()), adapter_name(row.adapter()),
                      row.arrived(), row.refused() > 0, loop_.get_now());
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
    auto& desk_now = desks_[id];
    if (!report || report->is_busy) {
      desk_now.not_before = loop_.get_now() + kRefusedPause;
      return;
    }
    desk_now.accepted = report->accepted_orders;
    registry_.Update(
        id, [&](backend_status& known) { known.models = report->models; });
  };
  hooks.on_failed = [this, id](call_failure) {
    Finish(id);
    desks_[id].not_before = loop_.get_now() + kRefusedPause;
  };
  metrics_.Count("ebony_report_calls_total");
  desk.call = pool_.Start(status.address, platform::RenderReportCall(status),
                          false, call_options(), std::move(hooks));
  desk.timeout = loop_.AddTimerIn(kStateTimeout, [this, id] {
    if (desks_[id].call != nullptr) {
      desks_[id].call->Cancel();
    }
    Finish(id);
    desks_[id].not_before = loop_.get_now() + kUnansweredPause;
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
  if (!order.is_load) {
    // No gateway should send to what is about to go.
    Note(id, order);
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

// Writes an order's effect into the registry ahead of the announcement.
auto order_desk::Note(const backend_name& id, const model_order& order)
    -> void {
  registry_.Update(id, [&order](backend_status& status) {
    auto& models = status.models;
    const auto held = std::find_if(
        models.begin(), models.end(),
        [&order](const held_model& item) { return item.name == order.model; });
    if (order.adapter.get().empty()) {
      if (!order.is_load && held != models.end()) {
        models.erase(held);
      }
      return;  // a loaded model shows in the announcement that ends the load
    }
    if (held == models.end()) {
      return;
    }
    std::erase(held->adapters, order.adapter);
    if (order.is_load) {
      held->adapters.push_back(order.adapter);
    }
  });
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
  if (status != kAccepted && status != kHeldAlready) {
    desk.accepted.reset();
    desk.not_before = loop_.get_now() + kRefusedPause;
    return;
  }
  if (order.adapter.get().empty()) {
    // Its count and what it holds are asked for again once it is done.
    desk.accepted.reset();
    desk.not_before = loop_.get_now() + kRefusedPause;
    return;
  }
  if (status == kAccepted || !order.is_load) {
    desk.accepted = *desk.accepted + 1;
  }
  if (order.is_load) {
    Note(id, order);
  }
}

auto order_desk::OnNoAnswer(const backend_name& id, const model_order& order)
    -> void {
  Finish(id);
  auto& desk = desks_[id];
  desk.accepted.reset();
  desk.not_before = loop_.get_now() + kUnansweredPause;
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
    for (const auto& [id, record] : registry_.get_records()) {
      const auto& status = record.status;
      if (status.service != name || record.is_gone || record.is_suspected ||
          status.is_leaving) {
        continue;
      }
      auto& desk = GetDesk(status);
      const auto is_waiting = desk.is_open || now < desk.not_before;
      servers.push_back(
          {&status, loads_[id], is_waiting || !desk.accepted.has_value()});
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
