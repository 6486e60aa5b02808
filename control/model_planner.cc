#include "control/model_planner.h"

#include <algorithm>
#include <cmath>

namespace ebony {

namespace {

// A pending load expires after twice its load time plus this.
constexpr duration kPendingLoadSlack = std::chrono::seconds(3);

auto FindHeld(const backend_status& status, const model_name& name)
    -> const loaded_model* {
  const auto found = std::find_if(
      status.models.begin(), status.models.end(),
      [&name](const loaded_model& model) { return model.name == name; });
  return found == status.models.end() ? nullptr : &*found;
}

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

model_planner::model_planner(model_planner_options options)
    : options_(options) {}

auto model_planner::Reset(mono_time now) -> void {
  demand_.clear();
  adapters_.clear();
  pending_loads_.clear();
  demand_updated_ = now;
  models_planned_ = now;
  store_tokens_ = 0;
}

auto model_planner::AddDemand(const demand_report& report, mono_time now)
    -> void {
  auto& rate = demand_[report.model];
  rate.requests += report.requests;
  rate.prompt_tokens += report.prompt_tokens;
  service_.AddEnded(report.model, report.ended, report.busy_seconds);
  if (report.adapter.get().empty()) {
    return;
  }
  auto& demand = adapters_[{report.model, report.adapter}];
  demand.last_requested = now;
  demand.is_unserved = demand.is_unserved || report.is_unserved;
}

auto model_planner::UpdateDemand(const engine_spec& engine, mono_time now)
    -> void {
  const auto elapsed = ToSeconds(now - demand_updated_);
  if (elapsed <= 0) {
    return;
  }
  service_.Age(now - demand_updated_);
  demand_updated_ = now;
  const auto decay = std::exp(-elapsed / ToSeconds(options_.demand_window));
  const auto peak_decay =
      std::exp2(-elapsed / ToSeconds(options_.peak_load_half_life));
  const auto prompt_rate = service_.GetPromptTokensPerSecond();
  for (auto& [name, rate] : demand_) {
    const auto server_seconds = rate.requests * service_.GetSlotSeconds(name) /
                                    std::max(1U, engine.batch_slots) +
                                rate.prompt_tokens / prompt_rate;
    rate.load = decay * rate.load + (1 - decay) * server_seconds / elapsed /
                                        options_.target_utilization;
    rate.peak_load = std::max(peak_decay * rate.peak_load, rate.load);
    rate.requests = 0;
    rate.prompt_tokens = 0;
  }
  store_tokens_ = std::min(options_.store_burst,
                           store_tokens_ + elapsed * engine.loads_per_second *
                                               options_.store_rate_fraction);
}

auto model_planner::GetLoad(const model_name& model) const -> double {
  const auto found = demand_.find(model);
  if (found == demand_.end()) {
    return 0;
  }
  const auto& rate = found->second;
  return std::max(rate.load, options_.peak_load_weight * rate.peak_load);
}

auto model_planner::ContinuePendingLoads(planner_round& plan, mono_time now)
    -> void {
  for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
    const auto& id = plan.get_server(i).status->id;
    const auto found = pending_loads_.find(id);
    if (found == pending_loads_.end()) {
      continue;
    }
    const auto model = plan.FindModel(found->second.model);
    if (!model || now > found->second.deadline || plan.Holds(i, *model)) {
      pending_loads_.erase(found);
      continue;
    }
    const auto can_load =
        plan.IsAvailable(i) &&
        plan.HasCapacity(i, plan.get_model(*model).weights_mb) &&
        (plan.IsCached(i, *model) || store_tokens_ >= 1);
    if (can_load) {
      IssueMove(plan, {i, *model, std::nullopt, 0}, now);
    } else {
      plan.AddHolder(*model, i);
    }
    plan.Reserve(i);
  }
}

auto model_planner::IssueMove(planner_round& plan,
                              const candidate_move& move,
                              mono_time now) -> void {
  const auto& name = plan.get_model(move.model).name;
  const auto deadline =
      now + 2 * plan.GetLoadTime(move.server, move.model) + kPendingLoadSlack;
  pending_loads_[plan.get_server(move.server).status->id] = {name, deadline};
  plan.AddHolder(move.model, move.server);
  if (move.victim) {
    plan.RemoveHolder(*move.victim, move.server);
    plan.RemoveServing(*move.victim);
    plan.AddOrder(move.server,
                  {{}, false, plan.get_model(*move.victim).name, {}, false});
    return;
  }
  const auto from_store = !plan.IsCached(move.server, move.model);
  store_tokens_ -= from_store ? 1 : 0;
  plan.AddOrder(move.server, {{}, true, name, {}, from_store});
}

auto model_planner::PlanFirstReplicas(planner_round& plan, mono_time now)
    -> void {
  auto unplaced = std::vector<std::size_t>();
  for (auto i = std::size_t{0}; i < plan.get_engine().models.size(); ++i) {
    if (plan.get_holders(i).empty()) {
      unplaced.push_back(i);
    }
  }
  std::stable_sort(unplaced.begin(), unplaced.end(),
                   [&plan](std::size_t left, std::size_t right) {
                     return plan.get_demand(left) > plan.get_demand(right);
                   });
  for (const auto model : unplaced) {
    if (const auto move = FindLoadTarget(plan, model)) {
      IssueMove(plan, *move, now);
    }
  }
}

auto model_planner::FindLoadTarget(const planner_round& plan,
                                   std::size_t model) const
    -> std::optional<candidate_move> {
  auto best = std::optional<candidate_move>();
  for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
    if (!plan.IsAvailable(i) ||
        (!plan.IsCached(i, model) && store_tokens_ < 1)) {
      continue;
    }
    auto move = candidate_move{i, model, std::nullopt, 0};
    move.gain = -ToSeconds(plan.GetLoadTime(i, model));
    if (!plan.HasCapacity(i, plan.get_model(model).weights_mb)) {
      move.victim = FindEvictable(plan, i);
      if (!move.victim) {
        continue;
      }
      move.gain -= 1 + plan.get_demand(*move.victim);
    }
    if (!best || move.gain > best->gain) {
      best = move;
    }
  }
  return best;
}

auto model_planner::FindEvictable(const planner_round& plan,
                                  std::size_t server) const
    -> std::optional<std::size_t> {
  auto evictable = std::optional<std::size_t>();
  for (const auto held : plan.get_state(server).held) {
    if (plan.get_serving(held) > 1 &&
        (!evictable || plan.get_demand(held) < plan.get_demand(*evictable))) {
      evictable = held;
    }
  }
  return evictable;
}

auto model_planner::ListHotModels(const planner_round& plan,
                                  const load_distribution& loads) const
    -> std::vector<std::size_t> {
  auto models = std::vector<std::size_t>();
  for (auto i = std::size_t{0}; i < plan.get_engine().models.size(); ++i) {
    if (plan.get_demand(i) >= options_.min_demand) {
      models.push_back(i);
    }
  }
  const auto get_weight = [&](std::size_t model) {
    return loads.GetPressure(model) * loads.get_demand(model);
  };
  std::sort(models.begin(), models.end(),
            [&get_weight](std::size_t left, std::size_t right) {
              return get_weight(left) > get_weight(right);
            });
  models.resize(std::min(models.size(), options_.max_hot_models));
  return models;
}

auto model_planner::GetValue(const planner_round& plan,
                             const load_distribution& loads,
                             const candidate_move& move) const -> double {
  const auto effect = loads.Evaluate({move.model, move.server, move.victim});
  auto delay = ToSeconds(plan.GetLoadTime(move.server, move.model));
  if (move.victim) {
    delay += plan.get_demand(*move.victim) < options_.min_demand
                 ? options_.idle_unload_seconds
                 : options_.busy_unload_seconds;
  }
  const auto remaining =
      std::max(0.0, ToSeconds(options_.demand_horizon) - delay);
  return effect.gain * remaining - effect.interim_loss * delay;
}

auto model_planner::FindBestMove(const planner_round& plan,
                                 const load_distribution& loads) const
    -> std::optional<candidate_move> {
  auto best = std::optional<candidate_move>();
  const auto consider = [&](candidate_move move) {
    move.gain = GetValue(plan, loads, move);
    if (move.gain > options_.min_value && (!best || move.gain > best->gain)) {
      best = move;
    }
  };
  for (const auto model : ListHotModels(plan, loads)) {
    const auto weights = plan.get_model(model).weights_mb;
    for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
      if (!plan.IsAvailable(i) || plan.Holds(i, model) ||
          (store_tokens_ < 1 && !plan.IsCached(i, model))) {
        continue;
      }
      if (plan.HasCapacity(i, weights)) {
        consider({i, model, std::nullopt, 0});
        continue;
      }
      for (const auto held : plan.get_state(i).held) {
        if (plan.get_serving(held) > 1 &&
            plan.HasCapacity(i, weights - plan.get_model(held).weights_mb)) {
          consider({i, model, held, 0});
        }
      }
    }
  }
  return best;
}

auto model_planner::PlanMoves(planner_round& plan, mono_time now) -> void {
  auto loads = load_distribution(plan.get_demands(), plan.get_all_holders(),
                                 plan.get_server_count());
  for (auto count = std::size_t{0}; count < options_.max_moves_per_round;
       ++count) {
    const auto move = FindBestMove(plan, loads);
    if (!move) {
      break;
    }
    loads.Apply({move->model, move->server, move->victim});
    IssueMove(plan, *move, now);
  }
  FillFreeMemory(plan, loads, now);
}

auto model_planner::FillFreeMemory(planner_round& plan,
                                   const load_distribution& loads,
                                   mono_time now) -> void {
  for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
    if (!plan.IsAvailable(i)) {
      continue;
    }
    auto best = std::optional<std::size_t>();
    auto best_score = 0.0;
    for (auto model = std::size_t{0}; model < plan.get_engine().models.size();
         ++model) {
      const auto has_tokens =
          plan.IsCached(i, model) ||
          store_tokens_ >= 1 + options_.reserved_store_tokens;
      const auto holders = plan.get_holders(model).size();
      if (plan.get_demand(model) < options_.min_demand || !has_tokens ||
          holders == 0 || plan.Holds(i, model) ||
          !plan.HasCapacity(i, plan.get_model(model).weights_mb)) {
        continue;
      }
      const auto score = loads.GetPressure(model) * plan.get_demand(model) /
                         static_cast<double>(holders * holders);
      if (score > best_score) {
        best = model;
        best_score = score;
      }
    }
    if (best) {
      IssueMove(plan, {i, *best, std::nullopt, 0}, now);
    }
  }
}

auto model_planner::FindIdleAdapter(const backend_status& status,
                                    mono_time now) const
    -> std::optional<adapter_ref> {
  auto oldest = std::optional<adapter_ref>();
  auto oldest_request = now - options_.adapter_idle_timeout;
  for (const auto& model : status.models) {
    for (const auto& adapter : model.adapters) {
      const auto demand = adapters_.find({model.name, adapter});
      const auto last_requested = demand == adapters_.end()
                                      ? mono_time()
                                      : demand->second.last_requested;
      if (last_requested < oldest_request) {
        oldest = adapter_ref(model.name, adapter);
        oldest_request = last_requested;
      }
    }
  }
  return oldest;
}

auto model_planner::PlanAdapter(planner_round& plan,
                                const adapter_ref& wanted,
                                mono_time now) -> void {
  const auto model = plan.FindModel(wanted.first);
  if (!model) {
    return;
  }
  auto best = std::optional<std::size_t>();
  auto best_score = 0.0;
  auto best_full = std::optional<std::size_t>();
  for (const auto i : plan.get_holders(*model)) {
    const auto& server = plan.get_server(i);
    const auto* held = FindHeld(*server.status, wanted.first);
    if (held == nullptr) {
      continue;  // still being loaded
    }
    if (std::find(held->adapters.begin(), held->adapters.end(),
                  wanted.second) != held->adapters.end()) {
      return;  // already loaded on a server
    }
    if (!plan.IsAvailable(i)) {
      continue;
    }
    const auto count = plan.get_state(i).adapters;
    const auto score = server.load + count;
    if (count < plan.get_engine().adapter_slots) {
      if (!best || score < best_score) {
        best = i;
        best_score = score;
      }
    } else if (!best_full || server.load < plan.get_server(*best_full).load) {
      best_full = i;
    }
  }
  if (best) {
    plan.AddOrder(*best, {{}, true, wanted.first, wanted.second, false});
    return;
  }
  if (!best_full) {
    return;
  }
  if (const auto idle =
          FindIdleAdapter(*plan.get_server(*best_full).status, now)) {
    plan.AddOrder(*best_full, {{}, false, idle->first, idle->second, false});
  }
}

auto model_planner::PlanAdapters(planner_round& plan, mono_time now) -> void {
  for (auto& [adapter, demand] : adapters_) {
    demand.is_unserved =
        demand.is_unserved &&
        now - demand.last_requested < options_.adapter_idle_timeout;
    if (demand.is_unserved) {
      PlanAdapter(plan, adapter, now);
    }
  }
}

auto model_planner::Plan(const engine_spec& engine,
                         const std::vector<planner_server>& servers,
                         mono_time now) -> std::vector<model_order> {
  UpdateDemand(engine, now);
  auto plan = planner_round(engine, servers, [this](const model_name& name) {
    return GetLoad(name);
  });
  ContinuePendingLoads(plan, now);
  PlanAdapters(plan, now);
  if (now - models_planned_ >= options_.model_interval) {
    models_planned_ = now;
    PlanMoves(plan, now);
    PlanFirstReplicas(plan, now);
  }
  return plan.get_orders();
}

}  // namespace ebony
