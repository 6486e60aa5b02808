#ifndef EBONY_DRIVERS_CONNECTION_CHECK_H_
#define EBONY_DRIVERS_CONNECTION_CHECK_H_

#include <functional>
#include <string>

#include "core/ids.h"
#include "drivers/event_loop.h"

namespace ebony {

enum class connection_state {
  accepted,  // something listens at the address
  refused,   // nothing does
  cut_off,   // something accepts connections, but ends them without an answer
  unknown,   // no answer within the time limit
};

// Opens a connection to `address`, sends nothing on it and closes it. `on_done`
// is called once, after this call has returned.
auto CheckConnection(event_loop& loop,
                     const host_port& address,
                     duration time_limit,
                     std::function<void(connection_state)> on_done) -> void;

// The same, but sends `bytes`, the complete request, and waits for the head of
// the final answer: `accepted` only if one comes. What is no answer counts as
// `cut_off`.
auto CheckAnswer(event_loop& loop,
                 const host_port& address,
                 const std::string& bytes,
                 duration time_limit,
                 std::function<void(connection_state)> on_done) -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_CONNECTION_CHECK_H_
