#include "core/request_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ebony {

auto IsLimited(const request_limit& limit) -> bool {
  return limit.rate || limit.max_rejections;
}

auto IsSameStatement(const request_limit& left, const request_limit& right)
    -> bool {
  return left.rate == right.rate &&
         left.max_rejections == right.max_rejections &&
         left.is_presumed == right.is_presumed;
}

auto WasNamed(const request_limit& limit) -> bool {
  return limit.observed != mono_time();
}

auto IsNewsOfLimit(const request_limit& known, const request_limit& listed)
    -> bool {
  return WasNamed(known) && !known.is_presumed &&
         known.observed > listed.observed && !IsSameStatement(known, listed);
}

auto GetRequestInterval(request_rate rate) -> duration {
  constexpr duration kThousandSeconds = std::chrono::seconds(1000);
  constexpr std::uint64_t kMinRate = 100;
  return kThousandSeconds /
         static_cast<duration::rep>(std::max(rate.get(), kMinRate));
}

auto ParseRequestRate(std::string_view text) -> std::optional<request_rate> {
  constexpr double kMaxPerSecond = 1e9;
  constexpr double kRateUnits = 1000;  // of a request a second
  auto value = 0.0;
  const auto* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const auto is_number = result.ec == std::errc() && result.ptr == end;
  if (!is_number || !(value >= 0 && value <= kMaxPerSecond)) {
    return std::nullopt;
  }
  return request_rate(static_cast<std::uint64_t>(value * kRateUnits));
}

auto ParseRetryAfter(std::string_view text) -> std::optional<duration> {
  constexpr double kMaxSeconds = 365.0 * 24 * 60 * 60;
  constexpr double kMicrosecondsPerSecond = 1e6;
  auto value = 0.0;
  const auto* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const auto is_number = result.ec == std::errc() && result.ptr == end;
  if (!is_number || !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  return duration(static_cast<duration::rep>(std::min(value, kMaxSeconds) *
                                             kMicrosecondsPerSecond));
}

auto ParseRejectionCount(std::string_view text)
    -> std::optional<rejection_count> {
  constexpr std::uint32_t kMaxCount = 1'000'000;
  auto value = std::uint32_t{0};
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  const auto is_number = result.ec == std::errc() && result.ptr == end;
  if (!is_number || value > kMaxCount) {
    return std::nullopt;
  }
  return rejection_count(value);
}

auto GetRateField(const std::optional<request_rate>& rate) -> std::int64_t {
  return rate ? static_cast<std::int64_t>(rate->get()) : -1;
}

auto GetRejectionField(const std::optional<rejection_count>& count)
    -> std::int64_t {
  return count ? static_cast<std::int64_t>(count->get()) : -1;
}

}  // namespace ebony
