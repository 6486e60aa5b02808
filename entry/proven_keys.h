#ifndef EBONY_ENTRY_PROVEN_KEYS_H_
#define EBONY_ENTRY_PROVEN_KEYS_H_

#include <deque>
#include <unordered_map>
#include <utility>

#include "core/crash_record.h"
#include "core/ids.h"

namespace ebony {

// Keys of requests that ran without a crash in the last `kLifetime`.
class proven_keys {
  std::unordered_map<suspect_key, mono_time> expiries_;
  // When to look for keys to forget, in order of time.
  std::deque<std::pair<mono_time, suspect_key>> queue_;

  auto Forget(mono_time now) -> void;

 public:
  static constexpr duration kLifetime = std::chrono::seconds(20);
  // A key that is in doubt has to be proven again within this time. Long enough
  // for a key that many requests have.
  static constexpr duration kDoubtedLifetime = std::chrono::seconds(1);
  // Further keys are not remembered.
  static constexpr std::size_t kMaxKeys = 20000;

  auto Add(suspect_key key, mono_time now) -> void;
  auto Contains(suspect_key key, mono_time now) const -> bool;
  // A server crashed under a request with the key.
  auto Doubt(suspect_key key, mono_time now) -> void;
  auto get_size() const -> std::size_t { return expiries_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_PROVEN_KEYS_H_
