#include "consensus/voter_replacement.h"

#include <algorithm>

namespace ebony {

namespace {

auto Contains(const std::vector<node_id>& ids, const node_id& id) -> bool {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

auto GetNodeVm(const node_id& node) -> vm_name {
  return vm_name(node.get().substr(0, node.get().rfind('.')));
}

auto PlanReplacement(const membership& group,
                     const node_id& joiner,
                     const member_status& members)
    -> std::optional<membership> {
  auto next = group;
  if (Contains(group.voters, joiner)) {
    const auto lost = std::find_if(
        next.voters.begin(), next.voters.end(), [&](const node_id& id) {
          return id != joiner && GetNodeVm(id) == GetNodeVm(joiner) &&
                 members.get_time_since_reply(id) > members.disk_lost_after;
        });
    if (lost == next.voters.end()) {
      return std::nullopt;
    }
    next.voters.erase(lost);
    return next;
  }
  if (!Contains(group.learners, joiner)) {
    next.learners.push_back(joiner);
    return next;
  }
  if (!members.is_caught_up(joiner)) {
    return std::nullopt;
  }
  std::erase(next.learners, joiner);
  next.voters.push_back(joiner);
  return next;
}

}  // namespace ebony
