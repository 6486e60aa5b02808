#include "entry/smoothed_rate.h"

#include <algorithm>
#include <cmath>

namespace ebony {

smoothed_rate::smoothed_rate(double window_seconds)
    : window_seconds_(window_seconds) {}

auto smoothed_rate::Get(mono_time now) const -> double {
  const auto elapsed =
      std::max(0.0, std::chrono::duration<double>(now - updated_).count());
  return value_ * std::exp(-elapsed / window_seconds_);
}

auto smoothed_rate::GetCount(mono_time now) const -> double {
  return Get(now) * window_seconds_;
}

auto smoothed_rate::Count(mono_time now) -> void {
  value_ = Get(now) + 1 / window_seconds_;
  updated_ = now;
}

}  // namespace ebony
