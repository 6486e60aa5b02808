#ifndef EBONY_CONTROL_QUOTA_RELAY_H_
#define EBONY_CONTROL_QUOTA_RELAY_H_

#include <cstdint>
#include <deque>
#include <map>

#include "core/ids.h"
#include "core/quota.h"
#include "core/quota_return.h"

namespace ebony {

// Asks the leader for what the gateways of one relay need in sum, and shares
// the leases that it gets among them. For organisations that were active lately
// it keeps a small pool, so that a gateway with a single request gets its lease
// without waiting for the leader.
class quota_relay {
  struct lease {
    std::uint64_t amount = 0;
    mono_time expires;
  };
  struct holder {
    std::uint64_t wanted = 0;
    std::uint64_t next = 0;
    std::uint64_t expected = 0;
    mono_time reported;
  };
  // A lease to a gateway.
  struct issue {
    vm_name vm;
    mono_time at;
    std::uint64_t amount = 0;
  };
  struct organisation_state {
    std::deque<lease> pool;  // by time of expiry
    std::map<vm_name, holder> holders;
    std::deque<issue> issues;    // by time, those that may still come back
    std::uint64_t returned = 0;  // since the latest report
    std::uint64_t largest = 0;   // single request that was asked for lately
    // Amount a second that was handed out, smoothed.
    double rate = 0;
    mono_time rate_updated;
    mono_time last_asked;
    duration retry_after{0};  // as the leader said last
    mono_time retry_told;
    bool has_asked = false;  // the latest report asked for something
  };

  std::map<organisation_name, organisation_state> organisations_;

  // Returns what may still be used at `valid_at`.
  static auto GetPool(const organisation_state& item, mono_time valid_at)
      -> std::uint64_t;
  static auto GetRate(const organisation_state& item, mono_time now) -> double;
  static auto Expire(organisation_state& item, mono_time now) -> void;
  // Takes what a gateway hands back, up to what it was leased lately.
  static auto TakeBack(organisation_state& item,
                       const vm_name& vm,
                       std::uint64_t returned,
                       mono_time now) -> void;
  // Moves up to `amount` out of the pool, and lowers `valid_for` to the
  // shortest time for which a part of it may be used.
  static auto TakeFromPool(organisation_state& item,
                           std::uint64_t amount,
                           mono_time now,
                           duration& valid_for) -> std::uint64_t;

 public:
  // A gateway that has not asked for this long waits for nothing any more.
  static constexpr duration kHolderTimeout = std::chrono::milliseconds(700);
  // The pool covers what is handed out in this time, so that gateways seldom
  // wait for the leader.
  static constexpr duration kPooledTime = std::chrono::milliseconds(250);
  // No lease comes back later than this after it was given to a gateway.
  static constexpr duration kMaxIssueAge =
      std::chrono::milliseconds(650) + kQuotaReturnTime;
  // A pool is kept for this long after the last request.
  static constexpr duration kPoolTime = std::chrono::seconds(3);
  // Leases that expire sooner are returned: a gateway could hardly use them.
  static constexpr duration kMinValidity = std::chrono::milliseconds(60);
  // Leases that live shorter are asked for again while gateways need credit.
  static constexpr duration kMinUsefulTime = std::chrono::milliseconds(150);
  // What the leader said of missing credit holds for this long.
  static constexpr duration kRetryMemory = std::chrono::milliseconds(400);

  // Takes the report of the gateway on `vm` and returns what it gets now.
  auto Lease(const vm_name& vm, const quota_report& report, mono_time now)
      -> quota_grant;
  // Returns the reports to the leader, and clears what they return.
  auto TakeReports(mono_time now) -> quota_reports;
  // Takes the leader's leases, the answer to a request sent at `asked_at`.
  auto OnGranted(const quota_grants& grants, mono_time asked_at, mono_time now)
      -> void;
  // Returns true if a gateway's request waits for the leader.
  auto HasWaiting(mono_time now) const -> bool;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_QUOTA_RELAY_H_
