#ifndef EBONY_CONSENSUS_VOTER_REPLACEMENT_H_
#define EBONY_CONSENSUS_VOTER_REPLACEMENT_H_

#include <functional>
#include <optional>

#include "consensus/raft_types.h"

namespace ebony {

// The VM that a node runs on: the part of its id before the last dot. Each
// disk of a VM has an id of its own.
auto GetNodeVm(const node_id& node) -> vm_name;

struct member_status {
  // True when the node's log is as long as the committed one.
  std::function<bool(const node_id&)> is_caught_up;
  // Time since the node last replied to the leader.
  std::function<duration(const node_id&)> get_time_since_reply;
  // Silence after which the former disk of a VM counts as lost.
  duration disk_lost_after = std::chrono::milliseconds(3000);
};

// Returns the next change that brings `joiner`, a node on a new disk, into the
// group: first a learner, once caught up a voter, and then its VM's former
// identity goes. Returns nothing while the next step has to wait.
auto PlanReplacement(const membership& group,
                     const node_id& joiner,
                     const member_status& facts) -> std::optional<membership>;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_VOTER_REPLACEMENT_H_
