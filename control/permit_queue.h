#ifndef EBONY_CONTROL_PERMIT_QUEUE_H_
#define EBONY_CONTROL_PERMIT_QUEUE_H_

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace ebony {

// Decides which daemon gets the next permit for requests to one backend server.
// Daemons with requests that wait come before those that expect requests;
// otherwise they take turns. A daemon gets permits only as it asks, so that
// they are used at once; when the one whose turn it is does not ask within
// `kReservation`, the next that asks gets the permit.
class permit_queue {
  struct requester {
    std::uint32_t waiting = 0;   // requests that wait for a permit
    std::uint32_t expected = 0;  // further requests that may arrive soon
    std::uint64_t turn = 0;      // of its latest permit; 0 before the first
    mono_time last_request;
  };

  std::map<vm_name, requester> requesters_;
  std::uint64_t last_turn_ = 0;

  // Returns true if another daemon should get a permit before `item`.
  auto IsAnotherFirst(const requester& item) const -> bool;

 public:
  // A daemon that has not asked for this long no longer counts.
  static constexpr duration kRequesterTimeout = std::chrono::milliseconds(700);
  // Time for which a permit is kept for the daemon whose turn it is.
  static constexpr duration kReservation = std::chrono::milliseconds(60);

  // Replaces what the daemon on `vm` asks for.
  auto Request(const vm_name& vm,
               std::uint32_t waiting,
               std::uint32_t expected,
               mono_time now) -> void;
  // Gives the daemon on `vm` a permit that has been available for `age`.
  // Returns false if it does not need one, or has to leave it to another.
  auto TryTake(const vm_name& vm, duration age) -> bool;
  // Drops the daemons that no longer ask.
  auto Expire(mono_time now) -> void;
  // What all daemons ask for.
  auto get_waiting() const -> std::uint32_t;
  auto get_expected() const -> std::uint32_t;
  auto is_empty() const -> bool { return requesters_.empty(); }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PERMIT_QUEUE_H_
