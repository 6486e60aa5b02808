#ifndef EBONY_CONTROL_ORDER_DISPATCHER_H_
#define EBONY_CONTROL_ORDER_DISPATCHER_H_

#include <map>
#include <utility>
#include <vector>

#include "control/control_state.h"

namespace ebony {

struct order_dispatcher_options {
  // Time between two sends of an open order.
  duration retry_interval = std::chrono::milliseconds(1000);
  // Timeout of one exchange with an engine.
  duration exchange_timeout = std::chrono::milliseconds(2000);
  // Upper bound for the time that a copy of an order can remain in flight after
  // its exchange failed, and for the pause of a leader between its leadership
  // check and its send. Relied on only for engines that ignore fencing numbers.
  duration max_delivery_delay = std::chrono::milliseconds(5000);
};

// An open order that is to be sent to its engine.
struct order_send {
  order body;
  host_port address;
  incarnation run;
};

// Decides, on the leader, when open orders are sent and when their outcome is
// known. Its state need not be durable: a new leader reads the open orders from
// the replicated control state and sends them again.
class order_dispatcher {
  struct send_state {
    mono_time next_send;
    int exchanges_in_flight = 0;
    // An exchange whose outcome is never reported counts as in flight until
    // then.
    mono_time in_flight_until;
    // Until then, a copy whose exchange failed may still reach the engine.
    mono_time late_copy_until;
    // The newest announcement shows the order as applied, so it is not resent.
    bool is_applied = false;
  };

  order_dispatcher_options options_;
  mono_time leader_since_;
  std::map<order_id, send_state> sends_;

  auto MayStillArrive(const backend_state& backend,
                      const order& open,
                      mono_time now) const -> bool;

 public:
  order_dispatcher(order_dispatcher_options options, mono_time leader_since);

  // Returns the open orders that are due and counts an exchange of each as in
  // flight.
  auto StartDueSends(const control_data& data, mono_time now)
      -> std::vector<order_send>;
  // Ends an exchange that the engine answered: its copy has been received.
  auto OnAnswered(order_id id) -> void;
  // Ends an exchange that failed: its copy may still arrive.
  auto OnFailed(order_id id, mono_time now) -> void;

  // Returns a resolution for each open order that `report` proves applied and
  // that no late copy can apply again, and one with order id 0 for each
  // accelerator without an open order whose state differs from the ledger.
  auto FindResolutions(const control_data& data,
                       const backend_announcement& report,
                       mono_time now) -> std::vector<resolve_order_command>;
  // Drops the send state of orders that are no longer open.
  auto PruneClosed(const control_data& data) -> void;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_ORDER_DISPATCHER_H_
