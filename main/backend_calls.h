#ifndef EBONY_MAIN_BACKEND_CALLS_H_
#define EBONY_MAIN_BACKEND_CALLS_H_

#include <string>

#include "control/order_dispatcher.h"
#include "drivers/http_client.h"
#include "entry/request_coordinator.h"

namespace ebony {

// Time limit of an order's exchange.
constexpr auto kOrderTimeout = std::chrono::milliseconds(2000);

// Build the calls to backend servers, without callbacks. Each call has a
// connection of its own, so that it cannot get the answer of another one.

// Returns the call that forwards a caller's request.
auto MakeAttemptCall(const dispatch_action& attempt,
                     const http_request& request) -> http_call;
// `order_key` is empty when orders are not authenticated.
auto MakeOrderCall(const order_send& send, const std::string& order_key)
    -> http_call;

}  // namespace ebony

#endif  // EBONY_MAIN_BACKEND_CALLS_H_
