#include "entry/server_pauses.h"

#include <algorithm>

namespace ebony {

auto server_pauses::Find(const backend_name& id,
                         std::uint64_t start_time_ms) const -> const pause* {
  const auto found = pauses_.find(id);
  const auto is_of_run =
      found != pauses_.end() && found->second.start_time_ms == start_time_ms;
  return is_of_run ? &found->second : nullptr;
}

auto server_pauses::OnAsked(const backend_name& id,
                            std::uint64_t start_time_ms,
                            duration time,
                            mono_time now) -> bool {
  if (time <= duration(0)) {
    return false;
  }
  const auto is_new = Find(id, start_time_ms) == nullptr;
  auto& item = pauses_[id];
  const auto until = now + time;
  item.until = is_new ? until : std::max(item.until, until);
  item.start_time_ms = start_time_ms;
  item.trial_sent_at = mono_time();
  return is_new;
}

auto server_pauses::OnSent(const backend_name& id,
                           std::uint64_t start_time_ms,
                           mono_time now) -> void {
  if (Find(id, start_time_ms) != nullptr) {
    pauses_[id].trial_sent_at = now;
  }
}

auto server_pauses::OnAccepted(const backend_name& id,
                               std::uint64_t start_time_ms,
                               mono_time now) -> bool {
  const auto* item = Find(id, start_time_ms);
  if (item == nullptr || now < item->until) {
    return false;
  }
  pauses_.erase(id);
  return true;
}

auto server_pauses::GetTimeLeft(const backend_name& id,
                                std::uint64_t start_time_ms,
                                mono_time now) const -> duration {
  const auto* item = Find(id, start_time_ms);
  if (item == nullptr) {
    return duration(0);
  }
  const auto has_trial = item->trial_sent_at >= item->until;
  const auto free_at =
      has_trial ? item->trial_sent_at + kTrialTime : item->until;
  return std::max(duration(0), duration(free_at - now));
}

auto server_pauses::Prune(
    const std::function<bool(const backend_name&)>& is_known) -> void {
  std::erase_if(pauses_,
                [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace ebony
