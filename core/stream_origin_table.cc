#include "core/stream_origin_table.h"

#include <utility>

namespace ebony {

auto stream_origin_table::Rotate(mono_time now) -> void {
  if (now - rotated_ < kLifetime) {
    return;
  }
  const auto is_all_expired = now - rotated_ >= 2 * kLifetime;
  previous_ = is_all_expired ? generation() : std::move(current_);
  current_ = generation();
  rotated_ = now;
}

auto stream_origin_table::Add(stream_key key,
                              const stream_origin& origin,
                              mono_time now) -> void {
  Rotate(now);
  if (Find(key) != nullptr) {
    return;
  }
  const auto next = static_cast<std::uint32_t>(origins_.size());
  const auto [found, is_new] = indexes_.try_emplace(origin, next);
  if (is_new) {
    origins_.push_back(origin);
  }
  current_.emplace(key, found->second);
}

auto stream_origin_table::Find(stream_key key) const -> const stream_origin* {
  for (const auto* items : {&current_, &previous_}) {
    if (const auto found = items->find(key); found != items->end()) {
      return &origins_.at(found->second);
    }
  }
  return nullptr;
}

auto stream_origin_table::List() const
    -> std::map<stream_origin, std::vector<stream_key>> {
  auto list = std::map<stream_origin, std::vector<stream_key>>();
  for (const auto* items : {&previous_, &current_}) {
    for (const auto& [key, index] : *items) {
      list[origins_.at(index)].push_back(key);
    }
  }
  return list;
}

}  // namespace ebony
