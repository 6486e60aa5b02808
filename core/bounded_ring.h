#ifndef EBONY_CORE_BOUNDED_RING_H_
#define EBONY_CORE_BOUNDED_RING_H_

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace ebony {

// A bounded queue between the threads of two duties. Any number of threads may
// push; one thread pops. A push to a full ring is refused and counted, and the
// pusher decides what its duty loses.
template <typename T>
class bounded_ring {
  boost::lockfree::queue<T*> queue_;
  std::function<void()> wake_;
  std::atomic<std::uint64_t> refused_{0};

 public:
  // `capacity` is a count of items; `wake` is called after each push, from the
  // pushing thread, to rouse the thread that pops.
  bounded_ring(std::size_t capacity, std::function<void()> wake)
      : queue_(capacity), wake_(std::move(wake)) {}

  bounded_ring(const bounded_ring&) = delete;
  auto operator=(const bounded_ring&) -> bounded_ring& = delete;

  ~bounded_ring() {
    while (auto item = Pop()) {
    }
  }

  // Returns false, and leaves the item out, when the ring is full.
  auto Push(T item) -> bool {
    auto owned = std::make_unique<T>(std::move(item));
    if (!queue_.bounded_push(owned.get())) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    static_cast<void>(owned.release());
    wake_();
    return true;
  }

  // Returns the oldest item, or null when the ring is empty.
  auto Pop() -> std::unique_ptr<T> {
    T* item = nullptr;
    if (!queue_.pop(item)) {
      return nullptr;
    }
    return std::unique_ptr<T>(item);
  }

  auto get_refused() const -> std::uint64_t {
    return refused_.load(std::memory_order_relaxed);
  }
};

}  // namespace ebony

#endif  // EBONY_CORE_BOUNDED_RING_H_
