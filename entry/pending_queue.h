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

// The order of queued requests: by rank, then by the time by which they have to
// start, then by work.
struct queue_order {
  int rank = 0;  // a lower rank is more urgent
  mono_time start_by;
  std::uint64_t work = 0;  // the same for all where it does not count

  friend auto operator<=>(const queue_order&, const queue_order&)
      -> std::strong_ordering = default;
};

// Sort key of a queued request: by order, then by arrival.
struct queue_position {
  queue_order order;
  std::uint64_t arrival = 0;

  friend auto operator<=>(const queue_position&, const queue_position&)
      -> std::strong_ordering = default;
};

// Bounded queue of requests that wait for capacity at a server or for a model
// that is being loaded. When it is full, a more urgent request evicts the last
// one.
template <typename Session, typename Less = std::less<queue_position>>
class pending_queue {
  std::size_t capacity_;
  std::map<queue_position, std::shared_ptr<Session>, Less> sessions_;
  std::uint64_t arrivals_ = 0;

 public:
  // `capacity` is a number of sessions.
  explicit pending_queue(std::size_t capacity) : capacity_(capacity) {}

  // Adds a session and returns its position, or std::nullopt when the queue is
  // full and `session` would be the last one. An evicted session is returned in
  // `evicted`.
  auto Add(queue_order order,
           std::shared_ptr<Session> session,
           std::shared_ptr<Session>& evicted) -> std::optional<queue_position> {
    const auto position = queue_position{order, ++arrivals_};
    if (sessions_.size() >= capacity_) {
      const auto last = std::prev(sessions_.end());
      if (sessions_.key_comp()(last->first, position)) {
        return std::nullopt;
      }
      evicted = last->second;
      sessions_.erase(last);
    }
    sessions_.emplace(position, std::move(session));
    return position;
  }

  auto Remove(const queue_position& position) -> void {
    sessions_.erase(position);
  }

  // Calls `visit` for each session in order. It iterates over a copy, so
  // `visit` may add and remove sessions.
  auto ForEach(
      const std::function<void(const std::shared_ptr<Session>&)>& visit) const
      -> void {
    const auto copy = sessions_;
    for (const auto& [position, session] : copy) {
      visit(session);
    }
  }

  auto get_size() const -> std::size_t { return sessions_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_PENDING_QUEUE_H_
