#include "control/model_planner.h"

#include <algorithm>
#include <cmath>

namespace ebony {

namespace {

// Seconds of loading weigh against a gain in load like this.
constexpr double kGainPerLoadSecond = 0.01;
// A copy that is not there after twice its load time and this is given up.
constexpr duration kIntentSlack = std::chrono::seconds(3);

auto FindHeld(const backend_status& status, const model_name& name)
    -> const held_model* {
  const auto found = std::find_if(
      status.models.begin(), status.models.end(),
      [&name](const held_model& model) { return model.name == name; });
  return found == status.models.end() ? nullptr : &*found;
}

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

// Returns the change of the sum of the squared loads when the holders of a
// model, but for `except`, each get `change` more load.
auto GetShift(const planner_round& plan,
              std::size_t model,
              std::size_t except,
              double change) -> double {
  auto sum = 0.0;
  for (const auto holder : plan.get_holders(model)) {
    if (holder != except) {
      sum += change * (2 * plan.get_view(holder).load + change);
    }
  }
  return sum;
}

}  // namespace

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

auto model_planner::AddDemand(const demand_report& note, mono_time now)
    -> void {
  demand_[note.model].arrived +=
      note.requests * options_.request_seconds +
      note.prompt_tokens / options_.prefill_tokens_per_second;
  if (note.adapter.get().empty()) {
    return;
  }
  auto& want = adapters_[{note.model, note.adapter}];
  want.asked = now;
  want.is_unserved = want.is_unserved || note.is_unserved;
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

auto model_planner::FollowIntents(planner_round& plan, mono_time now) -> void {
  for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
    const auto& id = plan.get_server(i).status->id;
    const auto found = intents_.find(id);
    if (found == intents_.end()) {
      continue;
    }
    const auto model = plan.Find(found->second.model);
    if (!model || now > found->second.until || plan.Holds(i, *model)) {
      intents_.erase(found);
      continue;
    }
    const auto can_load = plan.IsFree(i) &&
                          plan.HasRoom(i, plan.get_model(*model).weights_mb) &&
                          (plan.IsAtHand(i, *model) || store_tokens_ >= 1);
    if (can_load) {
      Carry(plan, {i, *model, std::nullopt, 0}, now);
    } else {
      plan.AddHolder(*model, i);
    }
    plan.Take(i);
  }
}

// Carries out a move as far as one order goes: the victim first.
auto model_planner::Carry(planner_round& plan,
                          const candidate_move& move,
                          mono_time now) -> void {
  const auto& name = plan.get_model(move.model).name;
  const auto until =
      now + 2 * plan.GetLoadTime(move.server, move.model) + kIntentSlack;
  intents_[plan.get_server(move.server).status->id] = {name, until};
  plan.AddHolder(move.model, move.server);
  if (move.victim) {
    plan.DropHolder(*move.victim, move.server);
    plan.DropServing(*move.victim);
    plan.Give(move.server,
              {{}, false, plan.get_model(*move.victim).name, {}, false});
    return;
  }
  const auto from_store = !plan.IsAtHand(move.server, move.model);
  store_tokens_ -= from_store ? 1 : 0;
  plan.Give(move.server, {{}, true, name, {}, from_store});
}

// A model that no server holds goes to the server where that is quickest; a
// spare copy of another makes way for it.
auto model_planner::PlanMissing(planner_round& plan, mono_time now) -> void {
  auto missing = std::vector<std::size_t>();
  for (auto i = std::size_t{0}; i < plan.get_engine().models.size(); ++i) {
    if (plan.get_holders(i).empty()) {
      missing.push_back(i);
    }
  }
  std::stable_sort(missing.begin(), missing.end(),
                   [&plan](std::size_t left, std::size_t right) {
                     return plan.get_demand(left) > plan.get_demand(right);
                   });
  for (const auto model : missing) {
    if (const auto move = FindPlace(plan, model)) {
      Carry(plan, *move, now);
    }
  }
}

auto model_planner::FindPlace(const planner_round& plan,
                              std::size_t model) const
    -> std::optional<candidate_move> {
  auto best = std::optional<candidate_move>();
  for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
    if (!plan.IsFree(i) || (!plan.IsAtHand(i, model) && store_tokens_ < 1)) {
      continue;
    }
    auto move = candidate_move{i, model, std::nullopt, 0};
    move.gain = -plan.get_view(i).load - ToSeconds(plan.GetLoadTime(i, model));
    if (!plan.HasRoom(i, plan.get_model(model).weights_mb)) {
      move.victim = FindSpare(plan, i);
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

auto model_planner::FindSpare(const planner_round& plan,
                              std::size_t server) const
    -> std::optional<std::size_t> {
  auto spare = std::optional<std::size_t>();
  for (const auto held : plan.get_view(server).held) {
    if (plan.get_serving(held) > 1 &&
        (!spare || plan.get_demand(held) < plan.get_demand(*spare))) {
      spare = held;
    }
  }
  return spare;
}

auto model_planner::ListHottest(const planner_round& plan) const
    -> std::vector<std::size_t> {
  auto models = std::vector<std::size_t>();
  for (auto i = std::size_t{0}; i < plan.get_engine().models.size(); ++i) {
    if (!plan.get_holders(i).empty() && plan.get_demand(i) > 0) {
      models.push_back(i);
    }
  }
  const auto per_copy = [&plan](std::size_t model) {
    return plan.get_demand(model) /
           static_cast<double>(plan.get_holders(model).size());
  };
  std::sort(models.begin(), models.end(),
            [&per_copy](std::size_t left, std::size_t right) {
              return per_copy(left) > per_copy(right);
            });
  models.resize(std::min(models.size(), options_.hottest_models));
  return models;
}

auto model_planner::GetGain(const planner_round& plan,
                            const candidate_move& move) const -> double {
  const auto load = plan.get_demand(move.model);
  const auto copies = static_cast<double>(plan.get_holders(move.model).size());
  const auto seconds = ToSeconds(plan.GetLoadTime(move.server, move.model));
  auto change = load / (copies + 1);
  auto gain = -GetShift(plan, move.model, move.server, change - load / copies);
  gain -= options_.min_gain + kGainPerLoadSecond * seconds;
  if (move.victim) {
    const auto victim_load = plan.get_demand(*move.victim);
    const auto count =
        static_cast<double>(plan.get_holders(*move.victim).size());
    gain -= GetShift(plan, *move.victim, move.server,
                     victim_load / (count - 1) - victim_load / count);
    change -= victim_load / count;
  }
  return gain - change * (2 * plan.get_view(move.server).load + change);
}

auto model_planner::FindBestMove(const planner_round& plan) const
    -> std::optional<candidate_move> {
  auto best = std::optional<candidate_move>();
  const auto consider = [&](candidate_move move) {
    move.gain = GetGain(plan, move);
    if (move.gain > 0 && (!best || move.gain > best->gain)) {
      best = move;
    }
  };
  for (const auto model : ListHottest(plan)) {
    const auto weights = plan.get_model(model).weights_mb;
    for (auto i = std::size_t{0}; i < plan.get_server_count(); ++i) {
      if (!plan.IsFree(i) || plan.Holds(i, model) ||
          (store_tokens_ < 1 && !plan.IsAtHand(i, model))) {
        continue;
      }
      if (plan.HasRoom(i, weights)) {
        consider({i, model, std::nullopt, 0});
        continue;
      }
      for (const auto held : plan.get_view(i).held) {
        if (plan.get_serving(held) > 1 &&
            plan.HasRoom(i, weights - plan.get_model(held).weights_mb)) {
          consider({i, model, held, 0});
        }
      }
    }
  }
  return best;
}

auto model_planner::PlanMoves(planner_round& plan, mono_time now) -> void {
  for (auto count = std::size_t{0}; count < options_.moves_per_round; ++count) {
    plan.UpdateLoads();
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

auto model_planner::PlanOneAdapter(planner_round& plan,
                                   const adapter_place& wanted,
                                   mono_time now) -> void {
  const auto model = plan.Find(wanted.first);
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
      continue;  // on its way
    }
    if (std::find(held->adapters.begin(), held->adapters.end(),
                  wanted.second) != held->adapters.end()) {
      return;  // somebody has it
    }
    if (!plan.IsFree(i)) {
      continue;
    }
    const auto count = plan.get_view(i).adapters;
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
    plan.Give(*best, {{}, true, wanted.first, wanted.second, false});
    return;
  }
  if (!best_full) {
    return;
  }
  if (const auto idle =
          FindIdleAdapter(*plan.get_server(*best_full).status, now)) {
    plan.Give(*best_full, {{}, false, idle->first, idle->second, false});
  }
}

auto model_planner::PlanAdapters(planner_round& plan, mono_time now) -> void {
  for (auto& [place, want] : adapters_) {
    want.is_unserved =
        want.is_unserved && now - want.asked < options_.adapter_idle;
    if (want.is_unserved) {
      PlanOneAdapter(plan, place, now);
    }
  }
}

auto model_planner::Plan(const engine_spec& engine,
                         const std::vector<planner_server>& servers,
                         mono_time now) -> std::vector<model_order> {
  Step(engine, now);
  auto plan = planner_round(engine, servers, [this](const model_name& name) {
    return GetLoad(name);
  });
  FollowIntents(plan, now);
  PlanAdapters(plan, now);
  if (now - models_planned_ >= options_.model_interval) {
    models_planned_ = now;
    PlanMissing(plan, now);
    PlanMoves(plan, now);
  }
  return plan.get_orders();
}

}  // namespace ebony
