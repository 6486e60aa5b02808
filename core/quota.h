#ifndef EBONY_CORE_QUOTA_H_
#define EBONY_CORE_QUOTA_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/organisation.h"

namespace ebony {

// How the leases of quotas are sized and how long they live.
struct quota_terms {
  // Lifetime of a lease, from the request for it. Whatever is granted is used
  // within this time, so that a window of the length w holds at most
  // burst + rate * (w + lifetime).
  duration lease_lifetime = std::chrono::milliseconds(650);
  // Amount by which a bucket may be overdrawn, so that a request that is larger
  // than the burst is not refused for good.
  quota_amount max_debt;
};

// Returns the terms that keep the use in any window within
// (rate * window + burst) * (1 + tolerance) + slack.
auto GetQuotaTerms(duration window, double tolerance, double slack)
    -> quota_terms;

// What a gateway, or a relay for its gateways, needs of one organisation's
// quota, and what it hands back.
struct quota_report {
  organisation_name organisation;
  std::uint64_t wanted = 0;    // by requests that wait
  std::uint64_t next = 0;      // by the first of them
  std::uint64_t expected = 0;  // by requests that may arrive soon
  std::uint64_t returned = 0;  // leased and not used, since the last report
};

// A part of an organisation's quota, leased to the daemon that asked.
struct quota_grant {
  organisation_name organisation;
  std::uint64_t amount = 0;
  // Time for which it may be used, from the daemon's request on.
  duration valid_for{0};
  // Set if less was granted than requests wait for: the time until there is
  // credit for one that comes last.
  duration retry_after{0};
};

// What a request has used of its organisation's quota.
struct quota_charge {
  organisation_name organisation;
  std::uint64_t amount = 0;
  mono_time expires;  // that of the first lease it was taken from
  // Taken from the gateway's own share, without the coordinators.
  bool is_own_share = false;
};

// Returns true if a charge no longer counts, because its lease has expired.
auto IsLapsed(const quota_charge& charge, mono_time now) -> bool;

// On whose behalf a request is sent, as found out by the gateway.
struct caller_account {
  organisation_name organisation;  // empty: none
  // Of the organisation; std::nullopt if the configuration has none.
  std::optional<int> priority;
  quota_charge charge;
};

using quota_reports = std::vector<quota_report>;
using quota_grants = std::vector<quota_grant>;

}  // namespace ebony

#endif  // EBONY_CORE_QUOTA_H_
