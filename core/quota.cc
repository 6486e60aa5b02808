#include "core/quota.h"

#include <algorithm>

namespace ebony {

namespace {

// Part of the tolerated excess that leases may use up. The rest covers shares
// that gateways use on their own while the coordinators change their leader.
constexpr double kLeasedTolerance = 0.8;
// Part of the slack by which a bucket may be overdrawn.
constexpr double kDebtOfSlack = 0.5;
constexpr duration kMaxLeaseLifetime = std::chrono::milliseconds(650);
constexpr duration kMinLeaseLifetime = std::chrono::milliseconds(150);

}  // namespace

auto GetQuotaTerms(duration window, double tolerance, double slack)
    -> quota_terms {
  const auto tolerated = duration(static_cast<duration::rep>(
      static_cast<double>(window.count()) * tolerance * kLeasedTolerance));
  auto terms = quota_terms();
  terms.lease_lifetime =
      std::clamp(tolerated, kMinLeaseLifetime, kMaxLeaseLifetime);
  terms.max_debt = quota_amount(
      static_cast<std::uint64_t>(std::max(0.0, slack * kDebtOfSlack)));
  return terms;
}

auto IsLapsed(const quota_charge& charge, mono_time now) -> bool {
  return charge.amount > 0 && charge.expires <= now;
}

}  // namespace ebony
