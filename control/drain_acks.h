#ifndef EBONY_CONTROL_DRAIN_ACKS_H_
#define EBONY_CONTROL_DRAIN_ACKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Holds back the acknowledgement that a backend server leaves until every live
// gateway has been told, so that a leader lost right after it takes nothing
// with it. A gateway that falls silent is not waited for.
class drain_acks {
  struct gateway {
    std::uint64_t told = 0;  // newest roster revision that was sent to it
    mono_time heard;
  };
  struct waiting {
    std::uint64_t revision = 0;
    mono_time until;
    std::function<void(bool)> done;
  };

  std::map<vm_name, gateway> gateways_;
  std::vector<waiting> waiting_;

  auto IsTold(std::uint64_t revision, mono_time now) const -> bool;
  auto GetSilenceLimit() const -> duration;

 public:
  // Longest wait; callers of the announcement interface wait a second.
  static constexpr duration kLimit = std::chrono::milliseconds(800);

  // Calls `done` with true once everybody knows `revision`, with false when
  // that takes too long; the caller then comes again.
  auto Wait(std::uint64_t revision,
            mono_time now,
            std::function<void(bool)> done) -> void;
  // Word that is older than what is known of the gateway changes nothing.
  auto OnRevisionSent(const vm_name& vm, std::uint64_t revision, mono_time now)
      -> void;
  auto Tick(mono_time now) -> void;
  // This is not the leader any more, or a new one.
  auto Clear() -> void;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_DRAIN_ACKS_H_
