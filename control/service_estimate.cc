#include "control/service_estimate.h"

#include <algorithm>
#include <cmath>

namespace ebony {

namespace {

constexpr double kHalfLifeSeconds = 15;
// The rate is a property of the servers and changes only with them.
constexpr double kRateHalfLifeSeconds = 120;
// Assumed until requests have ended.
constexpr double kDefaultSlotSeconds = 1.0;
// Weight of the average of all models in the estimate for one, in requests.
constexpr double kPriorRequests = 10;
// The rate of prompt processing without observations, and its bounds.
constexpr double kDefaultTokensPerSecond = 25000;
constexpr double kMinTokensPerSecond = 5000;
constexpr double kMaxTokensPerSecond = 200000;
// Streams needed for an estimate of the rate.
constexpr double kMinFirstEvents = 50;

}  // namespace

auto service_estimate::AddEnded(const model_name& model,
                                double requests,
                                double seconds) -> void {
  auto& sums = models_[model];
  sums.ended += requests;
  sums.seconds += seconds;
  all_.ended += requests;
  all_.seconds += seconds;
}

auto service_estimate::AddFirstEvents(const first_event_sums& sums) -> void {
  first_events_.Add(sums);
}

auto service_estimate::Age(duration elapsed) -> void {
  const auto seconds = std::chrono::duration<double>(elapsed).count();
  const auto factor = std::exp2(-seconds / kHalfLifeSeconds);
  for (auto& [name, sums] : models_) {
    sums.ended *= factor;
    sums.seconds *= factor;
  }
  all_.ended *= factor;
  all_.seconds *= factor;
  first_events_.Scale(std::exp2(-seconds / kRateHalfLifeSeconds));
}

auto service_estimate::GetSlotSeconds(const model_name& model) const -> double {
  const auto average = (all_.seconds + kDefaultSlotSeconds) / (all_.ended + 1);
  const auto found = models_.find(model);
  const auto own = found == models_.end() ? slot_sums() : found->second;
  return (own.seconds + kPriorRequests * average) /
         (own.ended + kPriorRequests);
}

auto service_estimate::GetPromptTokensPerSecond() const -> double {
  const auto& sums = first_events_;
  const auto spread =
      sums.count * sums.tokens_squared - sums.tokens * sums.tokens;
  const auto rise =
      sums.count * sums.tokens_by_seconds - sums.tokens * sums.seconds;
  if (sums.count < kMinFirstEvents || spread <= 0 || rise <= 0) {
    return kDefaultTokensPerSecond;
  }
  constexpr double kTokensPerUnit = 1000;
  return std::clamp(kTokensPerUnit * spread / rise, kMinTokensPerSecond,
                    kMaxTokensPerSecond);
}

}  // namespace ebony
