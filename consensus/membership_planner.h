#ifndef EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_
#define EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_

#include <optional>
#include <vector>

#include "consensus/raft_types.h"
#include "consensus/voter_replacement.h"

namespace ebony {

struct membership_plan_options {
  // Voters of a full group. More members stand by as learners.
  std::size_t voter_target = 5;
  // A silent voter makes way for a standby after this time.
  duration replace_after = std::chrono::milliseconds(6000);
  // A silent learner is dropped after this time.
  duration drop_learner_after = std::chrono::milliseconds(15000);
};

// What the planner has to know of the members.
struct group_status {
  std::vector<node_id> joiners;  // asked lately to become members
  member_status members;
};

// Returns the next change of a control group that looks after itself, at most
// one voter or learner at a time, or nothing. A member is added before the one
// that it replaces goes, so the group never has fewer voters that work. A new
// identity on a known VM replaces the former one, whose disk is lost.
auto PlanMembership(const membership& group,
                    const node_id& self,
                    const group_status& facts,
                    const membership_plan_options& options)
    -> std::optional<membership>;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_MEMBERSHIP_PLANNER_H_
