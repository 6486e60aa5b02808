#include "control/failure_detector.h"

#include <algorithm>

namespace ebony {

failure_detector::failure_detector(failure_detector_options options,
                                   mono_time leader_since)
    : options_(options), leader_since_(leader_since) {}

auto failure_detector::Lose(watched_backend& watched,
                            const vm_name& entry,
                            mono_time now) -> void {
  const auto was_heard = !watched.hearing.empty();
  watched.hearing.erase(entry);
  watched.lost.insert(entry);
  if (was_heard && watched.hearing.empty()) {
    watched.unheard_since = now;
  }
}

auto failure_detector::OnEntryPoll(const vm_name& entry, mono_time now)
    -> void {
  entry_polls_[entry] = now;
}

auto failure_detector::OnReachable(const vm_name& entry,
                                   const backend_name& backend,
                                   incarnation run,
                                   mono_time now) -> void {
  auto& watched = backends_[backend];
  if (run < watched.run) {
    return;
  }
  if (run > watched.run) {
    watched = watched_backend();
    watched.run = run;
    watched.unheard_since = now;
  }
  watched.hearing.insert(entry);
  watched.lost.erase(entry);
}

auto failure_detector::OnUnreachable(const vm_name& entry,
                                     const backend_name& backend,
                                     incarnation run,
                                     mono_time now) -> void {
  const auto found = backends_.find(backend);
  if (found == backends_.end() || found->second.run != run) {
    return;
  }
  Lose(found->second, entry, now);
}

auto failure_detector::DropSilentEntries(mono_time now) -> void {
  for (auto item = entry_polls_.begin(); item != entry_polls_.end();) {
    if (now - item->second < options_.suspect) {
      ++item;
      continue;
    }
    for (auto& [name, watched] : backends_) {
      if (watched.hearing.contains(item->first)) {
        Lose(watched, item->first, now);
      }
    }
    item = entry_polls_.erase(item);
  }
}

auto failure_detector::FindSuspects(const control_data& data, mono_time now)
    -> std::vector<suspect_backend_command> {
  DropSilentEntries(now);
  auto suspects = std::vector<suspect_backend_command>();
  for (const auto& [name, backend] : data.backends) {
    if (backend.suspected || backend.forgotten) {
      continue;
    }
    const auto found = backends_.find(name);
    if (found == backends_.end() || found->second.run < backend.info.run) {
      // No entry told this leader of it; entries tell a new leader all.
      if (now - leader_since_ >= 2 * options_.suspect &&
          !entry_polls_.empty()) {
        suspects.push_back({name, backend.info.run});
      }
      continue;
    }
    const auto& watched = found->second;
    const auto enough_lost = watched.lost.size() >= options_.observers;
    if (watched.hearing.empty() && enough_lost &&
        now - watched.unheard_since >= options_.suspect) {
      suspects.push_back({name, backend.info.run});
    }
  }
  return suspects;
}

auto failure_detector::IsHeard(const backend_name& backend) const -> bool {
  const auto found = backends_.find(backend);
  return found != backends_.end() && !found->second.hearing.empty();
}

}  // namespace ebony
