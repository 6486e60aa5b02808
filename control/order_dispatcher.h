#ifndef EBONY_CONTROL_ORDER_DISPATCHER_H_
#define EBONY_CONTROL_ORDER_DISPATCHER_H_

#include <map>
#include <utility>
#include <vector>

#include "control/control_state.h"

namespace ebony {

struct order_dispatcher_options {
  duration retry = std::chrono::milliseconds(1000);
  // Longest time that one exchange with an engine takes.
  duration exchange_limit = std::chrono::milliseconds(2000);
  // Longest time that a copy of an order can still be under way after its
  // exchange failed, and longest pause of a leader between its check and its
  // send. Assumed only for engines that ignore fencing numbers.
  duration hold = std::chrono::milliseconds(5000);
};

// One send of an open order to its engine.
struct order_send {
  order body;
  host_port address;
  incarnation run;
};

// Decides, on the leader, when open orders are sent and when their outcome is
// known. It keeps nothing that must survive: a new leader finds the open orders
// in the control state and sends them again.
class order_dispatcher {
  struct send_state {
    mono_time next_send;
    int exchanges_open = 0;
    // An exchange whose outcome never gets here counts as open until then.
    mono_time open_until;
    // Until then a copy whose exchange failed may still reach the engine.
    mono_time failed_until;
    // The newest announcement shows the order as done: no more sends.
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

  // Returns the open orders that are due; they count as sent.
  auto StartDueSends(const control_data& data, mono_time now)
      -> std::vector<order_send>;
  // The engine answered, so the copy that was sent has been consumed.
  auto OnAnswered(order_id id) -> void;
  // The exchange failed: whether its copy arrives is not known.
  auto OnFailed(order_id id, mono_time now) -> void;

  // Returns the resolutions that an announcement proves, and the states that
  // differ from the ledger without an open order.
  auto FindResolutions(const control_data& data,
                       const backend_announcement& report,
                       mono_time now) -> std::vector<resolve_order_command>;
  // Drops what is kept of orders that are no longer open.
  auto PruneClosed(const control_data& data) -> void;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_ORDER_DISPATCHER_H_
