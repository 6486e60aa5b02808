#include "entry/retry_allowance.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr duration kSlice = std::chrono::seconds(1);

}  // namespace

retry_allowance::retry_allowance(retry_allowance_options options)
    : options_(options) {}

auto retry_allowance::SetGatewayCount(std::size_t count) -> void {
  gateways_ = std::max(gateways_, count);
}

auto retry_allowance::GetSlice(const service_name& service, mono_time now)
    -> slice& {
  auto& slices = services_[service];
  while (!slices.empty() && now - slices.front().begin > options_.window) {
    slices.pop_front();
  }
  if (slices.empty() || now - slices.back().begin >= kSlice) {
    slices.push_back({now, 0, 0});
  }
  return slices.back();
}

auto retry_allowance::OnRequest(const service_name& service, mono_time now)
    -> void {
  GetSlice(service, now).requests += 1;
}

auto retry_allowance::CanRetry(const service_name& service, mono_time now)
    -> bool {
  GetSlice(service, now);  // drops what is older than the window
  auto requests = 0.0;
  auto repeats = 0.0;
  for (const auto& item : services_[service]) {
    requests += item.requests;
    repeats += item.repeats;
  }
  const auto allowed = options_.used_fraction *
                       (options_.ratio * requests +
                        options_.slack / static_cast<double>(gateways_));
  return repeats + 1 <= allowed;
}

auto retry_allowance::TryConsume(const service_name& service, mono_time now)
    -> bool {
  if (!CanRetry(service, now)) {
    return false;
  }
  GetSlice(service, now).repeats += 1;
  return true;
}

}  // namespace ebony
