#ifndef EBONY_CONTROL_DRAIN_ACKS_H_
#define EBONY_CONTROL_DRAIN_ACKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Delays the acknowledgement of a backend server's departure until every live
// gateway has been sent the registry revision that contains it, so that the
// departure is not lost if the leader fails right after acknowledging it.
// Gateways that have timed out are not waited for.
class drain_acks {
  struct gateway {
    std::uint64_t sent_revision = 0;  // newest registry revision sent to it
    mono_time last_seen;
  };
  struct pending_ack {
    std::uint64_t revision = 0;
    mono_time deadline;
    std::function<void(bool)> done;
  };

  std::map<vm_name, gateway> gateways_;
  std::vector<pending_ack> pending_;
  mono_time dropped_;  // when expired gateways were last looked for

  auto IsPropagated(std::uint64_t revision, mono_time now) const -> bool;
  auto GetGatewayTimeout() const -> duration;

 public:
  // Maximum delay of an acknowledgement. Callers of the announcement interface
  // time out after one second.
  static constexpr duration kMaxWait = std::chrono::milliseconds(800);

  // Calls `done` with true once every live gateway has been sent `revision`, or
  // with false when kMaxWait has elapsed or the leadership has changed; the
  // announcing backend server then retries.
  auto Wait(std::uint64_t revision,
            mono_time now,
            std::function<void(bool)> done) -> void;
  // Records that `revision` was sent to the gateway on `vm` at `now`. A report
  // older than the last one of this gateway is ignored.
  auto OnRevisionSent(const vm_name& vm, std::uint64_t revision, mono_time now)
      -> void;
  // Completes the acknowledgements that are due and drops expired gateways.
  auto Tick(mono_time now) -> void;
  // Fails all pending acknowledgements and drops all gateways. Called when this
  // coordinator gains or loses the leadership.
  auto Clear() -> void;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_DRAIN_ACKS_H_
