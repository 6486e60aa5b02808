#include "consensus/membership_planner.h"

#include <algorithm>

namespace ebony {

namespace {

auto Contains(const std::vector<node_id>& ids, const node_id& id) -> bool {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// Returns true if `ids` contains another identity of the node's VM.
auto HasOtherIdentity(const std::vector<node_id>& ids, const node_id& node)
    -> bool {
  return std::any_of(ids.begin(), ids.end(), [&node](const node_id& id) {
    return id != node && GetNodeVm(id) == GetNodeVm(node);
  });
}

// Returns a voter to be replaced: one that has not replied for
// `replace_voter_after`, or for `disk_lost_after` if its VM has rejoined with
// another disk.
auto FindLostVoter(const membership& group,
                   const node_id& self,
                   const group_status& status,
                   const membership_plan_options& options)
    -> std::optional<node_id> {
  for (const auto& voter : group.voters) {
    const auto is_replaced = HasOtherIdentity(group.voters, voter) ||
                             HasOtherIdentity(group.learners, voter);
    const auto since_reply = status.members.get_time_since_reply(voter);
    if (voter == self) {
      continue;
    }
    if ((is_replaced && since_reply > status.members.disk_lost_after) ||
        since_reply > options.replace_voter_after) {
      return voter;
    }
  }
  return std::nullopt;
}

auto FindReadyLearner(const membership& group, const group_status& status)
    -> std::optional<node_id> {
  const auto found =
      std::find_if(group.learners.begin(), group.learners.end(),
                   [&status](const node_id& id) {
                     return status.members.is_caught_up(id) &&
                            status.members.get_time_since_reply(id) <
                                status.members.disk_lost_after;
                   });
  return found == group.learners.end() ? std::nullopt : std::optional(*found);
}

auto AddLearner(const membership& group, const group_status& status)
    -> std::optional<membership> {
  for (const auto& joiner : status.joiners) {
    if (!Contains(group.voters, joiner) && !Contains(group.learners, joiner)) {
      auto next = group;
      next.learners.push_back(joiner);
      return next;
    }
  }
  return std::nullopt;
}

auto RemoveLearner(const membership& group,
                   const group_status& status,
                   const membership_plan_options& options)
    -> std::optional<membership> {
  for (const auto& learner : group.learners) {
    if (status.members.get_time_since_reply(learner) >
        options.remove_learner_after) {
      auto next = group;
      std::erase(next.learners, learner);
      return next;
    }
  }
  return std::nullopt;
}

auto Promote(const membership& group, const node_id& learner) -> membership {
  auto next = group;
  std::erase(next.learners, learner);
  next.voters.push_back(learner);
  return next;
}

}  // namespace

auto PlanMembership(const membership& group,
                    const node_id& self,
                    const group_status& status,
                    const membership_plan_options& options)
    -> std::optional<membership> {
  const auto lost = FindLostVoter(group, self, status, options);
  const auto has_surplus = group.voters.size() > options.voter_target ||
                           (lost && HasOtherIdentity(group.voters, *lost));
  if (lost && has_surplus) {
    auto next = group;
    std::erase(next.voters, *lost);
    return next;
  }
  const auto ready = FindReadyLearner(group, status);
  const auto needs_voter = group.voters.size() < options.voter_target || lost;
  if (ready && needs_voter && group.voters.size() <= options.voter_target) {
    return Promote(group, *ready);
  }
  if (const auto next = AddLearner(group, status)) {
    return next;
  }
  return RemoveLearner(group, status, options);
}

}  // namespace ebony
