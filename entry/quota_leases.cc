#include "entry/quota_leases.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/quota_return.h"

namespace ebony {

namespace {

// Time constant of the smoothed rate, and weight of a new amount.
constexpr double kRateSeconds = 2.0;
constexpr double kAmountWeight = 0.1;
// Requests of this long are leased ahead, about two syncs.
constexpr double kExpectedSeconds = 0.3;
// Fewer requests are not leased ahead: most of it would lapse.
constexpr double kMinExpectedRequests = 0.5;

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

auto quota_leases::SetQuotas(const std::vector<organisation>& organisations)
    -> void {
  auto former = std::exchange(organisations_, {});
  for (const auto& item : organisations) {
    if (item.quota.rate_per_second == quota_amount()) {
      continue;
    }
    auto found = former.find(item.name);
    auto& entry = organisations_[item.name];
    if (found != former.end()) {
      entry = std::move(found->second);
    }
    entry.quota = item.quota;
  }
}

auto quota_leases::IsLimited(const organisation_name& name) const -> bool {
  return organisations_.contains(name);
}

auto quota_leases::GetAmount(const organisation_name& name,
                             std::uint64_t tokens) const -> std::uint64_t {
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) {
    return 0;
  }
  const auto& quota = found->second.quota;
  if (quota.unit == quota_unit::requests) {
    return 1;
  }
  return tokens > 0 ? std::min(tokens, kMaxAmount) : quota.plain_amount.get();
}

auto quota_leases::Expire(organisation_state& item, mono_time now) const
    -> void {
  while (!item.leases.empty() && item.leases.front().expires <= now) {
    const auto is_late = now - item.leases.front().expires > kQuotaReturnTime;
    item.returned += is_late ? 0 : item.leases.front().amount;
    item.leases.pop_front();
  }
}

// Leases of relays differ in the time that they have left, so a later one may
// expire first.
auto quota_leases::AddLease(organisation_state& item, const lease& part)
    -> void {
  const auto place = std::upper_bound(
      item.leases.begin(), item.leases.end(), part.expires,
      [](mono_time at, const lease& other) { return at < other.expires; });
  item.leases.insert(place, part);
}

auto quota_leases::GetAvailable(const organisation_state& item)
    -> std::uint64_t {
  auto amount = std::uint64_t{0};
  for (const auto& part : item.leases) {
    amount += part.amount;
  }
  return amount;
}

auto quota_leases::GetCredit(const organisation_name& name, mono_time now)
    -> std::uint64_t {
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) {
    return 0;
  }
  Expire(found->second, now);
  return GetAvailable(found->second);
}

auto quota_leases::CountRequest(organisation_state& item,
                                std::uint64_t amount,
                                mono_time now) -> void {
  const auto elapsed = std::max(0.0, ToSeconds(now - item.rate_updated));
  item.request_rate =
      item.request_rate * std::exp(-elapsed / kRateSeconds) + 1 / kRateSeconds;
  item.rate_updated = now;
  const auto value = static_cast<double>(amount);
  item.request_amount =
      item.request_amount == 0
          ? value
          : (1 - kAmountWeight) * item.request_amount + kAmountWeight * value;
}

auto quota_leases::OnRequest(const organisation_name& name,
                             std::uint64_t amount,
                             mono_time now) -> void {
  const auto found = organisations_.find(name);
  if (found != organisations_.end()) {
    CountRequest(found->second, amount, now);
  }
}

auto quota_leases::AccrueOwnShare(organisation_state& item, mono_time now) const
    -> void {
  // Before the first contact, the number of gateways is unknown.
  if (!IsOutOfContact(now) || last_contact_ == mono_time()) {
    item.own_share = 0;
    item.own_updated = now;
    return;
  }
  const auto begin =
      std::max(item.own_updated, last_contact_ + kContactTimeout);
  const auto rate = kOwnFraction *
                    static_cast<double>(item.quota.rate_per_second.get()) /
                    static_cast<double>(gateway_count_);
  item.own_share =
      std::min(item.own_share + rate * std::max(0.0, ToSeconds(now - begin)),
               rate * ToSeconds(kOwnShareTime));
  item.own_updated = now;
}

auto quota_leases::TrySpend(const organisation_name& name,
                            std::uint64_t amount,
                            mono_time now,
                            quota_charge& charge) -> bool {
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) {
    charge = quota_charge();
    return true;
  }
  auto& item = found->second;
  Expire(item, now);
  AccrueOwnShare(item, now);
  charge = {name, amount, mono_time(), false};
  if (GetAvailable(item) < amount) {
    if (item.own_share < static_cast<double>(amount)) {
      return false;
    }
    item.own_share -= static_cast<double>(amount);
    charge.is_own_share = true;
    charge.expires = now + kOwnChargeTime;
    return true;
  }
  charge.expires = item.leases.empty() ? now : item.leases.front().expires;
  auto left = amount;
  while (left > 0) {
    auto& part = item.leases.front();
    const auto used = std::min(part.amount, left);
    part.amount -= used;
    left -= used;
    if (part.amount == 0) {
      item.leases.pop_front();
    }
  }
  return true;
}

auto quota_leases::CreditBack(const quota_charge& charge, mono_time now)
    -> void {
  const auto found = organisations_.find(charge.organisation);
  if (charge.amount == 0 || found == organisations_.end()) {
    return;
  }
  auto& item = found->second;
  if (charge.is_own_share) {
    AccrueOwnShare(item, now);
    item.own_share +=
        IsOutOfContact(now) ? static_cast<double>(charge.amount) : 0;
  } else if (charge.expires > now) {
    AddLease(item, {charge.amount, charge.expires});
  } else if (now - charge.expires <= kQuotaReturnTime) {
    item.returned += charge.amount;
  }
}

auto quota_leases::GetRetryAfter(const organisation_name& name,
                                 mono_time now) const -> duration {
  const auto found = organisations_.find(name);
  if (found == organisations_.end()) {
    return duration(0);
  }
  const auto& item = found->second;
  return now - item.retry_told < kRetryMemory ? item.retry_after : duration(0);
}

auto quota_leases::GetExpected(const organisation_state& item, mono_time now)
    -> std::uint64_t {
  const auto elapsed = std::max(0.0, ToSeconds(now - item.rate_updated));
  const auto requests =
      kExpectedSeconds * item.request_rate * std::exp(-elapsed / kRateSeconds);
  if (requests < kMinExpectedRequests) {
    return 0;
  }
  return static_cast<std::uint64_t>(std::ceil(requests) * item.request_amount);
}

auto quota_leases::TakeReports(const waiting_amounts& wanted, mono_time now)
    -> quota_reports {
  auto reports = quota_reports();
  for (auto& [name, item] : organisations_) {
    Expire(item, now);
    auto report = quota_report();
    report.organisation = name;
    const auto found = wanted.find(name);
    if (found != wanted.end()) {
      const auto available = GetAvailable(item);
      report.wanted =
          found->second.first - std::min(found->second.first, available);
      const auto next =
          found->second.second - std::min(found->second.second, available);
      report.next = std::min(report.wanted, std::max<std::uint64_t>(next, 1));
    }
    const auto expected = GetExpected(item, now);
    const auto available = GetAvailable(item);
    report.expected =
        report.wanted > 0 ? expected : expected - std::min(expected, available);
    report.returned = std::exchange(item.returned, 0);
    const auto asks = report.wanted + report.expected > 0;
    if (asks || report.returned > 0 || item.has_asked) {
      reports.push_back(report);
    }
    item.has_asked = asks;
  }
  return reports;
}

auto quota_leases::OnGranted(const quota_grants& grants,
                             mono_time asked_at,
                             mono_time now) -> void {
  for (const auto& grant : grants) {
    const auto found = organisations_.find(grant.organisation);
    if (found == organisations_.end()) {
      continue;  // removed since; the lease lapses
    }
    auto& item = found->second;
    if (grant.amount > 0) {
      AddLease(item, {grant.amount, asked_at + grant.valid_for});
    }
    item.retry_after = grant.retry_after;
    item.retry_told = grant.retry_after > duration(0) ? now : mono_time();
  }
}

auto quota_leases::OnContact(std::size_t gateways, mono_time now) -> void {
  gateway_count_ = std::max(gateway_count_, gateways);
  last_contact_ = now;
  for (auto& [name, item] : organisations_) {
    item.own_share = 0;
    item.own_updated = now;
  }
}

auto quota_leases::IsOutOfContact(mono_time now) const -> bool {
  return now - last_contact_ > kContactTimeout;
}

}  // namespace ebony
