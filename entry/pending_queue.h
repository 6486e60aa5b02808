#ifndef EBONY_ENTRY_PENDING_QUEUE_H_
#define EBONY_ENTRY_PENDING_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/ids.h"

namespace ebony {

// Place of a waiting request: the more urgent rank first, then the earlier
// time by which it has to start.
struct queue_position {
  int rank = 0;
  mono_time start_by;
  std::uint64_t number = 0;  // of arrival

  friend auto operator<=>(const queue_position&, const queue_position&)
      -> std::strong_ordering = default;
};

// Requests that wait for room at a server, or for a model that is on its way.
// Bounded: the last in order makes way for one that goes before it.
template <typename Session>
class pending_queue {
  std::size_t capacity_;
  std::map<queue_position, std::shared_ptr<Session>> waiting_;
  std::uint64_t arrivals_ = 0;

 public:
  explicit pending_queue(std::size_t capacity) : capacity_(capacity) {}

  // Adds a session and returns its place, or nothing when there is no room for
  // it. The one that had to make way is returned in `displaced`.
  auto Add(int rank,
           mono_time start_by,
           std::shared_ptr<Session> session,
           std::shared_ptr<Session>& displaced)
      -> std::optional<queue_position> {
    const auto place = queue_position{rank, start_by, ++arrivals_};
    if (waiting_.size() >= capacity_) {
      const auto last = std::prev(waiting_.end());
      if (last->first < place) {
        return std::nullopt;
      }
      displaced = last->second;
      waiting_.erase(last);
    }
    waiting_.emplace(place, std::move(session));
    return place;
  }

  auto Remove(const queue_position& place) -> void { waiting_.erase(place); }

  // Calls `visit` for each session in order, on a copy of the list.
  auto ForEach(
      const std::function<void(const std::shared_ptr<Session>&)>& visit) const
      -> void {
    const auto copy = waiting_;
    for (const auto& [place, session] : copy) {
      visit(session);
    }
  }

  auto get_size() const -> std::size_t { return waiting_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_PENDING_QUEUE_H_
