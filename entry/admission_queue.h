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

struct waiting_request {
  request_id id;
  caller_name caller;
  priority_class priority = priority_class::interactive;
  mono_time deadline;
};

// Requests that wait for room at a backend server. Urgent classes go first, but
// one pick in `kLowClassShare` starts from the lowest class, so that a low
// class still progresses. Within a class callers take turns by start-time fair
// queueing, and one caller's requests go by deadline.
// Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996.
class admission_queue {
  struct position {
    std::uint64_t turn = 0;
    mono_time deadline;
    request_id id;

    friend auto operator<=>(const position&, const position&)
        -> std::strong_ordering = default;
  };
  struct class_queue {
    std::map<position, waiting_request> waiting;
    std::map<caller_name, std::uint64_t> next_turn;
    std::uint64_t virtual_time = 0;
  };

  std::size_t capacity_;
  std::array<class_queue, kPriorityClassCount> classes_;
  std::map<request_id, std::pair<int, position>> index_;
  std::uint64_t picks_ = 0;

  auto PickFrom(class_queue& queue,
                const std::function<bool(const waiting_request&)>& can_go)
      -> std::optional<waiting_request>;

 public:
  static constexpr std::uint64_t kLowClassShare = 8;

  // `capacity` is a count of requests.
  explicit admission_queue(std::size_t capacity);

  // Returns false when the queue is full. A full queue makes room for a more
  // urgent request by dropping the last of the lowest class, which is returned
  // in `dropped`.
  auto Add(waiting_request request, std::optional<waiting_request>& dropped)
      -> bool;
  // Takes the next request that `can_go` admits.
  auto Pick(const std::function<bool(const waiting_request&)>& can_go)
      -> std::optional<waiting_request>;
  auto Remove(request_id id) -> void;

  // Requests that go before a new one of this class.
  auto CountAhead(priority_class priority) const -> std::size_t;
  auto ListAll() const -> std::vector<waiting_request>;
  auto get_size() const -> std::size_t { return index_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ADMISSION_QUEUE_H_
