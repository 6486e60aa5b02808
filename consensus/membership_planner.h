#ifndef EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_
#define EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_

#include <optional>
#include <vector>

#include "consensus/raft_types.h"
#include "consensus/voter_replacement.h"

namespace ebony {

struct membership_plan_options {
  // Number of voters of a complete group. Further members stay learners.
  std::size_t voter_target = 5;
  // A voter that has not replied for this long is replaced by a learner.
  duration replace_voter_after = std::chrono::milliseconds(6000);
  // A learner that has not replied for this long is removed.
  duration remove_learner_after = std::chrono::milliseconds(15000);
};

// Observed state of the group, as input to PlanMembership.
struct group_status {
  std::vector<node_id> joiners;  // nodes with a recent join request
  member_status members;
};

// Returns the next membership change, or std::nullopt when none is needed. Each
// change adds, removes or promotes one member. A replacement is added before
// the lost member is removed, so the number of working voters never decreases.
// A new identity on a known VM replaces the previous identity of that VM, whose
// disk is lost.
auto PlanMembership(const membership& group,
                    const node_id& self,
                    const group_status& status,
                    const membership_plan_options& options)
    -> std::optional<membership>;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_
