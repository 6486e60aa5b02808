#ifndef EBONY_CORE_BOUNDED_QUEUE_H_
#define EBONY_CORE_BOUNDED_QUEUE_H_

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace ebony {

// A bounded lock-free queue between threads, with many producers and one
// consumer. A push to a full queue fails and is counted; the producer decides
// how to handle the lost item.
template <typename T>
class bounded_queue {
  boost::lockfree::queue<T*> queue_;
  std::function<void()> wake_;
  std::atomic<std::uint64_t> rejected_{0};

 public:
  // `capacity` is a number of items. `wake` is called after each push, on the
  // producer's thread, to wake the consumer.
  bounded_queue(std::size_t capacity, std::function<void()> wake)
      : queue_(capacity), wake_(std::move(wake)) {}

  bounded_queue(const bounded_queue&) = delete;
  auto operator=(const bounded_queue&) -> bounded_queue& = delete;

  ~bounded_queue() {
    while (auto item = Pop()) {
    }
  }

  // Returns false and drops the item when the queue is full.
  auto Push(T item) -> bool {
    auto owned = std::make_unique<T>(std::move(item));
    if (!queue_.bounded_push(owned.get())) {
      rejected_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    static_cast<void>(owned.release());
    wake_();
    return true;
  }

  // Returns the oldest item, or nullptr when the queue is empty.
  auto Pop() -> std::unique_ptr<T> {
    T* item = nullptr;
    if (!queue_.pop(item)) {
      return nullptr;
    }
    return std::unique_ptr<T>(item);
  }

  // Number of pushes that failed because the queue was full.
  auto get_rejected() const -> std::uint64_t {
    return rejected_.load(std::memory_order_relaxed);
  }
};

}  // namespace ebony

#endif  // EBONY_CORE_BOUNDED_QUEUE_H_
