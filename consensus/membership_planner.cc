#include "consensus/membership_planner.h"

#include <algorithm>

#include "consensus/quorum.h"

namespace ebony {

namespace {

// The smallest group that bears a loss.
constexpr std::size_t kMinShrunkenVoters = 3;

// Returns true if `ids` contains another identity of the node's VM.
auto HasOtherIdentity(const std::vector<node_id>& ids, const node_id& node)
    -> bool {
  return std::any_of(ids.begin(), ids.end(), [&node](const node_id& id) {
    return id != node && GetNodeVm(id) == GetNodeVm(node);
  });
}

// Returns true if the voter has not replied for `replace_voter_after`.
auto IsSilent(const node_id& voter,
              const group_status& status,
              const membership_plan_options& options) -> bool {
  return status.members.get_time_since_reply(voter) >
         options.replace_voter_after;
}

// Returns the lost voters: those that are silent, and those whose VM has
// rejoined with another disk and that have not replied for `disk_lost_after`.
auto FindLostVoters(const membership& group,
                    const node_id& self,
                    const group_status& status,
                    const membership_plan_options& options)
    -> std::vector<node_id> {
  auto lost = group.voters;
  std::erase_if(lost, [&](const node_id& voter) {
    const auto is_replaced = HasOtherIdentity(group.voters, voter) ||
                             HasOtherIdentity(group.learners, voter);
    const auto is_disk_lost =
        is_replaced && status.members.get_time_since_reply(voter) >
                           status.members.disk_lost_after;
    return voter == self ||
           (!is_disk_lost && !IsSilent(voter, status, options));
  });
  return lost;
}

// Returns true if the member is at work and has the log.
auto IsReady(const node_id& id, const group_status& status) -> bool {
  return status.members.is_caught_up(id) &&
         status.members.get_time_since_reply(id) <
             status.members.disk_lost_after;
}

// Returns the learners that can vote at once.
auto FindReadyLearners(const membership& group, const group_status& status)
    -> std::vector<node_id> {
  auto ready = group.learners;
  std::erase_if(ready,
                [&status](const node_id& id) { return !IsReady(id, status); });
  return ready;
}

// Returns the ready learners that are no new identity of a voter's VM. Such a
// one takes the place of that voter: beside it, one of the two would count that
// is certainly gone.
auto FindSpareLearners(const membership& group, const group_status& status)
    -> std::vector<node_id> {
  auto spare = FindReadyLearners(group, status);
  std::erase_if(spare, [&group](const node_id& id) {
    return HasOtherIdentity(group.voters, id);
  });
  return spare;
}

// Replaces a lost voter by the new identity of its VM.
auto PlanNewIdentity(const membership& group,
                     const std::vector<node_id>& lost,
                     const group_status& status) -> std::optional<membership> {
  for (const auto& learner : FindReadyLearners(group, status)) {
    const auto former =
        std::find_if(lost.begin(), lost.end(), [&learner](const node_id& id) {
          return GetNodeVm(id) == GetNodeVm(learner);
        });
    if (former != lost.end()) {
      return BeginReplacement(group, *former, learner, status.members);
    }
  }
  return std::nullopt;
}

// Replaces a voter that has been silent for long by a learner of another VM.
auto PlanStandby(const membership& group,
                 const std::vector<node_id>& lost,
                 const group_status& status,
                 const membership_plan_options& options)
    -> std::optional<membership> {
  const auto silent = std::find_if(
      lost.begin(), lost.end(),
      [&](const node_id& voter) { return IsSilent(voter, status, options); });
  const auto spare = FindSpareLearners(group, status);
  if (silent == lost.end() || spare.empty()) {
    return std::nullopt;
  }
  return BeginReplacement(group, *silent, spare.front(), status.members);
}

auto RemoveVoter(const membership& group, const node_id& voter) -> membership {
  auto next = group;
  std::erase(next.voters, voter);
  return next;
}

// Removes a lost voter from a group that needs fewer agreeing voters, or has
// more than its target, without it.
auto PlanRemoval(const membership& group,
                 const std::vector<node_id>& lost,
                 const membership_plan_options& options)
    -> std::optional<membership> {
  const auto size = group.voters.size();
  const auto is_even = size % 2 == 0 && size > 2;
  if (!lost.empty() && (is_even || size > options.voter_target)) {
    return RemoveVoter(group, lost.front());
  }
  return std::nullopt;
}

// Removes the first of two voters that are silent for long. `PlanRemoval`
// removes the second.
auto PlanRemovalOfTwo(const membership& group,
                      const std::vector<node_id>& lost,
                      const group_status& status,
                      const membership_plan_options& options)
    -> std::optional<membership> {
  const auto is_silent = [&](const node_id& voter) {
    return IsSilent(voter, status, options);
  };
  const auto silent = std::count_if(lost.begin(), lost.end(), is_silent);
  const auto fewest =
      std::max(kMinShrunkenVoters, 2 * options.tolerated_losses + 1);
  if (silent < 2 || group.voters.size() < fewest + 2) {
    return std::nullopt;
  }
  return RemoveVoter(group, *std::find_if(lost.begin(), lost.end(), is_silent));
}

// Promotes a learner where the number of voters becomes odd by it, or by the
// next one. A learner that may have to replace a voter is kept for that.
auto PlanGrowth(const membership& group,
                const node_id& self,
                const group_status& status,
                const membership_plan_options& options)
    -> std::optional<membership> {
  const auto size = group.voters.size();
  const auto spare = FindSpareLearners(group, status);
  const auto needed = size % 2 == 0 ? std::size_t{1} : std::size_t{2};
  const auto is_at_work = [&](const node_id& voter) {
    return voter == self || IsReady(voter, status);
  };
  if (size >= options.voter_target || spare.size() < needed ||
      !std::all_of(group.voters.begin(), group.voters.end(), is_at_work)) {
    return std::nullopt;
  }
  return Promote(group, spare.front());
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

}  // namespace

auto PlanMembership(const membership& group,
                    const node_id& self,
                    const group_status& status,
                    const membership_plan_options& options)
    -> std::optional<membership> {
  if (group.swap) {
    return EndSwap(group, self, status.members);
  }
  const auto lost = FindLostVoters(group, self, status, options);
  if (auto next = PlanRemoval(group, lost, options)) {
    return next;
  }
  if (auto next = PlanNewIdentity(group, lost, status)) {
    return next;
  }
  if (auto next = PlanStandby(group, lost, status, options)) {
    return next;
  }
  if (auto next = PlanRemovalOfTwo(group, lost, status, options)) {
    return next;
  }
  if (auto next = PlanGrowth(group, self, status, options)) {
    return next;
  }
  if (auto next = AddLearner(group, status)) {
    return next;
  }
  return RemoveLearner(group, status, options);
}

}  // namespace ebony
