#ifndef EBONY_CONTROL_TRIAL_RELAY_H_
#define EBONY_CONTROL_TRIAL_RELAY_H_

#include <map>
#include <vector>

#include "core/crash_record.h"
#include "core/ids.h"

namespace ebony {

using trial_lists = std::map<vm_name, std::vector<suspect_key>>;

// Passes the requests of gateways for trials on to the leader, and what the
// leader lends them back.
class trial_relay {
  struct request {
    std::vector<suspect_key> keys;
    mono_time received;
  };

  std::map<vm_name, request> requests_;
  trial_lists held_;

 public:
  // A gateway that has not synced for this long is served elsewhere.
  static constexpr duration kGatewayTimeout = std::chrono::milliseconds(1500);

  // Takes all keys that the gateway on `vm` wants or holds, and returns those
  // that the leader lends it.
  auto Request(const vm_name& vm, std::vector<suspect_key> keys, mono_time now)
      -> std::vector<suspect_key>;
  // Returns the latest request of each gateway. An empty one returns what the
  // gateway held.
  auto ListRequests(mono_time now) -> trial_lists;
  // Takes what the leader lends to each gateway.
  auto OnGranted(trial_lists held) -> void;
  // Returns true if some gateway wants a trial.
  auto HasRequests() const -> bool;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_TRIAL_RELAY_H_
