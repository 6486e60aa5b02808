#ifndef EBONY_ENTRY_SMOOTHED_RATE_H_
#define EBONY_ENTRY_SMOOTHED_RATE_H_

#include "core/ids.h"

namespace ebony {

// Events per second, exponentially smoothed.
class smoothed_rate {
  double window_seconds_;
  double value_ = 0;
  mono_time updated_;

 public:
  // `window_seconds` is the time constant of the smoothing.
  explicit smoothed_rate(double window_seconds);

  auto Get(mono_time now) const -> double;
  // Returns the events within the window.
  auto GetCount(mono_time now) const -> double;
  auto Count(mono_time now) -> void;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SMOOTHED_RATE_H_
