#include "core/version_times.h"

#include <algorithm>

namespace ebony {

auto version_times::Update(const software_versions& versions, mono_time now)
    -> void {
  std::erase_if(known_since_, [&versions](const auto& item) {
    return !versions.Contains(item.first);
  });
  for (const auto& item : versions.get_items()) {
    known_since_.try_emplace(item, now);
  }
}

auto version_times::OnTold(const stream_origin& item,
                           duration age,
                           mono_time now) -> void {
  const auto found = known_since_.find(item);
  if (found != known_since_.end()) {
    found->second = std::min(found->second, now - age);
  }
}

auto version_times::GetAge(const stream_origin& item, mono_time now) const
    -> duration {
  const auto found = known_since_.find(item);
  return found == known_since_.end() ? duration(0) : now - found->second;
}

}  // namespace ebony
