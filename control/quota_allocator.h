#ifndef EBONY_CONTROL_QUOTA_ALLOCATOR_H_
#define EBONY_CONTROL_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/organisation.h"
#include "core/quota.h"

namespace ebony {

// Leases the quotas of organisations to gateways and relays. Each quota is a
// token bucket; what is leased leaves the bucket, what comes back unused
// returns to it. At any time, the level and what is leased and may still be
// used are at most burst + rate * lifetime, which bounds the use in every
// window whoever fails. Used by the leader.
class quota_allocator {
  struct holder {
    std::uint64_t wanted = 0;
    mono_time reported;
  };
  // A lease, or what of it has not come back.
  struct issue {
    vm_name vm;
    mono_time at;
    std::uint64_t amount = 0;
    // Highest level of the bucket since then.
    double peak = 0;
  };
  struct bucket {
    token_quota quota;
    double level = 0;  // negative: overdrawn
    mono_time updated;
    std::map<vm_name, holder> holders;
    std::deque<issue> issues;  // by time, those that may still come back
  };

  quota_terms terms_;
  std::map<organisation_name, bucket> buckets_;
  mono_time not_before_;  // nothing accrues earlier
  double reachable_share_ = 1;

  auto Accrue(bucket& item, mono_time now) const -> void;
  // Adds an amount to the level, up to the burst.
  static auto Fill(bucket& item, double amount) -> void;
  // Returns unused leases to the bucket, as far as it would hold them if they
  // had never been leased: what accrued in the meantime took the place of the
  // rest, and both would be a second burst.
  auto TakeBack(bucket& item,
                const vm_name& vm,
                std::uint64_t returned,
                mono_time now) const -> void;
  static auto GetMaxDebt(const bucket& item, const quota_terms& terms)
      -> double;
  auto GetWanted(bucket& item, mono_time now) const -> std::uint64_t;
  auto TakeAmount(bucket& item, const quota_report& report) const
      -> std::uint64_t;

 public:
  // A new leader accrues nothing for this long, in which gateways that use a
  // share of their own find it.
  static constexpr duration kTakeoverDelay = std::chrono::milliseconds(100);
  // A daemon that has not asked for this long waits for nothing any more.
  static constexpr duration kHolderTimeout = std::chrono::milliseconds(700);
  // What is only expected to be needed is leased down to this fraction of the
  // burst; the rest is for requests that wait.
  static constexpr double kReservedFraction = 0.3;

  explicit quota_allocator(quota_terms terms) : terms_(terms) {}

  // Starts anew without quotas, as the leader from `now` on. Their buckets
  // start empty: the former leader may just have leased a whole burst.
  auto Restart(mono_time now) -> void;
  // Replaces the quotas by those of a configuration. A bucket keeps its level,
  // up to the new burst; that of a new organisation starts empty, so that one
  // that is removed and added again gets no second burst.
  auto SetQuotas(const std::vector<organisation>& organisations, mono_time now)
      -> void;
  // Sets the share of the gateways that sync. The others may use their part of
  // each quota on their own, so it is not leased.
  auto SetReachableShare(double share) -> void { reachable_share_ = share; }
  // Takes the report of the gateway or relay on `vm` and returns the lease that
  // it gets, or why it gets none. An unknown organisation gets nothing.
  auto Lease(const vm_name& vm, const quota_report& report, mono_time now)
      -> quota_grant;
  // Returns the level of an organisation's bucket; 0 for an unknown one.
  auto GetLevel(const organisation_name& name, mono_time now) -> double;
  auto get_size() const -> std::size_t { return buckets_.size(); }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_QUOTA_ALLOCATOR_H_
