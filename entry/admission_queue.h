#ifndef EBONY_ENTRY_ADMISSION_QUEUE_H_
#define EBONY_ENTRY_ADMISSION_QUEUE_H_

#include <array>
#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Scheduling attributes of a request in the admission queue.
struct waiting_request {
  request_id id;
  caller_name caller;
  priority_class priority = priority_class::interactive;
  mono_time deadline;
};

// Bounded queue of requests that wait for capacity at a backend server. Higher
// priority classes are served first, but one pick in `kLowestFirstInterval`
// starts from the lowest class to prevent starvation. Within a class, callers
// are scheduled by start-time fair queueing, and the requests of one caller by
// earliest deadline.
// Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996.
class admission_queue {
  // Order of the requests of one class.
  struct sort_key {
    std::uint64_t tag = 0;
    mono_time deadline;
    request_id id;

    friend auto operator<=>(const sort_key&, const sort_key&)
        -> std::strong_ordering = default;
  };
  struct class_queue {
    std::map<sort_key, waiting_request> waiting;
    // Tag of the last request that each caller added.
    std::map<caller_name, std::uint64_t> last_tags;
    std::uint64_t virtual_time = 0;
  };

  std::size_t capacity_;
  std::array<class_queue, kPriorityClassCount> classes_;
  std::map<request_id, std::pair<int, sort_key>> index_;
  std::uint64_t picks_ = 0;

  auto PickFrom(class_queue& queue,
                const std::function<bool(const waiting_request&)>& can_dispatch)
      -> std::optional<waiting_request>;

 public:
  // Counted in picks.
  static constexpr std::uint64_t kLowestFirstInterval = 8;

  // `capacity` is the maximum number of queued requests.
  explicit admission_queue(std::size_t capacity);

  // Returns false when the queue is full. A full queue admits a request of a
  // higher class by evicting the last request of the lowest class, which is
  // returned in `evicted`.
  auto Add(waiting_request request, std::optional<waiting_request>& evicted)
      -> bool;
  // Removes and returns the next request for which `can_dispatch` returns true,
  // or std::nullopt when there is none.
  auto Pick(const std::function<bool(const waiting_request&)>& can_dispatch)
      -> std::optional<waiting_request>;
  auto Remove(request_id id) -> void;

  // Returns the number of queued requests of this class and of higher ones.
  auto CountAhead(priority_class priority) const -> std::size_t;
  // Returns copies of all requests, the highest class first.
  auto ListAll() const -> std::vector<waiting_request>;
  auto get_size() const -> std::size_t { return index_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ADMISSION_QUEUE_H_
