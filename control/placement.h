#ifndef EBONY_CONTROL_PLACEMENT_H_
#define EBONY_CONTROL_PLACEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/control_state.h"

namespace ebony {

// Smoothed requests per second of each model.
using model_demand = std::map<model_name, double>;

struct placement_options {
  // Maximum number of loads in progress at once.
  std::size_t loads_at_once = 2;
  // Requests per second for which one replica is sufficient; higher demand adds
  // replicas. Zero disables adding replicas on demand.
  double replica_rate = 20.0;
};

// Why a model is at risk of becoming unavailable.
struct model_risk {
  model_name model;
  std::string reason;
};

// Number of replica changes in one plan.
struct move_counts {
  std::size_t loads = 0;
  std::size_t unloads = 0;
  // Replicas unloaded from a leaving server because others serve elsewhere.
  std::size_t shifts = 0;
};

// The outcome of one planning round.
struct placement_plan {
  std::vector<issue_order_command> orders;
  std::vector<model_risk> risks;
  move_counts moves;
};

// Decides the next orders. Loads are planned in tiers over all models: first
// one replica each, then the declared replicas, then a second data centre, then
// additional replicas for demand. Within a tier, models go in order of
// priority. A replica of a declared model is unloaded only while enough others
// serve it.
class placement {
  struct desired_model;
  struct candidate_accelerator;
  struct planning_round;

  placement_options options_;

  auto CollectModels(planning_round& round) const -> void;
  auto CollectReplicas(planning_round& round) const -> void;
  auto PlanLoads(planning_round& round) const -> void;
  auto FindCandidate(const planning_round& round,
                     const desired_model& model) const
      -> std::optional<candidate_accelerator>;
  auto PlanTier(planning_round& round, int tier) const -> void;
  auto PlanAdapterChanges(planning_round& round) const -> void;
  auto PlanUnloads(planning_round& round) const -> void;
  auto FreeCapacity(planning_round& round, const desired_model& model) const
      -> void;
  auto ReportRisks(planning_round& round) const -> void;

 public:
  explicit placement(placement_options options);

  // Returns the next orders and the models at risk. `load_tokens` is the number
  // of loads that the rate limit of the weight store permits now.
  auto Plan(const control_data& data,
            const model_demand& demand,
            std::size_t load_tokens) const -> placement_plan;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PLACEMENT_H_
