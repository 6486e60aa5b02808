#ifndef EBONY_ENTRY_QUOTA_LEASES_H_
#define EBONY_ENTRY_QUOTA_LEASES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/organisation.h"
#include "core/quota.h"

namespace ebony {

// This gateway's part of the organisations' quotas: what the coordinators have
// leased to it and is not used. Leases expire by this gateway's clock, from the
// moment at which it asked for them. While the coordinators don't answer, an
// equal share of each rate accrues here instead.
class quota_leases {
  struct lease {
    std::uint64_t amount = 0;
    mono_time expires;
  };
  struct organisation_state {
    token_quota quota;
    std::deque<lease> leases;  // by time of expiry
    std::uint64_t returned = 0;
    bool has_asked = false;  // the latest report asked for something
    // Requests a second and the amount of one, smoothed.
    double request_rate = 0;
    mono_time rate_updated;
    double request_amount = 0;
    double own_share = 0;  // accrued
    mono_time own_updated;
    duration retry_after{0};  // as the coordinators said last
    mono_time retry_told;
  };

  std::map<organisation_name, organisation_state> organisations_;
  // The largest number that was heard of: a leader that has just taken over may
  // know few gateways.
  std::size_t gateway_count_ = 1;
  mono_time last_contact_;

  auto Expire(organisation_state& item, mono_time now) const -> void;
  static auto AddLease(organisation_state& item, const lease& part) -> void;
  static auto GetAvailable(const organisation_state& item) -> std::uint64_t;
  static auto CountRequest(organisation_state& item,
                           std::uint64_t amount,
                           mono_time now) -> void;
  auto AccrueOwnShare(organisation_state& item, mono_time now) const -> void;
  static auto GetExpected(const organisation_state& item, mono_time now)
      -> std::uint64_t;

 public:
  // Without an answer for this long, the coordinators are out of contact. It is
  // longer than a lease lives, so that an own share never adds to leases.
  static constexpr duration kContactTimeout = std::chrono::milliseconds(900);
  // Part of the rate that all gateways without contact use together. The rest
  // covers the time in which a new leader leases again and some gateways have
  // not found it yet.
  static constexpr double kOwnFraction = 0.7;
  // Larger amounts of a request count as this, so that sums don't overflow.
  static constexpr std::uint64_t kMaxAmount = std::uint64_t{1} << 50U;
  // An own share that is not used accrues for this long.
  static constexpr duration kOwnShareTime = std::chrono::seconds(2);
  // A charge of an own share counts for this long, like that of a lease.
  static constexpr duration kOwnChargeTime = std::chrono::milliseconds(650);
  // What the coordinators said of missing credit holds for this long.
  static constexpr duration kRetryMemory = std::chrono::milliseconds(400);

  // Replaces the quotas by those of a configuration. Leases are kept.
  auto SetQuotas(const std::vector<organisation>& organisations) -> void;
  // Returns true if an organisation's requests are limited.
  auto IsLimited(const organisation_name& name) const -> bool;
  // Returns the amount that a request with this number of tokens uses; 0 tokens
  // stand for a request that announces none.
  auto GetAmount(const organisation_name& name, std::uint64_t tokens) const
      -> std::uint64_t;
  // Counts a request, whether or not there is credit for it.
  auto OnRequest(const organisation_name& name,
                 std::uint64_t amount,
                 mono_time now) -> void;
  // Uses credit. Returns false, and uses none, if there is too little.
  auto TrySpend(const organisation_name& name,
                std::uint64_t amount,
                mono_time now,
                quota_charge& charge) -> bool;
  // Takes back the charge of a request that has not run and will not.
  auto CreditBack(const quota_charge& charge, mono_time now) -> void;
  // Returns the time until the organisation has credit again, as the
  // coordinators said last; 0 if they did not say that there is too little.
  auto GetRetryAfter(const organisation_name& name, mono_time now) const
      -> duration;

  // Returns what the coordinators should know, and clears what is returned.
  // `wanted` holds, by organisation, what requests wait for: in sum, and the
  // first of them.
  using waiting_amounts =
      std::map<organisation_name, std::pair<std::uint64_t, std::uint64_t>>;
  auto TakeReports(const waiting_amounts& wanted, mono_time now)
      -> quota_reports;
  // Takes the answer to a request that was sent at `asked_at`.
  auto OnGranted(const quota_grants& grants, mono_time asked_at, mono_time now)
      -> void;
  // Records an answer of coordinators that lease quotas to `gateways`.
  auto OnContact(std::size_t gateways, mono_time now) -> void;
  auto IsOutOfContact(mono_time now) const -> bool;
  auto GetContactAge(mono_time now) const -> duration {
    return now - last_contact_;
  }
  // Returns what may be used of leases now.
  auto GetCredit(const organisation_name& name, mono_time now) -> std::uint64_t;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_QUOTA_LEASES_H_
