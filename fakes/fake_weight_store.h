#ifndef EBONY_FAKES_FAKE_WEIGHT_STORE_H_
#define EBONY_FAKES_FAKE_WEIGHT_STORE_H_

#include <mutex>

#include "core/ids.h"

namespace ebony {

// A simulated weight store with a rate limit. The starts of loads are spaced by
// `loads_per_second`. Up to `at_full_speed` concurrent loads take `load_time`
// each; with more, each further load takes longer in proportion. Thread-safe.
class fake_weight_store {
  double loads_per_second_;
  unsigned at_full_speed_;
  duration load_time_;
  std::mutex mutex_;
  mono_time next_start_;
  unsigned active_ = 0;
  std::uint64_t loads_ = 0;

 public:
  fake_weight_store(double loads_per_second,
                    unsigned at_full_speed,
                    duration load_time);

  // Begins a load and returns the time at which it completes.
  auto Begin(mono_time now) -> mono_time;
  // Ends a load, whether it has completed or not.
  auto End() -> void;
  // Number of loads begun.
  auto get_loads() -> std::uint64_t;
};

}  // namespace ebony

#endif  // EBONY_FAKES_FAKE_WEIGHT_STORE_H_
