#include "consensus/membership_planner.h"

#include <algorithm>

namespace ebony {

namespace {

auto Contains(const std::vector<node_id>& ids, const node_id& id) -> bool {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// True when another identity of the node's VM stands in `ids`.
auto HasSuccessor(const std::vector<node_id>& ids, const node_id& node)
    -> bool {
  return std::any_of(ids.begin(), ids.end(), [&node](const node_id& id) {
    return id != node && GetNodeVm(id) == GetNodeVm(node);
  });
}

// A voter that must make way: its VM came back with another disk, or it has
// been silent for long.
auto FindLostVoter(const membership& group,
                   const node_id& self,
                   const group_status& facts,
                   const membership_plan_options& options)
    -> std::optional<node_id> {
  for (const auto& voter : group.voters) {
    const auto is_replaced = HasSuccessor(group.voters, voter) ||
                             HasSuccessor(group.learners, voter);
    const auto silence = facts.members.get_time_since_reply(voter);
    if (voter == self) {
      continue;
    }
    if ((is_replaced && silence > facts.members.disk_lost_after) ||
        silence > options.replace_after) {
      return voter;
    }
  }
  return std::nullopt;
}

auto FindReadyLearner(const membership& group, const group_status& facts)
    -> std::optional<node_id> {
  const auto found =
      std::find_if(group.learners.begin(), group.learners.end(),
                   [&facts](const node_id& id) {
                     return facts.members.is_caught_up(id) &&
                            facts.members.get_time_since_reply(id) <
                                facts.members.disk_lost_after;
                   });
  return found == group.learners.end() ? std::nullopt : std::optional(*found);
}

auto AddLearner(const membership& group, const group_status& facts)
    -> std::optional<membership> {
  for (const auto& joiner : facts.joiners) {
    if (!Contains(group.voters, joiner) && !Contains(group.learners, joiner)) {
      auto next = group;
      next.learners.push_back(joiner);
      return next;
    }
  }
  return std::nullopt;
}

auto DropLearner(const membership& group,
                 const group_status& facts,
                 const membership_plan_options& options)
    -> std::optional<membership> {
  for (const auto& learner : group.learners) {
    if (facts.members.get_time_since_reply(learner) >
        options.drop_learner_after) {
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
                    const group_status& facts,
                    const membership_plan_options& options)
    -> std::optional<membership> {
  const auto lost = FindLostVoter(group, self, facts, options);
  const auto has_surplus = group.voters.size() > options.voter_target ||
                           (lost && HasSuccessor(group.voters, *lost));
  if (lost && has_surplus) {
    auto next = group;
    std::erase(next.voters, *lost);
    return next;
  }
  const auto ready = FindReadyLearner(group, facts);
  const auto wants_voter = group.voters.size() < options.voter_target || lost;
  if (ready && wants_voter && group.voters.size() <= options.voter_target) {
    return Promote(group, *ready);
  }
  if (const auto next = AddLearner(group, facts)) {
    return next;
  }
  return DropLearner(group, facts, options);
}

}  // namespace ebony
