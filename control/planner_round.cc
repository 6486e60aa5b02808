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
  places_.reserve(engine.models.size());
  demand_.reserve(engine.models.size());
  for (const auto& model : engine.models) {
    places_.emplace(model.name.get(), demand_.size());
    demand_.push_back(get_demand(model.name));
    largest_adapter_mb = std::max(largest_adapter_mb, model.adapter_mb);
  }
  adapter_room_mb_ = largest_adapter_mb * engine.adapter_slots;
  views_.reserve(servers.size());
  for (auto i = std::size_t{0}; i < servers.size(); ++i) {
    views_.push_back(MakeView(*servers[i].status));
    for (const auto model : views_.back().held) {
      holders_[model].push_back(i);
      ++serving_[model];
    }
  }
}

auto planner_round::Find(const model_name& name) const
    -> std::optional<std::size_t> {
  const auto found = places_.find(name.get());
  if (found == places_.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto planner_round::FindAll(const std::vector<model_name>& names) const
    -> std::vector<std::size_t> {
  auto places = std::vector<std::size_t>();
  places.reserve(names.size());
  for (const auto& name : names) {
    if (const auto place = Find(name)) {
      places.push_back(*place);
    }
  }
  return places;
}

auto planner_round::MakeView(const backend_status& status) const
    -> server_view {
  auto view = server_view();
  view.in_memory = FindAll(status.in_memory);
  view.on_disk = FindAll(status.on_disk);
  for (const auto& model : status.models) {
    const auto count = model.adapters.size();
    view.adapters += static_cast<int>(count);
    const auto place = Find(model.name);
    if (!place) {
      // A model of unknown size takes all: the server is left alone.
      view.weights_mb += engine_.weights_mb;
      continue;
    }
    const auto& listed = engine_.models[*place];
    view.held.push_back(*place);
    view.weights_mb +=
        listed.weights_mb + listed.adapter_mb * static_cast<double>(count);
  }
  return view;
}

auto planner_round::Holds(std::size_t server, std::size_t model) const -> bool {
  return Contains(views_[server].held, model);
}

auto planner_round::IsAtHand(std::size_t server, std::size_t model) const
    -> bool {
  const auto& view = views_[server];
  return Contains(view.in_memory, model) || Contains(view.on_disk, model);
}

auto planner_round::GetLoadTime(std::size_t server, std::size_t model) const
    -> duration {
  const auto& view = views_[server];
  const auto& listed = engine_.models[model];
  if (Contains(view.in_memory, model)) {
    return listed.load_from_memory;
  }
  return Contains(view.on_disk, model) ? listed.load_from_disk
                                       : listed.load_from_store;
}

auto planner_round::IsFree(std::size_t server) const -> bool {
  return !servers_[server].is_busy && !views_[server].is_taken;
}

auto planner_round::HasRoom(std::size_t server, double weights_mb) const
    -> bool {
  return views_[server].weights_mb + weights_mb + adapter_room_mb_ <=
         engine_.weights_mb;
}

auto planner_round::AddHolder(std::size_t model, std::size_t server) -> void {
  holders_[model].push_back(server);
}

auto planner_round::DropHolder(std::size_t model, std::size_t server) -> void {
  std::erase(holders_[model], server);
}

auto planner_round::UpdateLoads() -> void {
  for (auto& view : views_) {
    view.load = 0;
  }
  for (auto model = std::size_t{0}; model < holders_.size(); ++model) {
    const auto& holders = holders_[model];
    for (const auto holder : holders) {
      views_[holder].load +=
          demand_[model] / static_cast<double>(holders.size());
    }
  }
}

auto planner_round::Give(std::size_t server, model_order order) -> void {
  order.backend = servers_[server].status->id;
  Take(server);
  orders_.push_back(std::move(order));
}

}  // namespace ebony
