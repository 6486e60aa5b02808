#include "consensus/voter_replacement.h"

#include <algorithm>

#include "consensus/quorum.h"

namespace ebony {

namespace {

// Returns whether all members that take part in decisions know `voter_swap`, or
// std::nullopt while that is not known: a member that has just been silent may
// reply yet.
auto CanSwap(const membership& group,
             const node_id& leaving,
             const node_id& joining,
             const member_status& members) -> std::optional<bool> {
  auto others = group.voters;
  std::erase(others, leaving);
  others.push_back(joining);
  auto is_known = true;
  for (const auto& id : others) {
    const auto supports = members.supports_swaps(id);
    if (supports && !*supports) {
      return false;
    }
    is_known = is_known && (supports || members.get_time_since_reply(id) >
                                            members.disk_lost_after);
  }
  return is_known ? std::optional(true) : std::nullopt;
}

// Returns the voter that is the previous identity of the node's VM.
auto FindPreviousIdentity(const membership& group, const node_id& node)
    -> std::optional<node_id> {
  const auto found = std::find_if(
      group.voters.begin(), group.voters.end(), [&node](const node_id& id) {
        return id != node && GetNodeVm(id) == GetNodeVm(node);
      });
  return found == group.voters.end() ? std::nullopt : std::optional(*found);
}

}  // namespace

auto GetNodeVm(const node_id& node) -> vm_name {
  return vm_name(node.get().substr(0, node.get().rfind('.')));
}

auto Promote(const membership& group, const node_id& learner) -> membership {
  auto next = group;
  std::erase(next.learners, learner);
  next.voters.push_back(learner);
  return next;
}

auto BeginReplacement(const membership& group,
                      const node_id& leaving,
                      const node_id& joining,
                      const member_status& members)
    -> std::optional<membership> {
  const auto can_swap = CanSwap(group, leaving, joining, members);
  if (!can_swap) {
    return std::nullopt;
  }
  auto next = Promote(group, joining);
  if (*can_swap) {
    next.swap = {joining, leaving};
  }
  return next;
}

auto EndSwap(const membership& group,
             const node_id& self,
             const member_status& members) -> membership {
  // A member that has never replied to this leader has no known log.
  const auto is_at_work = [&](const node_id& id) {
    return id == self ||
           (members.is_caught_up(id) &&
            members.get_time_since_reply(id) <= members.disk_lost_after);
  };
  const auto& swap = *group.swap;
  const auto is_undone = swap.leaving == self || (is_at_work(swap.leaving) &&
                                                  !is_at_work(swap.joining));
  auto next = group;
  std::erase(next.voters, is_undone ? swap.joining : swap.leaving);
  next.swap.reset();
  return next;
}

auto PlanReplacement(const membership& group,
                     const node_id& joiner,
                     const member_status& members)
    -> std::optional<membership> {
  auto next = group;
  const auto previous = FindPreviousIdentity(group, joiner);
  const auto is_previous_lost =
      previous &&
      members.get_time_since_reply(*previous) > members.disk_lost_after;
  if (Contains(group.voters, joiner)) {
    if (!is_previous_lost) {
      return std::nullopt;
    }
    std::erase(next.voters, *previous);
    return next;
  }
  if (!Contains(group.learners, joiner)) {
    next.learners.push_back(joiner);
    return next;
  }
  if (!members.is_caught_up(joiner)) {
    return std::nullopt;
  }
  if (is_previous_lost) {
    return BeginReplacement(group, *previous, joiner, members);
  }
  return previous ? std::nullopt : std::optional(Promote(group, joiner));
}

}  // namespace ebony
