#ifndef EBONY_CONSENSUS_QUORUM_H_
#define EBONY_CONSENSUS_QUORUM_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "consensus/raft_types.h"

namespace ebony {

auto Contains(const std::vector<node_id>& ids, const node_id& id) -> bool;

// Returns the sets of voters of which each has to agree by a majority: one, or
// during a swap the voters before and after it.
auto GetVoterSets(const membership& group) -> std::vector<std::vector<node_id>>;

// Returns true if the voters for which `agrees` holds are a quorum. A group
// without voters has none.
auto HasQuorum(const membership& group,
               const std::function<bool(const node_id&)>& agrees) -> bool;

// Returns the highest number that a quorum has reached, for example the log
// index up to which a quorum has the log. 0 for a group without voters.
auto GetQuorumValue(
    const membership& group,
    const std::function<std::uint64_t(const node_id&)>& get_value)
    -> std::uint64_t;

// Returns how many of the voters for which `is_at_work` holds may stop before
// the others are no quorum; 0 if they are none already.
auto CountBorneLosses(const membership& group,
                      const std::function<bool(const node_id&)>& is_at_work)
    -> std::size_t;

// Returns true if each quorum of `next` shares a member with each quorum of
// `current`, as is needed of two consecutive memberships of the log: one voter
// is added or removed, a swap begins, or the swap under way is completed or
// undone. Learners may change at will.
auto IsAllowedChange(const membership& current, const membership& next) -> bool;

}  // namespace ebony

#endif  // EBONY_CONSENSUS_QUORUM_H_
