#include "control/failure_detector.h"

#include <algorithm>

namespace ebony {

failure_detector::failure_detector(failure_detector_options options,
                                   mono_time leader_since)
    : options_(options), leader_since_(leader_since) {}

auto failure_detector::MarkUnreachable(observed_backend& observed,
                                       const vm_name& entry,
                                       mono_time now) -> void {
  const auto was_reachable = !observed.reachable_from.empty();
  observed.reachable_from.erase(entry);
  observed.unreachable_from.insert(entry);
  if (was_reachable && observed.reachable_from.empty()) {
    observed.unreachable_since = now;
  }
}

auto failure_detector::OnEntryPoll(const vm_name& entry, mono_time now)
    -> void {
  last_polls_[entry] = now;
}

auto failure_detector::OnReachable(const vm_name& entry,
                                   const backend_name& backend,
                                   incarnation run,
                                   mono_time now) -> void {
  auto& observed = backends_[backend];
  if (run < observed.run) {
    return;
  }
  if (run > observed.run) {
    observed = observed_backend();
    observed.run = run;
    observed.unreachable_since = now;
  }
  observed.reachable_from.insert(entry);
  observed.unreachable_from.erase(entry);
}

auto failure_detector::OnUnreachable(const vm_name& entry,
                                     const backend_name& backend,
                                     incarnation run,
                                     mono_time now) -> void {
  const auto found = backends_.find(backend);
  if (found == backends_.end() || found->second.run != run) {
    return;
  }
  MarkUnreachable(found->second, entry, now);
}

auto failure_detector::ExpireEntries(mono_time now) -> void {
  for (auto item = last_polls_.begin(); item != last_polls_.end();) {
    if (now - item->second < options_.suspect_timeout) {
      ++item;
      continue;
    }
    for (auto& [name, observed] : backends_) {
      if (observed.reachable_from.contains(item->first)) {
        MarkUnreachable(observed, item->first, now);
      }
    }
    item = last_polls_.erase(item);
  }
}

auto failure_detector::FindSuspects(const control_data& data, mono_time now)
    -> std::vector<suspect_backend_command> {
  ExpireEntries(now);
  auto suspects = std::vector<suspect_backend_command>();
  for (const auto& [name, backend] : data.backends) {
    if (backend.suspected || backend.forgotten) {
      continue;
    }
    const auto found = backends_.find(name);
    if (found == backends_.end() || found->second.run < backend.info.run) {
      // No entry has reported this run to the current leader. Entries send a
      // new leader their full state, so a missing report means a failed server.
      if (now - leader_since_ >= 2 * options_.suspect_timeout &&
          !last_polls_.empty()) {
        suspects.push_back({name, backend.info.run});
      }
      continue;
    }
    const auto& observed = found->second;
    const auto has_quorum =
        observed.unreachable_from.size() >= options_.min_observers;
    if (observed.reachable_from.empty() && has_quorum &&
        now - observed.unreachable_since >= options_.suspect_timeout) {
      suspects.push_back({name, backend.info.run});
    }
  }
  return suspects;
}

auto failure_detector::IsReachable(const backend_name& backend) const -> bool {
  const auto found = backends_.find(backend);
  return found != backends_.end() && !found->second.reachable_from.empty();
}

}  // namespace ebony
