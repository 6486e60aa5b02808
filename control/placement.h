#ifndef EBONY_CONTROL_PLACEMENT_H_
#define EBONY_CONTROL_PLACEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/control_state.h"

namespace ebony {

// Requests per second for each model, smoothed.
using model_demand = std::map<model_name, double>;

struct placement_options {
  // Loads that may be open at once.
  std::size_t loads_at_once = 2;
  // Requests per second that one replica should carry; more demand than that
  // adds replicas. Zero: demand adds none.
  double replica_rate = 20.0;
};

// Why a model is in danger.
struct model_risk {
  model_name model;
  std::string reason;
};

// Moves of replicas in one plan.
struct move_counts {
  std::size_t loads = 0;
  std::size_t unloads = 0;
  // Replicas that go from a leaving server because they serve elsewhere.
  std::size_t shifts = 0;
};

struct placement_plan {
  std::vector<issue_order_command> orders;
  std::vector<model_risk> risks;
  move_counts moves;
};

// Decides the next orders. Loads are planned in tiers over all models: first
// one replica each, then the declared replicas, then a second data centre, then
// demand; more urgent models go first within a tier. A replica is unloaded only
// when others that serve the model stay.
class placement {
  struct desired_model;
  struct place;
  struct planning_round;

  placement_options options_;

  auto CollectModels(planning_round& round) const -> void;
  auto CollectReplicas(planning_round& round) const -> void;
  auto PlanLoads(planning_round& round) const -> void;
  auto FindPlace(const planning_round& round, const desired_model& model) const
      -> std::optional<place>;
  auto PlanTier(planning_round& round, int tier) const -> void;
  auto PlanAdapterChanges(planning_round& round) const -> void;
  auto PlanUnloads(planning_round& round) const -> void;
  auto MakeRoom(planning_round& round, const desired_model& model) const
      -> void;
  auto ReportRisks(planning_round& round) const -> void;

 public:
  explicit placement(placement_options options);

  // `load_tokens` is how many loads the weight store's rate allows now.
  auto Plan(const control_data& data,
            const model_demand& demand,
            std::size_t load_tokens) const -> placement_plan;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PLACEMENT_H_
