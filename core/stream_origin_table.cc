#include "core/stream_origin_table.h"

#include <algorithm>
#include <utility>

namespace ebony {

auto stream_origin_table::Rotate(mono_time now) -> void {
  if (now - rotated_ < kLifetime) {
    return;
  }
  const auto is_all_expired = now - rotated_ >= 2 * kLifetime;
  dropped_ +=
      is_all_expired ? get_size() : std::uint64_t{previous_.order.size()};
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
  current_.origins.emplace(key, found->second);
  current_.order.push_back(key);
}

auto stream_origin_table::Find(stream_key key) const -> const stream_origin* {
  for (const auto* items : {&current_, &previous_}) {
    const auto found = items->origins.find(key);
    if (found != items->origins.end()) {
      return &origins_.at(found->second);
    }
  }
  return nullptr;
}

auto stream_origin_table::List() const
    -> std::map<stream_origin, std::vector<stream_key>> {
  auto list = std::map<stream_origin, std::vector<stream_key>>();
  for (const auto* items : {&previous_, &current_}) {
    for (const auto& [key, index] : items->origins) {
      list[origins_.at(index)].push_back(key);
    }
  }
  return list;
}

auto stream_origin_table::ListSince(std::uint64_t& revision,
                                    const std::set<service_name>& services,
                                    std::size_t max_streams) const
    -> std::map<stream_origin, std::vector<stream_key>> {
  auto list = std::map<stream_origin, std::vector<stream_key>>();
  const auto first = std::max(revision, dropped_);
  const auto last = std::min(first + max_streams, get_revision());
  for (auto at = first; at < last; ++at) {
    const auto index = static_cast<std::size_t>(at - dropped_);
    const auto is_previous = index < previous_.order.size();
    const auto& items = is_previous ? previous_ : current_;
    const auto key =
        items.order.at(is_previous ? index : index - previous_.order.size());
    const auto& origin = origins_.at(items.origins.at(key));
    if (services.contains(origin.service)) {
      list[origin].push_back(key);
    }
  }
  revision = last;
  return list;
}

}  // namespace ebony
