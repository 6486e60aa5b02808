#include "fakes/fake_weight_store.h"

#include <algorithm>

namespace ebony {

fake_weight_store::fake_weight_store(double loads_per_second,
                                     unsigned at_full_speed,
                                     duration load_time)
    : loads_per_second_(loads_per_second),
      at_full_speed_(at_full_speed),
      load_time_(load_time) {}

auto fake_weight_store::Begin(mono_time now) -> mono_time {
  const auto lock = std::lock_guard(mutex_);
  const auto spacing = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1 / loads_per_second_));
  const auto start = std::max(now, next_start_);
  next_start_ = start + spacing;
  ++active_;
  ++loads_;
  const auto slowdown =
      std::max(1U, (active_ + at_full_speed_ - 1) / at_full_speed_);
  return start + load_time_ * slowdown;
}

auto fake_weight_store::End() -> void {
  const auto lock = std::lock_guard(mutex_);
  --active_;
}

auto fake_weight_store::get_loads() -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return loads_;
}

}  // namespace ebony
