#include "control/quota_relay.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace ebony {

namespace {

// Time constant of the smoothed rate.
constexpr double kRateSeconds = 1.0;

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

auto quota_relay::GetPool(const organisation_state& item, mono_time valid_at)
    -> std::uint64_t {
  auto amount = std::uint64_t{0};
  for (const auto& part : item.pool) {
    amount += part.expires >= valid_at ? part.amount : 0;
  }
  return amount;
}

auto quota_relay::GetRate(const organisation_state& item, mono_time now)
    -> double {
  const auto elapsed = std::max(0.0, ToSeconds(now - item.rate_updated));
  return item.rate * std::exp(-elapsed / kRateSeconds);
}

auto quota_relay::Expire(organisation_state& item, mono_time now) -> void {
  while (!item.pool.empty() && item.pool.front().expires - now < kMinValidity) {
    item.returned += item.pool.front().amount;
    item.pool.pop_front();
  }
  std::erase_if(item.holders, [now](const auto& entry) {
    return now - entry.second.reported > kHolderTimeout;
  });
}

auto quota_relay::TakeBack(organisation_state& item,
                           const vm_name& vm,
                           std::uint64_t returned,
                           mono_time now) -> void {
  while (!item.issues.empty() && now - item.issues.front().at > kMaxIssueAge) {
    item.issues.pop_front();
  }
  for (auto& entry : item.issues) {
    if (returned > 0 && entry.vm == vm) {
      const auto part = std::min(returned, entry.amount);
      item.returned += part;
      returned -= part;
      entry.amount -= part;
    }
  }
}

auto quota_relay::TakeFromPool(organisation_state& item,
                               std::uint64_t amount,
                               mono_time now,
                               duration& valid_for) -> std::uint64_t {
  auto taken = std::uint64_t{0};
  valid_for = duration(0);
  while (taken < amount && !item.pool.empty()) {
    auto& part = item.pool.front();
    if (taken == 0) {
      valid_for = part.expires - now;
    }
    const auto used = std::min(part.amount, amount - taken);
    taken += used;
    part.amount -= used;
    if (part.amount == 0) {
      item.pool.pop_front();
    }
  }
  return taken;
}

auto quota_relay::Lease(const vm_name& vm,
                        const quota_report& report,
                        mono_time now) -> quota_grant {
  auto& item = organisations_[report.organisation];
  Expire(item, now);
  TakeBack(item, vm, report.returned, now);
  const auto pool = GetPool(item, now);
  auto grant = quota_grant();
  grant.organisation = report.organisation;
  if (report.wanted > 0) {
    item.last_asked = now;
    item.largest = std::max(item.largest, report.next);
  }
  auto amount = report.next <= pool ? std::min(report.wanted, pool) : 0;
  if (amount == report.wanted) {
    // What others wait for comes first, and half of the rest stays for them.
    auto awaited = std::uint64_t{0};
    for (const auto& [other, entry] : item.holders) {
      awaited += other == vm ? 0 : entry.wanted;
    }
    const auto left = pool - amount;
    amount += std::min(report.expected, (left - std::min(left, awaited)) / 2);
  }
  grant.amount = TakeFromPool(item, amount, now, grant.valid_for);
  item.rate =
      GetRate(item, now) + static_cast<double>(grant.amount) / kRateSeconds;
  item.rate_updated = now;
  if (grant.amount > 0) {
    item.issues.push_back({vm, now, grant.amount});
  }
  const auto missing = report.wanted - std::min(report.wanted, grant.amount);
  item.holders[vm] = {missing, missing > 0 ? report.next : 0, report.expected,
                      now};
  const auto is_short = missing > 0 && now - item.retry_told < kRetryMemory;
  grant.retry_after = is_short ? item.retry_after : duration(0);
  return grant;
}

auto quota_relay::TakeReports(mono_time now) -> quota_reports {
  auto reports = quota_reports();
  for (auto entry = organisations_.begin(); entry != organisations_.end();) {
    auto& item = entry->second;
    Expire(item, now);
    auto report = quota_report();
    report.organisation = entry->first;
    // What lapses before the gateways sync again does not help them.
    const auto pool = GetPool(item, now + kMinUsefulTime);
    for (const auto& [vm, holder] : item.holders) {
      report.wanted += holder.wanted;
      report.next = report.next == 0 || holder.next == 0
                        ? std::max(report.next, holder.next)
                        : std::min(report.next, holder.next);
      report.expected += holder.expected;
    }
    report.wanted -= std::min(report.wanted, pool);
    report.next = std::min(report.next, report.wanted);
    const auto is_active = now - item.last_asked <= kPoolTime;
    const auto pooled =
        static_cast<std::uint64_t>(GetRate(item, now) * ToSeconds(kPooledTime));
    const auto target = is_active
                            ? std::max({report.expected, item.largest, pooled})
                            : report.expected;
    report.expected = target - std::min(target, pool);
    report.returned = std::exchange(item.returned, 0);
    const auto asks = report.wanted + report.expected > 0;
    // The last report of several says that nothing is needed any more.
    if (asks || report.returned > 0 || item.has_asked) {
      reports.push_back(report);
    }
    item.has_asked = asks;
    const auto is_unused =
        !is_active && !asks && item.pool.empty() && item.holders.empty();
    entry = is_unused ? organisations_.erase(entry) : std::next(entry);
  }
  return reports;
}

auto quota_relay::OnGranted(const quota_grants& grants,
                            mono_time asked_at,
                            mono_time now) -> void {
  for (const auto& grant : grants) {
    auto& item = organisations_[grant.organisation];
    if (grant.amount > 0) {
      item.pool.push_back({grant.amount, asked_at + grant.valid_for});
    }
    item.retry_after = grant.retry_after;
    item.retry_told = grant.retry_after > duration(0) ? now : mono_time();
  }
}

auto quota_relay::HasWaiting(mono_time now) const -> bool {
  return std::any_of(
      organisations_.begin(), organisations_.end(), [now](const auto& entry) {
        const auto& item = entry.second;
        const auto is_waiting = std::any_of(
            item.holders.begin(), item.holders.end(), [now](const auto& held) {
              return held.second.wanted > 0 &&
                     now - held.second.reported <= kHolderTimeout;
            });
        // Credit that the leader has just denied is not asked for at once.
        return is_waiting && now - item.retry_told >= kRetryMemory;
      });
}

}  // namespace ebony
