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
  // Losses at the same time that the group should bear. A group that loses
  // voters for which there is no replacement shrinks to no fewer voters than
  // that takes.
  std::size_t tolerated_losses = 1;
  // A voter that has not replied for this long counts as lost.
  duration replace_voter_after = std::chrono::milliseconds(6000);
  // A learner that has not replied for this long is removed.
  duration remove_learner_after = std::chrono::milliseconds(15000);
};

// Observed state of the group, as input to PlanMembership.
struct group_status {
  std::vector<node_id> joiners;  // nodes with a recent join request
  member_status members;
};

// Returns the next membership change, or std::nullopt when none is needed.
//
// - A lost voter is replaced by a learner that has the log, by that of its own
//   VM if there is one: a new identity of a VM shows that its disk is lost.
// - A lost voter without a replacement is removed where the others need one
//   agreeing voter less without it: from an even number of voters, or together
//   with a second lost one.
// - The number of voters is odd, up to the target: an additional voter that
//   makes it even could only be lost, and saves nothing.
//
// docs/PROOF.md has the argument for each step.
auto PlanMembership(const membership& group,
                    const node_id& self,
                    const group_status& status,
                    const membership_plan_options& options)
    -> std::optional<membership>;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_
