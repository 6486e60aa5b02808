#ifndef EBONY_FAKES_FAKE_WEIGHT_STORE_H_
#define EBONY_FAKES_FAKE_WEIGHT_STORE_H_

#include <mutex>

#include "core/ids.h"

namespace ebony {

// A stand-in for the rate-limited weight store. Loads beyond the full-speed
// concurrency share its speed; starts are spaced by the rate.
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

  // Begins a load and returns when it will be done.
  auto Begin(mono_time now) -> mono_time;
  auto End() -> void;
  auto get_loads() -> std::uint64_t;
};

}  // namespace ebony

#endif  // EBONY_FAKES_FAKE_WEIGHT_STORE_H_
