#ifndef EBONY_DRIVERS_EVENT_LOOP_H_
#define EBONY_DRIVERS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "core/ids.h"

namespace ebony {

// What a descriptor is ready for.
struct io_readiness {
  bool can_read = false;   // also true at end of stream and on errors
  bool can_write = false;  // also true on errors
};

using timer_id = strong_type<struct timer_tag, std::uint64_t>;

// One thread's reactor over epoll: descriptors and timers. The hooks run on the
// thread that calls `Run`, and may add and remove descriptors and timers.
// ACE's own epoll reactor re-arms every descriptor with a system call per
// event; docs/DECISIONS has the figure.
class event_loop {
  using io_hook = std::function<void(io_readiness)>;
  struct watch {
    std::uint32_t generation = 0;  // tells a reused descriptor from the former
    bool wants_read = false;
    bool wants_write = false;
    io_hook hook;
  };
  struct timer {
    timer_id id;
    std::function<void()> hook;
  };

  int epoll_fd_ = -1;
  std::uint32_t next_generation_ = 1;
  std::uint64_t next_timer_ = 1;
  mono_time now_;
  std::unordered_map<int, std::shared_ptr<watch>> watches_;
  std::multimap<mono_time, timer> timers_;
  std::unordered_map<std::uint64_t, mono_time> timer_times_;

  auto Control(int operation, int fd, const watch& entry) -> void;
  auto RunTimers() -> void;
  auto GetWait() const -> int;
  auto Dispatch(std::uint64_t token, std::uint32_t events) -> void;

 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  auto operator=(const event_loop&) -> event_loop& = delete;

  // Descriptors. A descriptor is watched once.
  auto AddDescriptor(int fd, bool wants_read, bool wants_write, io_hook hook)
      -> void;
  auto ModifyDescriptor(int fd, bool wants_read, bool wants_write) -> void;
  auto RemoveDescriptor(int fd) -> void;

  // Timers. An id that has fired or was never given is ignored.
  auto AddTimer(mono_time at, std::function<void()> hook) -> timer_id;
  auto AddTimerIn(duration delay, std::function<void()> hook) -> timer_id;
  auto CancelTimer(timer_id id) -> void;

  // Monotonic time, read once for each round of events.
  auto get_now() const -> mono_time { return now_; }
  auto RefreshNow() -> mono_time;

  // Runs until `is_done`, which is asked after each round.
  auto Run(const std::function<bool()>& is_done) -> void;
};

// Calls `tick` every `period` for as long as the loop runs.
auto RepeatEvery(event_loop& loop, duration period, std::function<void()> tick)
    -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_EVENT_LOOP_H_
