#ifndef EBONY_CONTROL_TRANSFER_LIMITER_H_
#define EBONY_CONTROL_TRANSFER_LIMITER_H_

#include "core/ids.h"

namespace ebony {

// Bounds how often the leader sends its whole registry. After a change of
// leader all gateways need it again; if the leader answered them one after the
// other, it would have no time left for the votes and heartbeats that keep it
// leader. The others get it from relays.
class transfer_limiter {
  mono_time next_;

 public:
  // Time between two transfers.
  static constexpr duration kInterval = std::chrono::milliseconds(50);

  // Returns true if a transfer may be made now, and counts it.
  auto TryTake(mono_time now) -> bool {
    if (now < next_) {
      return false;
    }
    next_ = now + kInterval;
    return true;
  }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_TRANSFER_LIMITER_H_
