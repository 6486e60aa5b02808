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
  // Returns whether the node's build knows `voter_swap`, or std::nullopt if it
  // has not replied to this leader.
  std::function<std::optional<bool>(const node_id&)> supports_swaps;
  // Time without a reply after which the previous disk of a VM counts as lost.
  duration disk_lost_after = std::chrono::milliseconds(3000);
};

// Returns the change that makes a learner a voter.
auto Promote(const membership& group, const node_id& learner) -> membership;

// Returns the change that begins to replace the voter `leaving` by the learner
// `joining`. Where a member that replies does not know `voter_swap`, `joining`
// only becomes a voter, and `leaving` has to be removed afterwards. Returns
// std::nullopt until it is known which members do.
auto BeginReplacement(const membership& group,
                      const node_id& leaving,
                      const node_id& joining,
                      const member_status& members)
    -> std::optional<membership>;

// Returns the change that ends the swap under way: it removes the leaving
// voter, or the joining one if only the leaving one is at work. Requires a swap
// under way.
auto EndSwap(const membership& group,
             const node_id& self,
             const member_status& members) -> membership;

// Returns the next change that makes `joiner`, a node with a new disk, a voter:
// it is added as a learner, and replaces the previous identity of its VM once
// it has caught up. Returns std::nullopt while no step is possible.
auto PlanReplacement(const membership& group,
                     const node_id& joiner,
                     const member_status& members) -> std::optional<membership>;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_VOTER_REPLACEMENT_H_
