#ifndef EBONY_CONTROL_TRIAL_ALLOCATOR_H_
#define EBONY_CONTROL_TRIAL_ALLOCATOR_H_

#include <map>
#include <set>
#include <vector>

#include "core/crash_record.h"
#include "core/ids.h"

namespace ebony {

// Lends each suspect key to one gateway at a time, which may send one request
// with it to a server. Used by the leader.
class trial_allocator {
  struct trial {
    vm_name holder;
    mono_time renewed;
  };

  std::map<suspect_key, trial> trials_;
  mono_time not_before_;

 public:
  // A holder that has not asked again for this long is gone.
  static constexpr duration kLease = std::chrono::milliseconds(1500);
  // A new leader lends nothing for this long, in which the holders under the
  // former one ask it.
  static constexpr duration kTakeoverDelay = std::chrono::milliseconds(500);

  // Starts anew, as the leader from `now` on.
  auto Restart(mono_time now) -> void;
  // Takes all keys that the gateway on `vm` wants or holds, and returns those
  // that it holds from now on. It gives back what it does not list.
  auto Request(const vm_name& vm,
               const std::vector<suspect_key>& keys,
               mono_time now) -> std::vector<suspect_key>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_TRIAL_ALLOCATOR_H_
