#ifndef EBONY_CONTROL_PLANNER_ROUND_H_
#define EBONY_CONTROL_PLANNER_ROUND_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/site_config.h"

namespace ebony {

// An order to load or unload one model or adapter on a backend server.
struct model_order {
  backend_name backend;
  bool is_load = true;
  model_name model;
  adapter_name adapter;     // empty: the model itself
  bool from_store = false;  // the weights are read from the weight store
};

// A server that the planner may use.
struct planner_server {
  const backend_status* status = nullptr;
  double load = 0;       // requests in flight
  bool is_busy = false;  // has an order in flight, or its state is unknown
};

// Working state of one call of the planner: the models that each server holds.
// Servers are identified by their index in the list passed to the constructor,
// and models by their index in the catalogue, since comparing names is slow.
class planner_round {
 public:
  struct server_state {
    // Models by their index in the catalogue: loaded, and those whose weights
    // are cached in memory and on disk.
    std::vector<std::size_t> held;
    std::vector<std::size_t> in_memory;
    std::vector<std::size_t> on_disk;
    double weights_mb = 0;  // of models and adapters
    int adapters = 0;
    bool is_reserved = false;  // takes no further orders in this round
  };

 private:
  const engine_spec& engine_;
  const std::vector<planner_server>& servers_;
  std::unordered_map<std::string_view, std::size_t> indices_;
  std::vector<server_state> states_;
  std::vector<std::vector<std::size_t>> holders_;  // servers, by model
  std::vector<std::size_t> serving_;               // serving replicas, by model
  std::vector<double> demand_;  // seconds of work per second, by model
  // Memory that is kept free on each server for adapters loaded later.
  double adapter_reserve_mb_ = 0;
  std::vector<model_order> orders_;

  auto FindIndices(const std::vector<model_name>& names) const
      -> std::vector<std::size_t>;
  auto MakeState(const backend_status& status) const -> server_state;

 public:
  // `get_demand` returns the load of a model, in seconds of work per second.
  planner_round(const engine_spec& engine,
                const std::vector<planner_server>& servers,
                const std::function<double(const model_name&)>& get_demand);

  // Returns the index of a model in the catalogue, or std::nullopt when it is
  // not listed.
  auto FindModel(const model_name& name) const -> std::optional<std::size_t>;
  auto Holds(std::size_t server, std::size_t model) const -> bool;
  // True when the weights are cached in the server's memory or on its disk.
  auto IsCached(std::size_t server, std::size_t model) const -> bool;
  auto GetLoadTime(std::size_t server, std::size_t model) const -> duration;
  // True when the server is neither busy nor reserved.
  auto IsAvailable(std::size_t server) const -> bool;
  // True when `weights_mb` more weights fit besides those that the server holds
  // and the reserve for adapters. `weights_mb` is negative when replacing a
  // model frees memory.
  auto HasCapacity(std::size_t server, double weights_mb) const -> bool;

  // Counts a replica that is being loaded.
  auto AddHolder(std::size_t model, std::size_t server) -> void;
  // Discounts a replica that is being unloaded.
  auto RemoveHolder(std::size_t model, std::size_t server) -> void;
  // Discounts a serving replica that is being unloaded.
  auto RemoveServing(std::size_t model) -> void { --serving_[model]; }
  // Excludes a server from further orders in this round.
  auto Reserve(std::size_t server) -> void {
    states_[server].is_reserved = true;
  }
  // Appends an order for a server and reserves the server.
  auto AddOrder(std::size_t server, model_order order) -> void;

  auto get_engine() const -> const engine_spec& { return engine_; }
  auto get_model(std::size_t model) const -> const catalogue_model& {
    return engine_.models[model];
  }
  auto get_server(std::size_t server) const -> const planner_server& {
    return servers_[server];
  }
  auto get_server_count() const -> std::size_t { return servers_.size(); }
  auto get_state(std::size_t server) const -> const server_state& {
    return states_[server];
  }
  // Servers that hold a model or are loading it.
  auto get_holders(std::size_t model) const -> const std::vector<std::size_t>& {
    return holders_[model];
  }
  auto get_all_holders() const -> const std::vector<std::vector<std::size_t>>& {
    return holders_;
  }
  auto get_demands() const -> const std::vector<double>& { return demand_; }
  // Number of replicas that serve now, without those being loaded.
  auto get_serving(std::size_t model) const -> std::size_t {
    return serving_[model];
  }
  auto get_demand(std::size_t model) const -> double { return demand_[model]; }
  auto get_orders() const -> const std::vector<model_order>& { return orders_; }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PLANNER_ROUND_H_
