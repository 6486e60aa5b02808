#include "control/quota_allocator.h"

#include <algorithm>
#include <utility>

#include "core/quota_return.h"

namespace ebony {

namespace {

constexpr duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(30);

auto ToSeconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

auto FromSeconds(double seconds) -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

auto ToDouble(quota_amount amount) -> double {
  return static_cast<double>(amount.get());
}

}  // namespace

auto quota_allocator::Restart(mono_time now) -> void {
  not_before_ = now + kTakeoverDelay;
  buckets_.clear();
}

auto quota_allocator::SetQuotas(const std::vector<organisation>& organisations,
                                mono_time now) -> void {
  auto former = std::exchange(buckets_, {});
  for (const auto& item : organisations) {
    if (item.quota.rate_per_second == quota_amount()) {
      continue;
    }
    const auto found = former.find(item.name);
    auto& entry = buckets_[item.name];
    if (found == former.end()) {
      entry.updated = std::max(now, not_before_);
    } else {
      entry = std::move(found->second);
      Accrue(entry, now);
    }
    entry.quota = item.quota;
    entry.level = std::min(entry.level, ToDouble(item.quota.burst));
  }
}

auto quota_allocator::Accrue(bucket& item, mono_time now) const -> void {
  if (now <= item.updated) {
    return;
  }
  const auto accrued = ToSeconds(now - item.updated) *
                       ToDouble(item.quota.rate_per_second) * reachable_share_;
  Fill(item, accrued);
  item.updated = now;
}

auto quota_allocator::Fill(bucket& item, double amount) -> void {
  item.level = std::min(item.level + amount, ToDouble(item.quota.burst));
  // The peak of an older lease is never lower.
  for (auto entry = item.issues.rbegin();
       entry != item.issues.rend() && entry->peak < item.level; ++entry) {
    entry->peak = item.level;
  }
}

auto quota_allocator::TakeBack(bucket& item,
                               const vm_name& vm,
                               std::uint64_t returned,
                               mono_time now) const -> void {
  const auto kept = terms_.lease_lifetime + kQuotaReturnTime;
  while (!item.issues.empty() && now - item.issues.front().at > kept) {
    item.issues.pop_front();
  }
  for (auto& own : item.issues) {
    if (own.vm != vm) {
      continue;
    }
    const auto part = std::min(returned, own.amount);
    const auto room = ToDouble(item.quota.burst) - own.peak;
    const auto refund =
        std::min(static_cast<double>(part), std::max(0.0, room));
    item.level += refund;
    for (auto& entry : item.issues) {
      entry.peak += refund;
    }
    returned -= part;
    own.amount -= part;
  }
  std::erase_if(item.issues,
                [](const issue& entry) { return entry.amount == 0; });
}

// The slack is an amount of tokens; a quota in requests needs no debt for large
// ones.
auto quota_allocator::GetMaxDebt(const bucket& item, const quota_terms& terms)
    -> double {
  const auto debt = ToDouble(terms.max_debt);
  return item.quota.unit == quota_unit::tokens ? debt : std::min(debt, 1.0);
}

auto quota_allocator::GetWanted(bucket& item, mono_time now) const
    -> std::uint64_t {
  std::erase_if(item.holders, [now](const auto& entry) {
    return now - entry.second.reported > kHolderTimeout;
  });
  auto wanted = std::uint64_t{0};
  for (const auto& [vm, entry] : item.holders) {
    wanted += entry.wanted;
  }
  return wanted;
}

// A part of what waits is leased only if the first request fits: parts that no
// request can use would lapse.
auto quota_allocator::TakeAmount(bucket& item, const quota_report& report) const
    -> std::uint64_t {
  const auto available = item.level + GetMaxDebt(item, terms_);
  auto amount = std::uint64_t{0};
  if (report.wanted > 0 && static_cast<double>(report.next) <= available) {
    amount = std::max(report.next,
                      std::min(report.wanted, static_cast<std::uint64_t>(
                                                  std::max(0.0, item.level))));
  }
  if (amount == report.wanted) {
    const auto spare = item.level - static_cast<double>(amount) -
                       kReservedFraction * ToDouble(item.quota.burst);
    amount += std::min(report.expected,
                       static_cast<std::uint64_t>(std::max(0.0, spare)));
  }
  item.level -= static_cast<double>(amount);
  return amount;
}

auto quota_allocator::Lease(const vm_name& vm,
                            const quota_report& report,
                            mono_time now) -> quota_grant {
  auto grant = quota_grant();
  grant.organisation = report.organisation;
  const auto found = buckets_.find(report.organisation);
  if (found == buckets_.end()) {
    return grant;
  }
  auto& item = found->second;
  Accrue(item, now);
  TakeBack(item, vm, report.returned, now);
  if (now < not_before_) {
    return grant;
  }
  grant.amount = TakeAmount(item, report);
  if (grant.amount > 0) {
    item.issues.push_back({vm, now, grant.amount, item.level});
  }
  grant.valid_for = terms_.lease_lifetime;
  const auto short_of = report.wanted - std::min(report.wanted, grant.amount);
  item.holders[vm] = {short_of, now};
  if (short_of > 0) {
    const auto missing =
        static_cast<double>(GetWanted(item, now)) - std::max(0.0, item.level);
    grant.retry_after =
        std::clamp(FromSeconds(missing / ToDouble(item.quota.rate_per_second)),
                   kMinRetryAfter, kMaxRetryAfter);
  }
  return grant;
}

auto quota_allocator::GetLevel(const organisation_name& name, mono_time now)
    -> double {
  const auto found = buckets_.find(name);
  if (found == buckets_.end()) {
    return 0;
  }
  Accrue(found->second, now);
  return found->second.level;
}

}  // namespace ebony
