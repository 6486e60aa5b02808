#include "entry/retry_allowance.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr duration kBucketWidth = std::chrono::seconds(1);

}  // namespace

retry_allowance::retry_allowance(retry_allowance_options options)
    : options_(options) {}

auto retry_allowance::SetGatewayCount(std::size_t count) -> void {
  gateway_count_ = std::max(gateway_count_, count);
}

auto retry_allowance::GetBucket(const service_name& service, mono_time now)
    -> bucket& {
  auto& buckets = services_[service];
  while (!buckets.empty() && now - buckets.front().begin > options_.window) {
    buckets.pop_front();
  }
  if (buckets.empty() || now - buckets.back().begin >= kBucketWidth) {
    buckets.push_back({now, 0, 0});
  }
  return buckets.back();
}

auto retry_allowance::OnRequest(const service_name& service, mono_time now)
    -> void {
  GetBucket(service, now).requests += 1;
}

auto retry_allowance::CanRetry(const service_name& service, mono_time now)
    -> bool {
  GetBucket(service, now);  // drops buckets older than the window
  auto requests = 0.0;
  auto retries = 0.0;
  for (const auto& item : services_[service]) {
    requests += item.requests;
    retries += item.retries;
  }
  const auto allowed = options_.used_fraction *
                       (options_.ratio * requests +
                        options_.slack / static_cast<double>(gateway_count_));
  return retries + 1 <= allowed;
}

auto retry_allowance::TryConsume(const service_name& service, mono_time now)
    -> bool {
  if (!CanRetry(service, now)) {
    return false;
  }
  GetBucket(service, now).retries += 1;
  return true;
}

}  // namespace ebony
