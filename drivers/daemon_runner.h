#ifndef EBONY_DRIVERS_DAEMON_RUNNER_H_
#define EBONY_DRIVERS_DAEMON_RUNNER_H_

#include <functional>

namespace ebony {

// Runs ACE's reactor on the calling thread until SIGTERM or SIGINT, or until
// `is_done` returns true. `on_tick` is called about ten times a second. A
// second signal returns at once.
auto RunUntilSignal(const std::function<void()>& on_tick,
                    const std::function<void()>& on_signal,
                    const std::function<bool()>& is_done) -> void;

// Calls `body` and turns its exceptions into a message and an exit code.
auto RunProgram(const std::function<int()>& body) -> int;

}  // namespace ebony

#endif  // EBONY_DRIVERS_DAEMON_RUNNER_H_
