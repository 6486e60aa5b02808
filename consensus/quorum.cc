#include "consensus/quorum.h"

#include <algorithm>

namespace ebony {

namespace {

auto Without(std::vector<node_id> ids, const node_id& id)
    -> std::vector<node_id> {
  std::erase(ids, id);
  return ids;
}

// Returns the ids of `left` that are not in `right`.
auto GetDifference(const std::vector<node_id>& left,
                   const std::vector<node_id>& right) -> std::vector<node_id> {
  auto rest = left;
  std::erase_if(rest,
                [&right](const node_id& id) { return Contains(right, id); });
  return rest;
}

}  // namespace

auto Contains(const std::vector<node_id>& ids, const node_id& id) -> bool {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

auto GetVoterSets(const membership& group)
    -> std::vector<std::vector<node_id>> {
  if (!group.swap) {
    return {group.voters};
  }
  return {Without(group.voters, group.swap->joining),
          Without(group.voters, group.swap->leaving)};
}

auto HasQuorum(const membership& group,
               const std::function<bool(const node_id&)>& agrees) -> bool {
  const auto sets = GetVoterSets(group);
  return std::all_of(sets.begin(), sets.end(), [&agrees](const auto& voters) {
    const auto count = std::count_if(voters.begin(), voters.end(), agrees);
    return static_cast<std::size_t>(count) * 2 > voters.size();
  });
}

auto GetQuorumValue(
    const membership& group,
    const std::function<std::uint64_t(const node_id&)>& get_value)
    -> std::uint64_t {
  auto lowest = UINT64_MAX;
  for (const auto& voters : GetVoterSets(group)) {
    if (voters.empty()) {
      return 0;
    }
    auto values = std::vector<std::uint64_t>();
    std::transform(voters.begin(), voters.end(), std::back_inserter(values),
                   get_value);
    std::sort(values.begin(), values.end());
    lowest = std::min(lowest, values[(values.size() - 1) / 2]);
  }
  return lowest;
}

auto CountBorneLosses(const membership& group,
                      const std::function<bool(const node_id&)>& is_at_work)
    -> std::size_t {
  auto lowest = SIZE_MAX;
  for (const auto& voters : GetVoterSets(group)) {
    const auto count = static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), is_at_work));
    const auto needed = voters.size() / 2 + 1;
    lowest = std::min(lowest, count < needed ? 0 : count - needed);
  }
  return lowest;
}

auto IsAllowedChange(const membership& current, const membership& next)
    -> bool {
  const auto added = GetDifference(next.voters, current.voters);
  const auto removed = GetDifference(current.voters, next.voters);
  if (next.voters.empty() || added.size() + removed.size() > 1) {
    return false;
  }
  if (current.swap) {
    const auto is_same = current.swap == next.swap && added == removed;
    const auto ends = !next.swap && removed.size() == 1 &&
                      (removed[0] == current.swap->leaving ||
                       removed[0] == current.swap->joining);
    return is_same || ends;
  }
  if (next.swap) {
    return added.size() == 1 && added[0] == next.swap->joining &&
           Contains(current.voters, next.swap->leaving);
  }
  return true;
}

}  // namespace ebony
