#ifndef EBONY_CONTROL_MODEL_PLANNER_H_
#define EBONY_CONTROL_MODEL_PLANNER_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "core/backend_registry.h"
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

struct model_planner_options {
  // Demand is smoothed over this time.
  duration demand_window = std::chrono::milliseconds(2500);
  // Requests per second for each copy below which no copy is added.
  double min_copy_rate = 1.5;
  // An adapter that nobody asked for in this time may make way.
  duration adapter_idle = std::chrono::seconds(3);
  // Part of the weight store's rate that is used, and loads at once on top.
  double store_part = 0.85;
  double store_burst = 3;
};

// One server as the planner may use it.
struct planner_server {
  const backend_status* status = nullptr;
  double load = 0;       // requests under way
  bool is_busy = false;  // has an order under way, or its state is not known
};

// Decides which server loads or unloads which model or adapter. Every model of
// the catalogue keeps a copy; the room that is left follows the demand, so that
// the busiest copy has the least work. Answers a load whose models change every
// few seconds while loads take seconds: copies at hand go before the store.
class model_planner {
  using adapter_place = std::pair<model_name, adapter_name>;
  struct demand_rate {
    double per_second = 0;
    double arrived = 0;  // since the last step
  };
  struct adapter_want {
    mono_time asked;
    bool is_missing = false;  // a request waits for it
  };
  struct round;

  model_planner_options options_;
  std::map<model_name, demand_rate> demand_;
  std::map<adapter_place, adapter_want> adapters_;
  mono_time stepped_;
  double store_tokens_ = 0;

  auto Step(const engine_spec& engine, mono_time now) -> void;
  auto CountCopies(round& plan) const -> void;
  auto SetTargets(round& plan) const -> void;
  auto PlanModels(round& plan) -> void;
  auto PlanOneLoad(round& plan, const catalogue_model& model) -> bool;
  auto PlanRoom(round& plan, const catalogue_model& model) -> bool;
  auto PlanAdapters(round& plan, mono_time now) -> void;
  auto PlanOneAdapter(round& plan, const adapter_place& wanted, mono_time now)
      -> void;
  auto FindIdleAdapter(const backend_status& status, mono_time now) const
      -> std::optional<adapter_place>;

 public:
  explicit model_planner(model_planner_options options);

  auto NoteDemand(const model_name& model,
                  const adapter_name& adapter,
                  double arrived,
                  bool is_missing,
                  mono_time now) -> void;
  // Starts anew with nothing known and no store loads in hand.
  auto Reset(mono_time now) -> void;
  // Returns the next orders, at most one for each server that is not busy.
  auto Plan(const engine_spec& engine,
            const std::vector<planner_server>& servers,
            mono_time now) -> std::vector<model_order>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_MODEL_PLANNER_H_
