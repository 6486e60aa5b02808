#ifndef EBONY_DRIVERS_WAKEUP_EVENT_H_
#define EBONY_DRIVERS_WAKEUP_EVENT_H_

#include "core/ids.h"

namespace ebony {

// Wakes a waiting thread through an eventfd. Any thread may notify; only one
// may wait.
class wakeup_event {
  int fd_;

 public:
  wakeup_event();
  ~wakeup_event();
  wakeup_event(const wakeup_event&) = delete;
  auto operator=(const wakeup_event&) -> wakeup_event& = delete;

  // Wakes the waiting thread, or the next one that waits.
  auto Notify() -> void;
  // Blocks until a notification arrives or `limit` has passed. Pending
  // notifications are discarded.
  auto Wait(duration limit) -> void;
  // Discards pending notifications.
  auto Drain() -> void;

  // Descriptor that is readable while a notification is pending.
  auto get_fd() const -> int { return fd_; }
};

// Returns the current time of the monotonic clock.
auto GetNow() -> mono_time;

}  // namespace ebony

#endif  // EBONY_DRIVERS_WAKEUP_EVENT_H_
