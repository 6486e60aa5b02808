#include "control/planner_round.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

auto Contains(const std::vector<std::size_t>& list, std::size_t item) -> bool {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace

planner_round::planner_round(
    const engine_spec& engine,
    const std::vector<planner_server>& servers,
    const std::function<double(const model_name&)>& get_demand)
    : engine_(engine),
      servers_(servers),
      holders_(engine.models.size()),
      serving_(engine.models.size(), 0) {
  auto largest_adapter_mb = 0.0;
  indices_.reserve(engine.models.size());
  demand_.reserve(engine.models.size());
  for (const auto& model : engine.models) {
    indices_.emplace(model.name.get(), demand_.size());
    demand_.push_back(get_demand(model.name));
    largest_adapter_mb = std::max(largest_adapter_mb, model.adapter_mb);
  }
  adapter_reserve_mb_ = largest_adapter_mb * engine.adapter_slots;
  states_.reserve(servers.size());
  for (auto i = std::size_t{0}; i < servers.size(); ++i) {
    states_.push_back(MakeState(*servers[i].status));
    for (const auto model : states_.back().held) {
      holders_[model].push_back(i);
      ++serving_[model];
    }
  }
}

auto planner_round::FindModel(const model_name& name) const
    -> std::optional<std::size_t> {
  const auto found = indices_.find(name.get());
  if (found == indices_.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto planner_round::FindIndices(const std::vector<model_name>& names) const
    -> std::vector<std::size_t> {
  auto indices = std::vector<std::size_t>();
  indices.reserve(names.size());
  for (const auto& name : names) {
    if (const auto index = FindModel(name)) {
      indices.push_back(*index);
    }
  }
  return indices;
}

auto planner_round::MakeState(const backend_status& status) const
    -> server_state {
  auto state = server_state();
  state.in_memory = FindIndices(status.in_memory);
  state.on_disk = FindIndices(status.on_disk);
  for (const auto& model : status.models) {
    const auto count = model.adapters.size();
    state.adapters += static_cast<int>(count);
    const auto index = FindModel(model.name);
    if (!index) {
      // The size of an unlisted model is unknown, so it counts as the server's
      // whole memory and no further model is placed there.
      state.weights_mb += engine_.model_memory_mb;
      continue;
    }
    const auto& model_info = engine_.models[*index];
    state.held.push_back(*index);
    state.weights_mb += model_info.weights_mb +
                        model_info.adapter_mb * static_cast<double>(count);
  }
  return state;
}

auto planner_round::Holds(std::size_t server, std::size_t model) const -> bool {
  return Contains(states_[server].held, model);
}

auto planner_round::IsCached(std::size_t server, std::size_t model) const
    -> bool {
  const auto& state = states_[server];
  return Contains(state.in_memory, model) || Contains(state.on_disk, model);
}

auto planner_round::GetLoadTime(std::size_t server, std::size_t model) const
    -> duration {
  const auto& state = states_[server];
  const auto& model_info = engine_.models[model];
  if (Contains(state.in_memory, model)) {
    return model_info.load_from_memory;
  }
  return Contains(state.on_disk, model) ? model_info.load_from_disk
                                        : model_info.load_from_store;
}

auto planner_round::IsAvailable(std::size_t server) const -> bool {
  return !servers_[server].is_busy && !states_[server].is_reserved;
}

auto planner_round::HasCapacity(std::size_t server, double weights_mb) const
    -> bool {
  return states_[server].weights_mb + weights_mb + adapter_reserve_mb_ <=
         engine_.model_memory_mb;
}

auto planner_round::AddHolder(std::size_t model, std::size_t server) -> void {
  holders_[model].push_back(server);
}

auto planner_round::RemoveHolder(std::size_t model, std::size_t server)
    -> void {
  std::erase(holders_[model], server);
}

auto planner_round::AddOrder(std::size_t server, model_order order) -> void {
  order.backend = servers_[server].status->id;
  Reserve(server);
  orders_.push_back(std::move(order));
}

}  // namespace ebony
