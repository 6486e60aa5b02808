#ifndef EBONY_DRIVERS_DAEMON_RUNNER_H_
#define EBONY_DRIVERS_DAEMON_RUNNER_H_

#include <functional>

namespace ebony {

// Runs ACE's reactor on the calling thread until `is_done` returns true or a
// second SIGTERM or SIGINT arrives. The first of these signals calls
// `on_signal`. `on_tick` is called about every 100 ms.
auto RunUntilSignal(const std::function<void()>& on_tick,
                    const std::function<void()>& on_signal,
                    const std::function<bool()>& is_done) -> void;

// Runs `body` and returns its exit code. An exception is printed to standard
// error and returned as an exit code: 2 for invalid settings, otherwise
// EXIT_FAILURE.
auto RunProgram(const std::function<int()>& body) -> int;

}  // namespace ebony

#endif  // EBONY_DRIVERS_DAEMON_RUNNER_H_
