#ifndef EBONY_CONSENSUS_VOTER_REPLACEMENT_H_
#define EBONY_CONSENSUS_VOTER_REPLACEMENT_H_

#include <functional>
#include <optional>

#include "consensus/raft_types.h"

namespace ebony {

// Returns the VM of a node: the part of its id before the last dot. The part
// after the dot identifies the disk.
auto GetNodeVm(const node_id& node) -> vm_name;

// Observed state of the group's members, from the leader's view.
struct member_status {
  // Returns true if the node's log contains every committed entry.
  std::function<bool(const node_id&)> is_caught_up;
  // Returns the time since the node last replied to the leader.
  std::function<duration(const node_id&)> get_time_since_reply;
  // Time without a reply after which the previous disk of a VM counts as lost.
  duration disk_lost_after = std::chrono::milliseconds(3000);
};

// Returns the next change that makes `joiner`, a node with a new disk, a voter:
// it is added as a learner, promoted once it has caught up, and then the
// previous identity of its VM is removed. Returns std::nullopt while no step is
// possible.
auto PlanReplacement(const membership& group,
                     const node_id& joiner,
                     const member_status& members) -> std::optional<membership>;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_VOTER_REPLACEMENT_H_
