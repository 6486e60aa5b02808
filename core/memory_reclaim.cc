#include "core/memory_reclaim.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ebony {

namespace {

// A request of which less than a small part has arrived for this long makes no
// progress.
constexpr duration kStallTime = std::chrono::seconds(1);
constexpr duration kMinIdleTime = std::chrono::milliseconds(250);

auto IsStalled(const caller_holding& item, mono_time now) -> bool {
  return now - item.last_progress >= kStallTime;
}

auto IsStalledRequest(const caller_holding& item, mono_time now) -> bool {
  return item.activity == caller_activity::receiving && IsStalled(item, now);
}

auto SortByProgress(std::vector<caller_holding>& holdings) -> void {
  std::sort(holdings.begin(), holdings.end(),
            [](const caller_holding& left, const caller_holding& right) {
              return std::pair(left.last_progress, left.id) <
                     std::pair(right.last_progress, right.id);
            });
}

// Collects connections until they hold enough.
class reclaim_list {
  std::uint64_t wanted_;
  std::uint64_t found_ = 0;
  std::vector<reclaim> items_;

 public:
  explicit reclaim_list(std::uint64_t wanted) : wanted_(wanted) {}

  auto Add(const caller_holding& item,
           std::uint64_t bytes,
           reclaim_reason reason) -> void {
    items_.push_back({item.id, reason});
    found_ += bytes;
  }
  auto IsEnough() const -> bool { return found_ >= wanted_; }
  auto TakeItems() -> std::vector<reclaim> { return std::move(items_); }
};

auto AddStalled(const std::vector<caller_holding>& holdings,
                const reclaim_request& request,
                mono_time now,
                reclaim_list& list) -> void {
  for (const auto& item : holdings) {
    if (list.IsEnough()) {
      return;
    }
    const auto counts = request.verdict != memory_verdict::over_share ||
                        item.client == request.client;
    if (counts && IsStalledRequest(item, now)) {
      list.Add(item, item.bytes, reclaim_reason::no_progress);
    } else if (counts && item.unread_bytes > 0 && IsStalled(item, now)) {
      list.Add(item, item.bytes, reclaim_reason::unread_answer);
    }
  }
}

auto AddOverShare(const std::vector<caller_holding>& holdings,
                  const reclaim_request& request,
                  mono_time now,
                  reclaim_list& list) -> void {
  auto held = std::map<client_address, std::uint64_t>();
  for (const auto& item : holdings) {
    held[item.client] += item.bytes;
  }
  for (auto item = holdings.rbegin(); item != holdings.rend(); ++item) {
    const auto is_open = item->activity == caller_activity::receiving ||
                         item->activity == caller_activity::waiting;
    if (list.IsEnough()) {
      return;
    }
    if (item->client != request.client && is_open &&
        !IsStalledRequest(*item, now) && held[item->client] > request.share) {
      held[item->client] -= item->bytes;
      list.Add(*item, item->bytes, reclaim_reason::over_share);
    }
  }
}

}  // namespace

auto ChooseReclaims(std::vector<caller_holding> holdings,
                    const reclaim_request& request,
                    mono_time now) -> std::vector<reclaim> {
  SortByProgress(holdings);
  auto list = reclaim_list(request.bytes);
  AddStalled(holdings, request, now, list);
  if (request.verdict == memory_verdict::no_room) {
    AddOverShare(holdings, request, now, list);
  }
  return list.IsEnough() ? list.TakeItems() : std::vector<reclaim>();
}

auto ChooseUnread(std::vector<caller_holding> holdings, std::uint64_t bytes)
    -> std::vector<reclaim> {
  SortByProgress(holdings);
  auto list = reclaim_list(bytes);
  for (const auto& item : holdings) {
    if (!list.IsEnough() && item.unread_bytes > 0) {
      list.Add(item, item.unread_bytes, reclaim_reason::unread_answer);
    }
  }
  return list.TakeItems();
}

auto ChooseConnections(std::vector<caller_holding> holdings,
                       std::size_t count,
                       mono_time now) -> std::vector<reclaim> {
  SortByProgress(holdings);
  auto idle = std::vector<reclaim>();
  auto stalled = std::vector<reclaim>();
  for (const auto& item : holdings) {
    if (item.activity == caller_activity::idle && item.unread_bytes == 0 &&
        now - item.last_progress >= kMinIdleTime && idle.size() < count) {
      idle.push_back({item.id, reclaim_reason::idle});
    } else if (IsStalledRequest(item, now) && stalled.size() < count) {
      stalled.push_back({item.id, reclaim_reason::no_progress});
    }
  }
  return idle.empty() ? stalled : idle;
}

}  // namespace ebony
