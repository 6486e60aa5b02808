#ifndef EBONY_CONTROL_MODEL_PLANNER_H_
#define EBONY_CONTROL_MODEL_PLANNER_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "control/load_distribution.h"
#include "control/planner_round.h"
#include "control/service_estimate.h"
#include "core/site_config.h"

namespace ebony {

// Requests for one model or adapter that arrived since the previous report.
struct demand_report {
  model_name model;
  adapter_name adapter;
  double requests = 0;
  double prompt_tokens = 0;
  bool is_unserved = false;  // a request found no server that has it loaded
  double ended = 0;          // requests that a server ended
  double busy_seconds = 0;   // sum of the times for which they ran
};

struct model_planner_options {
  // Time constant of the exponential smoothing of demand.
  duration demand_window = std::chrono::milliseconds(2000);
  // A model that was busy before may become busy again, so its load counts as
  // at least this fraction of its decaying peak load.
  double peak_load_weight = 0.05;
  duration peak_load_half_life = std::chrono::seconds(20);
  // Interval between two plans of models. Adapters are planned at each call.
  duration model_interval = std::chrono::milliseconds(200);
  // Share of its slots and of its prompt rate to which a server is to be used.
  double target_utilization = 0.7;
  // Minimum work, in seconds of a server's work, that a move has to save.
  double min_value = 0.4;
  // Demand for a model is assumed to last this long.
  duration demand_horizon = std::chrono::seconds(18);
  // Time in which an unload ends: of a model that is hardly used, and of one
  // whose streams have to end first.
  double idle_unload_seconds = 0.5;
  double busy_unload_seconds = 4;
  // Weight store tokens that are kept for urgent loads when free memory is
  // filled.
  double reserved_store_tokens = 2;
  // Models with less demand, in loads of a server, get no further replica.
  double min_demand = 0.02;
  // Maximum number of models considered and of moves issued in one round.
  std::size_t max_hot_models = 6;
  std::size_t max_moves_per_round = 3;
  // An adapter without requests for this long may be evicted.
  duration adapter_idle_timeout = std::chrono::seconds(3);
  // Token bucket for loads from the weight store: the fraction of the store's
  // rate that is used, and the burst in loads.
  double store_rate_fraction = 0.95;
  double store_burst = 3;
};

// Decides which server loads or unloads which model or adapter. Every model of
// the catalogue keeps at least one replica. Further replicas go where they save
// most work that would be late or lost, counted from the time at which they
// serve for as long as the demand is assumed to last. Designed for demand that
// shifts between models every few seconds while a load takes seconds itself.
class model_planner {
  using adapter_ref = std::pair<model_name, adapter_name>;
  struct demand_rate {
    double load = 0;       // seconds of server time per second
    double peak_load = 0;  // largest load, decaying exponentially
    // Since the last update.
    double requests = 0;
    double prompt_tokens = 0;
  };
  struct adapter_demand {
    mono_time last_requested;
    bool is_unserved = false;  // a request is waiting for it
  };
  // A replica that is to be loaded on a server, kept from the first order of
  // its move until the server reports the model as loaded.
  struct pending_load {
    model_name model;
    mono_time deadline;
  };
  // Loads a replica of a model on a server, replacing `victim` where capacity
  // is short. Servers and models are indices of the planner_round.
  struct candidate_move {
    std::size_t server = 0;
    std::size_t model = 0;
    std::optional<std::size_t> victim;
    double gain = 0;
  };

  model_planner_options options_;
  service_estimate service_;
  std::map<model_name, demand_rate> demand_;
  std::map<adapter_ref, adapter_demand> adapters_;
  std::map<backend_name, pending_load> pending_loads_;
  mono_time demand_updated_;
  mono_time models_planned_;
  double store_tokens_ = 0;

  auto UpdateDemand(const engine_spec& engine, mono_time now) -> void;
  auto GetLoad(const model_name& model) const -> double;
  // Drops pending loads that completed or expired, counts the others as
  // replicas and issues those whose server has capacity now.
  auto ContinuePendingLoads(planner_round& plan, mono_time now) -> void;
  // Loads each model without a replica where that is quickest, replacing a
  // redundant replica of another model if needed.
  auto PlanFirstReplicas(planner_round& plan, mono_time now) -> void;
  auto FindLoadTarget(const planner_round& plan, std::size_t model) const
      -> std::optional<candidate_move>;
  // Returns the model with the least demand among those on `server` that have
  // another serving replica.
  auto FindEvictable(const planner_round& plan, std::size_t server) const
      -> std::optional<std::size_t>;
  auto PlanMoves(planner_round& plan, mono_time now) -> void;
  // Returns the models for which a further replica may be worth most.
  auto ListHotModels(const planner_round& plan,
                     const load_distribution& loads) const
      -> std::vector<std::size_t>;
  auto FindBestMove(const planner_round& plan,
                    const load_distribution& loads) const
      -> std::optional<candidate_move>;
  // Returns the work that a move saves while the demand is likely to last, in
  // seconds of a server's work.
  auto GetValue(const planner_round& plan,
                const load_distribution& loads,
                const candidate_move& move) const -> double;
  // Loads further replicas into memory that nothing else needs, so that demand
  // which moves finds them, and so that replicas elsewhere become evictable.
  auto FillFreeMemory(planner_round& plan,
                      const load_distribution& loads,
                      mono_time now) -> void;
  // Issues the first order of a move: the unload of its victim if there is one,
  // otherwise the load.
  auto IssueMove(planner_round& plan, const candidate_move& move, mono_time now)
      -> void;
  auto PlanAdapters(planner_round& plan, mono_time now) -> void;
  auto PlanAdapter(planner_round& plan,
                   const adapter_ref& wanted,
                   mono_time now) -> void;
  auto FindIdleAdapter(const backend_status& status, mono_time now) const
      -> std::optional<adapter_ref>;

 public:
  explicit model_planner(model_planner_options options);

  // Adds what gateways observed of streams that found an idle server.
  auto AddFirstEvents(const first_event_sums& sums) -> void {
    service_.AddFirstEvents(sums);
  }
  // Adds requests that arrived since the previous report.
  auto AddDemand(const demand_report& report, mono_time now) -> void;
  // Discards all demand and pending loads and empties the token bucket.
  auto Reset(mono_time now) -> void;
  // Returns the next orders, at most one for each server, and none for busy
  // ones.
  auto Plan(const engine_spec& engine,
            const std::vector<planner_server>& servers,
            mono_time now) -> std::vector<model_order>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_MODEL_PLANNER_H_
