#include "control/model_planner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace ebony {

namespace {

// Seconds of loading weigh against a gain in load like this.
constexpr double kGainPerLoadSecond = 0.01;
// A copy that is not there after twice its load time and this is given up.
constexpr duration kIntentSlack = std::chrono::seconds(3);

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

auto IsAtHand(const backend_status& status, const model_name& name) -> bool {
  return Contains(status.in_memory, name) || Contains(status.on_disk, name);
}

auto GetLoadTime(const backend_status& status, const catalogue_model& model)
    -> duration {
  if (Contains(status.in_memory, model.name)) {
    return model.load_from_memory;
  }
  return Contains(status.on_disk, model.name) ? model.load_from_disk
                                              : model.load_from_store;
}

}  // namespace

// A copy of `model` for a server, in place of `victim` where there is no room.
struct model_planner::candidate_move {
  std::size_t server = 0;
  const catalogue_model* model = nullptr;
  const catalogue_model* victim = nullptr;
  double gain = 0;
};

// What one call of `Plan` works on: what each server holds, and what follows
// for its load.
struct model_planner::round {
  const engine_spec& engine;
  const std::vector<planner_server>& servers;
  std::map<model_name, const catalogue_model*> catalogue;
  std::map<model_name, std::vector<std::size_t>> holders;
  std::map<model_name, std::size_t> serving;
  std::vector<double> loads;    // seconds of work per second, by server
  std::set<std::size_t> taken;  // got an order in this round
  std::vector<model_order> orders;

  round(const engine_spec& spec, const std::vector<planner_server>& all)
      : engine(spec), servers(all), loads(all.size(), 0) {
    for (const auto& model : engine.models) {
      catalogue[model.name] = &model;
      holders[model.name];
    }
    for (auto i = std::size_t{0}; i < servers.size(); ++i) {
      for (const auto& model : servers[i].status->models) {
        holders[model.name].push_back(i);
        ++serving[model.name];
      }
    }
  }

  // Copies that serve now, without those on their way.
  auto CountServing(const model_name& name) const -> std::size_t {
    const auto found = serving.find(name);
    return found == serving.end() ? 0 : found->second;
  }
  auto CountCopies(const model_name& name) const -> std::size_t {
    const auto found = holders.find(name);
    return found == holders.end() ? 0 : found->second.size();
  }
  auto IsFree(std::size_t server) const -> bool {
    return !servers[server].is_busy && !taken.contains(server);
  }
  auto GetWeights(const backend_status& status) const -> double {
    auto sum = 0.0;
    for (const auto& model : status.models) {
      const auto known = catalogue.find(model.name);
      // A model of unknown size takes all: the server is left alone.
      sum += known == catalogue.end()
                 ? engine.weights_mb
                 : known->second->weights_mb +
                       known->second->adapter_mb *
                           static_cast<double>(model.adapters.size());
    }
    return sum;
  }
  // Room that is kept for adapters that come later.
  auto GetAdapterRoom() const -> double {
    auto largest = 0.0;
    for (const auto& [name, model] : catalogue) {
      largest = std::max(largest, model->adapter_mb);
    }
    return largest * engine.adapter_slots;
  }
  auto HasRoom(std::size_t server, double weights) const -> bool {
    return GetWeights(*servers[server].status) + weights + GetAdapterRoom() <=
           engine.weights_mb;
  }
  auto Give(std::size_t server, model_order order) -> void {
    order.backend = servers[server].status->id;
    taken.insert(server);
    orders.push_back(std::move(order));
  }
};

model_planner::model_planner(model_planner_options options)
    : options_(options) {}

auto model_planner::Reset(mono_time now) -> void {
  demand_.clear();
  adapters_.clear();
  intents_.clear();
  stepped_ = now;
  models_planned_ = now;
  store_tokens_ = 0;
}

auto model_planner::NoteDemand(const model_demand_note& note, mono_time now)
    -> void {
  demand_[note.model].arrived +=
      note.requests * options_.request_seconds +
      note.prompt_tokens / options_.prefill_tokens_per_second;
  if (note.adapter.get().empty()) {
    return;
  }
  auto& want = adapters_[{note.model, note.adapter}];
  want.asked = now;
  want.is_missing = want.is_missing || note.is_missing;
}

auto model_planner::Step(const engine_spec& engine, mono_time now) -> void {
  const auto elapsed = ToSeconds(now - stepped_);
  if (elapsed <= 0) {
    return;
  }
  stepped_ = now;
  const auto keep = std::exp(-elapsed / ToSeconds(options_.demand_window));
  const auto keep_former =
      std::exp2(-elapsed / ToSeconds(options_.former_half_life));
  for (auto& [name, rate] : demand_) {
    const auto now_arriving = rate.arrived / elapsed;
    rate.load = keep * rate.load + (1 - keep) * now_arriving;
    rate.former = std::max(keep_former * rate.former, rate.load);
    rate.arrived = 0;
  }
  store_tokens_ = std::min(
      options_.store_burst,
      store_tokens_ + elapsed * engine.loads_per_second * options_.store_part);
}

auto model_planner::GetLoad(const model_name& model) const -> double {
  const auto found = demand_.find(model);
  if (found == demand_.end()) {
    return 0;
  }
  const auto& rate = found->second;
  return std::max(rate.load, options_.former_part * rate.former);
}

auto model_planner::FollowIntents(round& plan, mono_time now) -> void {
  for (auto i = std::size_t{0}; i < plan.servers.size(); ++i) {
    const auto& status = *plan.servers[i].status;
    const auto found = intents_.find(status.id);
    if (found == intents_.end()) {
      continue;
    }
    const auto& name = found->second.model;
    const auto known = plan.catalogue.find(name);
    if (known == plan.catalogue.end() || now > found->second.until ||
        FindHeld(status, name) != nullptr) {
      intents_.erase(found);
      continue;
    }
    plan.holders[name].push_back(i);
    const auto can_load = plan.IsFree(i) &&
                          plan.HasRoom(i, known->second->weights_mb) &&
                          (IsAtHand(status, name) || store_tokens_ >= 1);
    if (can_load) {
      std::erase(plan.holders[name], i);
      Carry(plan, {i, known->second, nullptr, 0}, now);
    }
    plan.taken.insert(i);
  }
}

// Carries out a move as far as one order goes: the victim first.
auto model_planner::Carry(round& plan,
                          const candidate_move& move,
                          mono_time now) -> void {
  const auto& status = *plan.servers[move.server].status;
  const auto until = now + 2 * GetLoadTime(status, *move.model) + kIntentSlack;
  intents_[status.id] = {move.model->name, until};
  plan.holders[move.model->name].push_back(move.server);
  if (move.victim != nullptr) {
    std::erase(plan.holders[move.victim->name], move.server);
    --plan.serving[move.victim->name];
    plan.Give(move.server, {{}, false, move.victim->name, {}, false});
    return;
  }
  const auto from_store = !IsAtHand(status, move.model->name);
  store_tokens_ -= from_store ? 1 : 0;
  plan.Give(move.server, {{}, true, move.model->name, {}, from_store});
}

// A model that no server holds goes to the server where that is quickest; a
// spare copy of another makes way for it.
auto model_planner::PlanMissing(round& plan, mono_time now) -> void {
  auto missing = std::vector<const catalogue_model*>();
  for (const auto& model : plan.engine.models) {
    if (plan.CountCopies(model.name) == 0) {
      missing.push_back(&model);
    }
  }
  std::stable_sort(missing.begin(), missing.end(),
                   [this](const auto* left, const auto* right) {
                     return GetLoad(left->name) > GetLoad(right->name);
                   });
  for (const auto* model : missing) {
    auto best = std::optional<candidate_move>();
    for (auto i = std::size_t{0}; i < plan.servers.size(); ++i) {
      const auto& status = *plan.servers[i].status;
      if (!plan.IsFree(i) ||
          (!IsAtHand(status, model->name) && store_tokens_ < 1)) {
        continue;
      }
      auto move = candidate_move{i, model, nullptr, 0};
      move.gain = -plan.loads[i] - ToSeconds(GetLoadTime(status, *model));
      if (!plan.HasRoom(i, model->weights_mb)) {
        for (const auto& held : status.models) {
          const auto known = plan.catalogue.find(held.name);
          const auto is_spare =
              known != plan.catalogue.end() && plan.CountServing(held.name) > 1;
          if (is_spare && (move.victim == nullptr ||
                           GetLoad(held.name) < GetLoad(move.victim->name))) {
            move.victim = known->second;
          }
        }
        if (move.victim == nullptr) {
          continue;
        }
        move.gain -= 1 + GetLoad(move.victim->name);
      }
      if (!best || move.gain > best->gain) {
        best = move;
      }
    }
    if (best) {
      Carry(plan, *best, now);
    }
  }
}

auto model_planner::ListHottest(const round& plan) const
    -> std::vector<const catalogue_model*> {
  auto models = std::vector<const catalogue_model*>();
  for (const auto& model : plan.engine.models) {
    if (plan.CountCopies(model.name) > 0 && GetLoad(model.name) > 0) {
      models.push_back(&model);
    }
  }
  const auto per_copy = [&](const catalogue_model* model) {
    return GetLoad(model->name) /
           static_cast<double>(plan.CountCopies(model->name));
  };
  std::sort(models.begin(), models.end(),
            [&](const auto* left, const auto* right) {
              return per_copy(left) > per_copy(right);
            });
  models.resize(std::min(models.size(), options_.hottest_models));
  return models;
}

auto model_planner::FindBestMove(const round& plan) const
    -> std::optional<candidate_move> {
  auto best = std::optional<candidate_move>();
  // Returns the change of the sum of squares when the holders of a model, but
  // for `except`, each get `change` more load.
  const auto shift = [&plan](const std::vector<std::size_t>& holders,
                             std::size_t except, double change) {
    auto sum = 0.0;
    for (const auto holder : holders) {
      if (holder != except) {
        sum += change * (2 * plan.loads[holder] + change);
      }
    }
    return sum;
  };
  for (const auto* model : ListHottest(plan)) {
    const auto load = GetLoad(model->name);
    const auto& holders = plan.holders.at(model->name);
    const auto copies = static_cast<double>(holders.size());
    for (auto i = std::size_t{0}; i < plan.servers.size(); ++i) {
      const auto& status = *plan.servers[i].status;
      if (!plan.IsFree(i) || FindHeld(status, model->name) != nullptr ||
          (!IsAtHand(status, model->name) && store_tokens_ < 1)) {
        continue;
      }
      const auto price =
          options_.min_gain +
          kGainPerLoadSecond * ToSeconds(GetLoadTime(status, *model));
      const auto relief =
          -shift(holders, i, load / (copies + 1) - load / copies);
      const auto own = load / (copies + 1);
      const auto consider = [&](const catalogue_model* victim) {
        auto gain = relief - price;
        auto change = own;
        if (victim != nullptr) {
          const auto& others = plan.holders.at(victim->name);
          const auto count = static_cast<double>(others.size());
          const auto victim_load = GetLoad(victim->name);
          gain -=
              shift(others, i, victim_load / (count - 1) - victim_load / count);
          change -= victim_load / count;
        }
        gain -= change * (2 * plan.loads[i] + change);
        if (gain > 0 && (!best || gain > best->gain)) {
          best = candidate_move{i, model, victim, gain};
        }
      };
      if (plan.HasRoom(i, model->weights_mb)) {
        consider(nullptr);
        continue;
      }
      for (const auto& held : status.models) {
        const auto known = plan.catalogue.find(held.name);
        if (known != plan.catalogue.end() && plan.CountServing(held.name) > 1 &&
            plan.HasRoom(i, model->weights_mb - known->second->weights_mb)) {
          consider(known->second);
        }
      }
    }
  }
  return best;
}

auto model_planner::PlanMoves(round& plan, mono_time now) -> void {
  for (auto count = std::size_t{0}; count < options_.moves_per_round; ++count) {
    plan.loads.assign(plan.servers.size(), 0);
    for (const auto& [name, holders] : plan.holders) {
      for (const auto holder : holders) {
        plan.loads[holder] +=
            GetLoad(name) / static_cast<double>(holders.size());
      }
    }
    const auto move = FindBestMove(plan);
    if (!move) {
      return;
    }
    Carry(plan, *move, now);
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
  auto best = std::optional<std::size_t>();
  auto best_score = 0.0;
  auto best_full = std::optional<std::size_t>();
  for (auto i = std::size_t{0}; i < plan.servers.size(); ++i) {
    const auto& status = *plan.servers[i].status;
    const auto* held = FindHeld(status, wanted.first);
    if (held == nullptr) {
      continue;
    }
    if (std::find(held->adapters.begin(), held->adapters.end(),
                  wanted.second) != held->adapters.end()) {
      return;  // somebody has it
    }
    if (!plan.IsFree(i)) {
      continue;
    }
    const auto count = CountAdapters(status);
    const auto score = plan.servers[i].load + count;
    if (count < plan.engine.adapter_slots) {
      if (!best || score < best_score) {
        best = i;
        best_score = score;
      }
    } else if (!best_full ||
               plan.servers[i].load < plan.servers[*best_full].load) {
      best_full = i;
    }
  }
  if (best) {
    plan.Give(*best, {{}, true, wanted.first, wanted.second, false});
    return;
  }
  if (!best_full) {
    return;
  }
  if (const auto idle =
          FindIdleAdapter(*plan.servers[*best_full].status, now)) {
    plan.Give(*best_full, {{}, false, idle->first, idle->second, false});
  }
}

auto model_planner::PlanAdapters(round& plan, mono_time now) -> void {
  for (auto& [place, want] : adapters_) {
    want.is_missing =
        want.is_missing && now - want.asked < options_.adapter_idle;
    if (want.is_missing) {
      PlanOneAdapter(plan, place, now);
    }
  }
}

auto model_planner::Plan(const engine_spec& engine,
                         const std::vector<planner_server>& servers,
                         mono_time now) -> std::vector<model_order> {
  Step(engine, now);
  auto plan = round(engine, servers);
  FollowIntents(plan, now);
  PlanAdapters(plan, now);
  if (now - models_planned_ >= options_.model_interval) {
    models_planned_ = now;
    PlanMissing(plan, now);
    PlanMoves(plan, now);
  }
  return plan.orders;
}

}  // namespace ebony
