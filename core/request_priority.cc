#include "core/request_priority.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr int kLeastUrgent = 9;
constexpr int kRoutePriorities = 10;
// Of the ten that engines know, for each of three organisations' priorities.
constexpr int kEngineRoutePriorities = 3;

}  // namespace

auto GetRequestRank(std::optional<int> organisation_priority,
                    int route_priority) -> int {
  if (!organisation_priority) {
    return route_priority;
  }
  return std::clamp(*organisation_priority, 0, kLeastUrgent) *
             kRoutePriorities +
         std::clamp(route_priority, 0, kRoutePriorities - 1);
}

auto GetEnginePriority(std::optional<int> organisation_priority,
                       int route_priority) -> int {
  if (!organisation_priority) {
    return std::clamp(route_priority, 0, kLeastUrgent);
  }
  const auto rank =
      std::max(0, *organisation_priority) * kEngineRoutePriorities +
      std::clamp(route_priority, 0, kEngineRoutePriorities - 1);
  return std::min(rank, kLeastUrgent);
}

}  // namespace ebony
