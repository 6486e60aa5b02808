#ifndef EBONY_DRIVERS_EVENT_LOOP_H_
#define EBONY_DRIVERS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "core/ids.h"

namespace ebony {

// Readiness of a descriptor.
struct io_readiness {
  bool can_read = false;   // also true at end of stream and on errors
  bool can_write = false;  // also true on errors
};

using timer_id = strong_type<struct timer_tag, std::uint64_t>;

// A single-threaded reactor for descriptors and timers, based on epoll. Hooks
// run on the thread that calls `Run`, and may add and remove descriptors and
// timers. ACE's epoll reactor is not used because it re-arms each descriptor
// with a system call per event; docs/DECISIONS has the figure.
class event_loop {
  using io_hook = std::function<void(io_readiness)>;
  struct registration {
    // Tells events of a reused descriptor number from those of the closed one.
    std::uint32_t generation = 0;
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
  mono_time round_began_;
  // The last time, or series of times, for which this process stood still.
  mono_time standstill_began_;
  mono_time standstill_ended_;
  std::unordered_map<int, std::shared_ptr<registration>> registrations_;
  std::multimap<mono_time, timer> timers_;
  std::unordered_map<std::uint64_t, mono_time> timer_times_;

  auto ControlEpoll(int operation, int fd, const registration& entry) -> void;
  auto RunTimers() -> void;
  auto GetWaitMs() const -> int;
  // Begins a round after a wait that should have taken up to `wait`.
  auto BeginRound(duration wait) -> void;
  auto Dispatch(std::uint64_t token, std::uint32_t events) -> void;

 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  auto operator=(const event_loop&) -> event_loop& = delete;

  // Calls `hook` when the descriptor becomes ready. A descriptor can be added
  // only once. Throws ebony_error when epoll rejects it.
  auto AddDescriptor(int fd, bool wants_read, bool wants_write, io_hook hook)
      -> void;
  // Changes the events to wait for. Ignores a descriptor that is not added.
  auto ModifyDescriptor(int fd, bool wants_read, bool wants_write) -> void;
  // Discards pending events of the descriptor as well. Ignores a descriptor
  // that is not added.
  auto RemoveDescriptor(int fd) -> void;

  // Calls `hook` once, when `at` has passed.
  auto AddTimer(mono_time at, std::function<void()> hook) -> timer_id;
  // Calls `hook` once, when `delay` has passed.
  auto AddTimerIn(duration delay, std::function<void()> hook) -> timer_id;
  // Ignores an id that has fired or was never issued.
  auto CancelTimer(timer_id id) -> void;

  // Monotonic time, read once per round of events.
  auto get_now() const -> mono_time { return now_; }
  // Reads the clock and returns the time.
  auto RefreshNow() -> mono_time;

  // Earliest time at which what is handled now may have arrived. It is earlier
  // than now after this process stood still: frozen, suspended or without
  // processor. Delays of less than `kMinStandstill` are not seen.
  auto GetEarliestArrival() const -> mono_time;
  static constexpr duration kMinStandstill = std::chrono::milliseconds(700);

  // Runs until `is_done` returns true; it is called before each round. Throws
  // ebony_error when epoll fails.
  auto Run(const std::function<bool()>& is_done) -> void;
};

// Calls `tick` at once, and then every `period` while the loop runs.
auto RepeatEvery(event_loop& loop, duration period, std::function<void()> tick)
    -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_EVENT_LOOP_H_
