#ifndef EBONY_CONTROL_PERMIT_ALLOCATOR_H_
#define EBONY_CONTROL_PERMIT_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "control/permit_queue.h"
#include "control/slot_ledger.h"
#include "core/ids.h"
#include "core/permit_report.h"
#include "core/request_limit.h"

namespace ebony {

// Grants the permits without which no request may be sent to a backend server
// that limits its requests. For a rate, they become due one after another,
// slightly slower than the limit, so that no window holds more than the limit
// allows however the requests are spread over the gateways. For a server that
// falls over when it has to reject many requests, they are its slots: whoever
// holds one may have one request there at a time. Used by the leader.
class permit_allocator {
  struct server_state {
    std::uint64_t start_time_ms = 0;
    std::optional<request_rate> rate;
    mono_time next_due;  // of the next permit by the rate
    bool has_slots = false;
    slot_ledger slots;
    mono_time slots_not_before;  // no slot is granted earlier
    permit_queue queue;
  };

  std::map<backend_name, server_state> servers_;
  mono_time not_before_;  // no permit is due earlier
  double reachable_share_ = 1;

  auto GetInterval(const server_state& server) const -> duration;
  auto SetSlots(server_state& server,
                const limited_server& limited,
                bool is_new,
                mono_time now) -> void;
  // Returns the time for which a permit has been available, negative if none
  // is.
  auto GetAvailability(const server_state& server, mono_time now) const
      -> duration;
  // Returns the time for which the next permit has been due, negative before.
  auto GetAge(const server_state& server, mono_time now) const -> duration;

 public:
  // Fraction of a limit that is granted. The rest covers permits that are used
  // late, in the window after the one in which they were granted.
  static constexpr double kGrantedFraction = 0.93;
  // A permit that nobody asks for stays due for half of the interval between
  // permits, and permits of fast servers for this long.
  static constexpr duration kMinBacklog = std::chrono::milliseconds(120);
  // A new leader grants nothing for this long, in which the permits of the
  // former one expire.
  static constexpr duration kTakeoverDelay = std::chrono::milliseconds(800);

  // Slots of a server that has started and not answered yet: more follow once
  // it has.
  static constexpr std::uint32_t kFirstSlots = 2;

  // Starts anew, as the leader from `now` on.
  auto Restart(mono_time now) -> void;
  // Sets the limit of a server, or that it has none.
  auto SetLimit(const limited_server& limited, mono_time now) -> void;
  // Sets the share of the gateways that sync. The others may use their part of
  // each limit on their own, so it is not granted.
  auto SetReachableShare(double share) -> void { reachable_share_ = share; }
  // Takes the report of the gateway or relay on `vm`. Ignored for a server
  // without a limit.
  auto Request(const vm_name& vm, const permit_report& report, mono_time now)
      -> void;
  // Returns the permits that are granted to the gateway or relay on `vm` now.
  auto Take(const vm_name& vm, mono_time now) -> permit_counts;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PERMIT_ALLOCATOR_H_
