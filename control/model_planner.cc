#include "control/model_planner.h"

#include <algorithm>
#include <cmath>

namespace ebony {

namespace {

auto Contains(const std::vector<model_name>& names, const model_name& name)
    -> bool {
  return std::find(names.begin(), names.end(), name) != names.end();
}

auto FindHeld(const backend_status& status, const model_name& name)
    -> const held_model* {
  const auto found = std::find_if(
      status.models.begin(), status.models.end(),
      [&name](const held_model& model) { return model.name == name; });
  return found == status.models.end() ? nullptr : &*found;
}

auto CountAdapters(const backend_status& status) -> int {
  auto count = std::size_t{0};
  for (const auto& model : status.models) {
    count += model.adapters.size();
  }
  return static_cast<int>(count);
}

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

// What one call of `Plan` works on.
struct model_planner::round {
  const engine_spec& engine;
  const std::vector<planner_server>& servers;
  std::map<model_name, const catalogue_model*> catalogue;
  std::map<model_name, int> copies;
  std::map<model_name, int> targets;
  std::set<backend_name> taken;  // got an order in this round
  std::vector<model_order> orders;

  auto IsFree(const planner_server& server) const -> bool {
    return !server.is_busy && !taken.contains(server.status->id);
  }
  auto GetWeights(const backend_status& status) const -> double {
    auto sum = 0.0;
    for (const auto& model : status.models) {
      const auto known = catalogue.find(model.name);
      if (known == catalogue.end()) {
        sum = engine.weights_mb;  // its size is unknown: leave it alone
        continue;
      }
      sum += known->second->weights_mb +
             known->second->adapter_mb *
                 static_cast<double>(model.adapters.size());
    }
    return sum;
  }
  // Room kept for adapters that come later.
  auto GetAdapterRoom() const -> double {
    auto largest = 0.0;
    for (const auto& [name, model] : catalogue) {
      largest = std::max(largest, model->adapter_mb);
    }
    return largest * engine.adapter_slots;
  }
  auto HasRoom(const backend_status& status, double weights) const -> bool {
    return GetWeights(status) + weights + GetAdapterRoom() <= engine.weights_mb;
  }
  auto Give(const planner_server& server, model_order order) -> void {
    order.backend = server.status->id;
    taken.insert(server.status->id);
    orders.push_back(std::move(order));
  }
};

model_planner::model_planner(model_planner_options options)
    : options_(options) {}

auto model_planner::Reset(mono_time now) -> void {
  demand_.clear();
  adapters_.clear();
  stepped_ = now;
  store_tokens_ = 0;
}

auto model_planner::NoteDemand(const model_name& model,
                               const adapter_name& adapter,
                               double arrived,
                               bool is_missing,
                               mono_time now) -> void {
  demand_[model].arrived += arrived;
  if (adapter.get().empty()) {
    return;
  }
  auto& want = adapters_[{model, adapter}];
  want.asked = now;
  want.is_missing = want.is_missing || is_missing;
}

auto model_planner::Step(const engine_spec& engine, mono_time now) -> void {
  const auto elapsed = ToSeconds(now - stepped_);
  if (elapsed <= 0) {
    return;
  }
  stepped_ = now;
  const auto keep = std::exp(-elapsed / ToSeconds(options_.demand_window));
  for (auto& [name, rate] : demand_) {
    rate.per_second =
        keep * rate.per_second + (1 - keep) * rate.arrived / elapsed;
    rate.arrived = 0;
  }
  store_tokens_ = std::min(
      options_.store_burst,
      store_tokens_ + elapsed * engine.loads_per_second * options_.store_part);
}

auto model_planner::CountCopies(round& plan) const -> void {
  for (const auto& model : plan.engine.models) {
    plan.catalogue[model.name] = &model;
    plan.copies[model.name] = 0;
  }
  for (const auto& server : plan.servers) {
    for (const auto& model : server.status->models) {
      ++plan.copies[model.name];
    }
  }
}

// Hands out the room of all servers: a copy for each model, then to whichever
// model has the most demand for each copy.
auto model_planner::SetTargets(round& plan) const -> void {
  auto room = plan.engine.weights_mb * static_cast<double>(plan.servers.size());
  for (const auto& model : plan.engine.models) {
    plan.targets[model.name] = 1;
    room -= model.weights_mb;
  }
  const auto limit = static_cast<int>(plan.servers.size());
  while (room > 0) {
    const catalogue_model* best = nullptr;
    auto best_rate = options_.min_copy_rate;
    for (const auto& model : plan.engine.models) {
      const auto demand = demand_.find(model.name);
      const auto copies = plan.targets[model.name];
      const auto rate =
          demand == demand_.end() ? 0 : demand->second.per_second / copies;
      if (rate > best_rate && copies < limit) {
        best = &model;
        best_rate = rate;
      }
    }
    if (best == nullptr || best->weights_mb > room) {
      return;
    }
    ++plan.targets[best->name];
    room -= best->weights_mb;
  }
}

auto model_planner::PlanOneLoad(round& plan, const catalogue_model& model)
    -> bool {
  const planner_server* best = nullptr;
  auto best_score = 0.0;
  for (const auto& server : plan.servers) {
    const auto& status = *server.status;
    if (!plan.IsFree(server) || FindHeld(status, model.name) != nullptr ||
        !plan.HasRoom(status, model.weights_mb)) {
      continue;
    }
    const auto is_at_hand = Contains(status.in_memory, model.name) ||
                            Contains(status.on_disk, model.name);
    if (!is_at_hand && store_tokens_ < 1) {
      continue;
    }
    const auto time = Contains(status.in_memory, model.name)
                          ? model.load_from_memory
                      : is_at_hand ? model.load_from_disk
                                   : model.load_from_store;
    // A second of loading weighs like some requests under way.
    const auto score = server.load + 10 * ToSeconds(time);
    if (best == nullptr || score < best_score) {
      best = &server;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const auto from_store = !Contains(best->status->in_memory, model.name) &&
                          !Contains(best->status->on_disk, model.name);
  store_tokens_ -= from_store ? 1 : 0;
  plan.Give(*best, {{}, true, model.name, {}, from_store});
  ++plan.copies[model.name];
  return true;
}

// Unloads a copy that its model can spare, where `model` would fit then.
auto model_planner::PlanRoom(round& plan, const catalogue_model& model)
    -> bool {
  const planner_server* best = nullptr;
  const held_model* best_victim = nullptr;
  auto best_score = 0.0;
  for (const auto& server : plan.servers) {
    const auto& status = *server.status;
    if (!plan.IsFree(server) || FindHeld(status, model.name) != nullptr) {
      continue;
    }
    for (const auto& held : status.models) {
      const auto known = plan.catalogue.find(held.name);
      if (known == plan.catalogue.end() ||
          plan.copies[held.name] <= plan.targets[held.name] ||
          plan.copies[held.name] < 2) {
        continue;
      }
      const auto demand = demand_.find(held.name);
      const auto rate = demand == demand_.end() ? 0.0
                                                : demand->second.per_second /
                                                      plan.copies[held.name];
      const auto fits =
          plan.HasRoom(status, model.weights_mb - known->second->weights_mb);
      const auto score = rate + 0.1 * server.load + (fits ? 0 : 1000);
      if (best == nullptr || score < best_score) {
        best = &server;
        best_victim = &held;
        best_score = score;
      }
    }
  }
  if (best == nullptr) {
    return false;
  }
  --plan.copies[best_victim->name];
  plan.Give(*best, {{}, false, best_victim->name, {}, false});
  return true;
}

auto model_planner::PlanModels(round& plan) -> void {
  auto wanted = std::vector<const catalogue_model*>();
  for (const auto& model : plan.engine.models) {
    if (plan.copies[model.name] < plan.targets[model.name]) {
      wanted.push_back(&model);
    }
  }
  // Models without a copy first, then by demand for each copy.
  const auto urgency = [&](const catalogue_model* model) {
    const auto demand = demand_.find(model->name);
    const auto rate = demand == demand_.end() ? 0.0 : demand->second.per_second;
    const auto copies = plan.copies[model->name];
    return copies == 0 ? 1000.0 + rate : rate / copies;
  };
  std::sort(wanted.begin(), wanted.end(),
            [&](const auto* left, const auto* right) {
              return urgency(left) > urgency(right);
            });
  for (const auto* model : wanted) {
    while (plan.copies[model->name] < plan.targets[model->name] &&
           PlanOneLoad(plan, *model)) {
    }
    if (plan.copies[model->name] < plan.targets[model->name] &&
        store_tokens_ >= 1) {
      PlanRoom(plan, *model);
    }
  }
}

auto model_planner::FindIdleAdapter(const backend_status& status,
                                    mono_time now) const
    -> std::optional<adapter_place> {
  auto oldest = std::optional<adapter_place>();
  auto oldest_asked = now - options_.adapter_idle;
  for (const auto& model : status.models) {
    for (const auto& adapter : model.adapters) {
      const auto want = adapters_.find({model.name, adapter});
      const auto asked =
          want == adapters_.end() ? mono_time() : want->second.asked;
      if (asked < oldest_asked) {
        oldest = adapter_place(model.name, adapter);
        oldest_asked = asked;
      }
    }
  }
  return oldest;
}

auto model_planner::PlanOneAdapter(round& plan,
                                   const adapter_place& wanted,
                                   mono_time now) -> void {
  const planner_server* best = nullptr;
  const planner_server* best_full = nullptr;
  for (const auto& server : plan.servers) {
    const auto* held = FindHeld(*server.status, wanted.first);
    if (held == nullptr) {
      continue;
    }
    if (std::find(held->adapters.begin(), held->adapters.end(),
                  wanted.second) != held->adapters.end()) {
      return;  // somebody has it
    }
    if (!plan.IsFree(server)) {
      continue;
    }
    const auto has_slot =
        CountAdapters(*server.status) < plan.engine.adapter_slots;
    auto& choice = has_slot ? best : best_full;
    if (choice == nullptr || server.load < choice->load) {
      choice = &server;
    }
  }
  if (best != nullptr) {
    plan.Give(*best, {{}, true, wanted.first, wanted.second, false});
    return;
  }
  if (best_full == nullptr) {
    return;
  }
  if (const auto idle = FindIdleAdapter(*best_full->status, now)) {
    plan.Give(*best_full, {{}, false, idle->first, idle->second, false});
  }
}

auto model_planner::PlanAdapters(round& plan, mono_time now) -> void {
  for (auto& [place, want] : adapters_) {
    if (want.is_missing && now - want.asked < options_.adapter_idle) {
      PlanOneAdapter(plan, place, now);
    }
    want.is_missing =
        want.is_missing && now - want.asked < options_.adapter_idle;
  }
}

auto model_planner::Plan(const engine_spec& engine,
                         const std::vector<planner_server>& servers,
                         mono_time now) -> std::vector<model_order> {
  Step(engine, now);
  auto plan = round{engine, servers, {}, {}, {}, {}, {}};
  CountCopies(plan);
  SetTargets(plan);
  PlanAdapters(plan, now);
  PlanModels(plan);
  return plan.orders;
}

}  // namespace ebony
