#include "entry/admission_queue.h"

#include <algorithm>
#include <utility>

namespace ebony {

admission_queue::admission_queue(std::size_t capacity) : capacity_(capacity) {}

auto admission_queue::Add(waiting_request request,
                          std::optional<waiting_request>& evicted) -> bool {
  const auto level = static_cast<int>(request.priority);
  if (index_.size() >= capacity_) {
    auto lowest = kPriorityClassCount - 1;
    while (lowest > level &&
           classes_[static_cast<std::size_t>(lowest)].waiting.empty()) {
      --lowest;
    }
    if (lowest <= level) {
      return false;
    }
    const auto& queue = classes_[static_cast<std::size_t>(lowest)].waiting;
    evicted = queue.rbegin()->second;
    Remove(evicted->id);
  }
  auto& queue = classes_[static_cast<std::size_t>(level)];
  auto& tag = queue.last_tags[request.caller];
  tag = std::max(tag, queue.virtual_time) + 1;
  const auto key = sort_key{tag, request.deadline, request.id};
  index_[request.id] = {level, key};
  queue.waiting.emplace(key, std::move(request));
  return true;
}

auto admission_queue::PickFrom(
    class_queue& queue,
    const std::function<bool(const waiting_request&)>& can_dispatch)
    -> std::optional<waiting_request> {
  for (const auto& [key, request] : queue.waiting) {
    if (!can_dispatch(request)) {
      continue;
    }
    auto picked = request;
    queue.virtual_time = std::max(queue.virtual_time, key.tag);
    Remove(picked.id);
    if (queue.waiting.empty()) {
      queue.last_tags.clear();
    }
    return picked;
  }
  return std::nullopt;
}

auto admission_queue::Pick(
    const std::function<bool(const waiting_request&)>& can_dispatch)
    -> std::optional<waiting_request> {
  const auto lowest_first =
      picks_ % kLowestFirstInterval == kLowestFirstInterval - 1;
  for (auto i = std::size_t{0}; i < classes_.size(); ++i) {
    const auto level = lowest_first ? classes_.size() - 1 - i : i;
    if (auto picked = PickFrom(classes_[level], can_dispatch)) {
      ++picks_;
      return picked;
    }
  }
  return std::nullopt;
}

auto admission_queue::Remove(request_id id) -> void {
  const auto found = index_.find(id);
  if (found == index_.end()) {
    return;
  }
  const auto [level, key] = found->second;
  classes_[static_cast<std::size_t>(level)].waiting.erase(key);
  index_.erase(found);
}

auto admission_queue::CountAhead(priority_class priority) const -> std::size_t {
  auto count = std::size_t{0};
  for (auto level = 0; level <= static_cast<int>(priority); ++level) {
    count += classes_[static_cast<std::size_t>(level)].waiting.size();
  }
  return count;
}

auto admission_queue::ListAll() const -> std::vector<waiting_request> {
  auto all = std::vector<waiting_request>();
  for (const auto& queue : classes_) {
    for (const auto& [key, request] : queue.waiting) {
      all.push_back(request);
    }
  }
  return all;
}

}  // namespace ebony
