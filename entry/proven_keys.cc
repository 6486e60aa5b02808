#include "entry/proven_keys.h"

#include <algorithm>

namespace ebony {

// A key is queued once; when its turn comes it is queued again if it has been
// proven meanwhile.
auto proven_keys::Forget(mono_time now) -> void {
  while (!queue_.empty() && queue_.front().first <= now) {
    const auto key = queue_.front().second;
    queue_.pop_front();
    const auto found = expiries_.find(key);
    if (found->second > now) {
      queue_.emplace_back(now + kLifetime, key);
    } else {
      expiries_.erase(found);
    }
  }
}

auto proven_keys::Add(suspect_key key, mono_time now) -> void {
  Forget(now);
  const auto found = expiries_.find(key);
  if (found != expiries_.end()) {
    found->second = now + kLifetime;
    return;
  }
  if (expiries_.size() < kMaxKeys) {
    expiries_[key] = now + kLifetime;
    queue_.emplace_back(now + kLifetime, key);
  }
}

auto proven_keys::Contains(suspect_key key, mono_time now) const -> bool {
  const auto found = expiries_.find(key);
  return found != expiries_.end() && found->second > now;
}

auto proven_keys::Doubt(suspect_key key, mono_time now) -> void {
  const auto found = expiries_.find(key);
  if (found != expiries_.end()) {
    found->second = std::min(found->second, now + kDoubtedLifetime);
  }
}

}  // namespace ebony
