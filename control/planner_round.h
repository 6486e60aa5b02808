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

// A change of what one backend server holds.
struct model_order {
  backend_name backend;
  bool is_load = true;
  model_name model;
  adapter_name adapter;  // empty: the model itself
  bool from_store = false;
};

// One server as the planner may use it.
struct planner_server {
  const backend_status* status = nullptr;
  double load = 0;       // requests under way
  bool is_busy = false;  // has an order under way, or its state is not known
};

// What one call of the planner works on: what each server holds, and what
// follows for its load. Servers are known by their place in the list given, and
// models by their place in the catalogue, since names are slow to compare.
class planner_round {
 public:
  struct server_view {
    std::vector<std::size_t> held;  // models of the catalogue
    std::vector<std::size_t> in_memory;
    std::vector<std::size_t> on_disk;
    double weights_mb = 0;  // of models and adapters
    int adapters = 0;
    double load = 0;        // seconds of work per second
    bool is_taken = false;  // got an order in this round
  };

 private:
  const engine_spec& engine_;
  const std::vector<planner_server>& servers_;
  std::unordered_map<std::string_view, std::size_t> places_;
  std::vector<server_view> views_;
  std::vector<std::vector<std::size_t>> holders_;  // servers, by model
  std::vector<std::size_t> serving_;               // copies, by model
  std::vector<double> demand_;  // seconds of work per second, by model
  double adapter_room_mb_ = 0;
  std::vector<model_order> orders_;

  auto FindAll(const std::vector<model_name>& names) const
      -> std::vector<std::size_t>;
  auto MakeView(const backend_status& status) const -> server_view;

 public:
  // `get_demand` returns the load of a model, in seconds of work per second.
  planner_round(const engine_spec& engine,
                const std::vector<planner_server>& servers,
                const std::function<double(const model_name&)>& get_demand);

  // Place of a model in the catalogue; nothing when it is not listed.
  auto Find(const model_name& name) const -> std::optional<std::size_t>;
  auto Holds(std::size_t server, std::size_t model) const -> bool;
  // Copies of the weights are in the server's memory or on its disk.
  auto IsAtHand(std::size_t server, std::size_t model) const -> bool;
  auto GetLoadTime(std::size_t server, std::size_t model) const -> duration;
  auto IsFree(std::size_t server) const -> bool;
  // Whether more weights fit beside what the server holds and the adapters that
  // may come later; `weights_mb` is negative when some make way.
  auto HasRoom(std::size_t server, double weights_mb) const -> bool;

  // Counts a copy that is on its way, or one that makes way.
  auto AddHolder(std::size_t model, std::size_t server) -> void;
  auto DropHolder(std::size_t model, std::size_t server) -> void;
  // A serving copy is about to be unloaded.
  auto DropServing(std::size_t model) -> void { --serving_[model]; }
  // Spreads the demand of each model over its holders.
  auto UpdateLoads() -> void;
  // Leaves a server alone for the rest of the round.
  auto Take(std::size_t server) -> void { views_[server].is_taken = true; }
  auto Give(std::size_t server, model_order order) -> void;

  auto get_engine() const -> const engine_spec& { return engine_; }
  auto get_model(std::size_t model) const -> const catalogue_model& {
    return engine_.models[model];
  }
  auto get_server(std::size_t server) const -> const planner_server& {
    return servers_[server];
  }
  auto get_server_count() const -> std::size_t { return servers_.size(); }
  auto get_view(std::size_t server) const -> const server_view& {
    return views_[server];
  }
  // Servers that hold a model or are about to.
  auto get_holders(std::size_t model) const -> const std::vector<std::size_t>& {
    return holders_[model];
  }
  // Copies that serve now, without those on their way.
  auto get_serving(std::size_t model) const -> std::size_t {
    return serving_[model];
  }
  auto get_demand(std::size_t model) const -> double { return demand_[model]; }
  auto get_orders() const -> const std::vector<model_order>& { return orders_; }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PLANNER_ROUND_H_
