#ifndef EBONY_DRIVERS_WAKEUP_EVENT_H_
#define EBONY_DRIVERS_WAKEUP_EVENT_H_

#include "core/ids.h"

namespace ebony {

// Rouses a duty's thread from another one. Any thread may notify; one waits.
class wakeup_event {
  int fd_;

 public:
  wakeup_event();
  ~wakeup_event();
  wakeup_event(const wakeup_event&) = delete;
  auto operator=(const wakeup_event&) -> wakeup_event& = delete;

  auto Notify() -> void;
  // Returns after a notification or after `limit`, whichever is first.
  auto Wait(duration limit) -> void;
  // Takes back earlier notifications.
  auto Drain() -> void;

  auto get_fd() const -> int { return fd_; }
};

// The monotonic time of this process.
auto GetNow() -> mono_time;

}  // namespace ebony

#endif  // EBONY_DRIVERS_WAKEUP_EVENT_H_
