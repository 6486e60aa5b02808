#ifndef EBONY_CONTROL_SLOT_LEDGER_H_
#define EBONY_CONTROL_SLOT_LEDGER_H_

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace ebony {

// Which daemons hold how many slots of one backend server: their requests in
// flight there and the permits for more. What a daemon holds lapses when it
// stops to report. A rejection by the server shows that it has room for less
// than its slots, so one is withheld for a time.
class slot_ledger {
  struct holding {
    std::uint32_t slots = 0;
    mono_time reported;
  };

  std::map<vm_name, holding> holdings_;
  std::uint32_t capacity_ = 0;
  double withheld_ = 0;  // slots, as of `withheld_at_`
  mono_time withheld_at_;

  auto GetWithheld(mono_time now) const -> double;

 public:
  // A daemon that has not reported for this long holds nothing.
  static constexpr duration kHoldTime = std::chrono::milliseconds(1500);
  // Rejections within this time are of one cause, and withhold one slot.
  static constexpr duration kRejectionInterval = std::chrono::milliseconds(200);
  // Slots a second that are no longer withheld.
  static constexpr double kReleaseRate = 1.0;

  auto SetCapacity(std::uint32_t slots) -> void { capacity_ = slots; }
  // Replaces what the daemon on `vm` holds.
  auto Report(const vm_name& vm, std::uint32_t slots, mono_time now) -> void;
  // The server has turned a request away for want of room.
  auto OnRejected(mono_time now) -> void;
  // The daemon on `vm` gets one more slot until its next report.
  auto Grant(const vm_name& vm, mono_time now) -> void;
  // Returns the slots that all daemons hold.
  auto CountHeld(mono_time now) const -> std::uint32_t;
  // Returns the slots that nobody holds.
  auto CountFree(mono_time now) const -> std::uint32_t;
  // Drops the daemons that hold nothing.
  auto Expire(mono_time now) -> void;
  auto is_empty() const -> bool { return holdings_.empty(); }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_SLOT_LEDGER_H_
