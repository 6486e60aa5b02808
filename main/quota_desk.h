#ifndef EBONY_MAIN_QUOTA_DESK_H_
#define EBONY_MAIN_QUOTA_DESK_H_

#include <vector>

#include "control/quota_allocator.h"
#include "control/quota_relay.h"
#include "core/organisation.h"
#include "main/crash_desk.h"
#include "schema/site.pb.h"

namespace ebony {

// A coordinator's part in the quotas of organisations: as the leader it leases
// them, as a relay it passes leases on.
class quota_desk {
  quota_allocator allocator_;
  quota_relay relay_;
  bool is_leased_ = false;  // the leader's last answer was sure to lead
  mono_time last_answer_;

 public:
  // A relay whose last answer of the leader is older says so by not leasing, so
  // that its gateways can use their own shares.
  static constexpr duration kMaxAnswerAge = std::chrono::milliseconds(300);

  explicit quota_desk(quota_terms terms) : allocator_(terms) {}

  // This coordinator is the leader from `now` on.
  auto StartLeading(const std::vector<organisation>& organisations,
                    mono_time now) -> void;
  // As the leader, replaces the quotas by those of a new configuration.
  auto SetQuotas(const std::vector<organisation>& organisations, mono_time now)
      -> void {
    allocator_.SetQuotas(organisations, now);
  }
  // Answers the sync of a gateway or, as the leader, of a relay.
  // `reachable_share` is that of the gateways that sync.
  auto HandleSync(const schema::sync_request& request,
                  desk_role role,
                  double reachable_share,
                  mono_time now,
                  schema::sync_answer& answer) -> void;
  // Fills in a relay's own sync with the leader, and takes the answer to the
  // request that was sent at `asked_at`.
  auto FillLeaderRequest(schema::sync_request& request, mono_time now) -> void;
  auto ApplyLeaderAnswer(const schema::sync_answer& answer,
                         mono_time asked_at,
                         mono_time now) -> void;
  // Returns true if the next sync with the leader should not wait.
  auto IsUrgent(mono_time now) const -> bool { return relay_.HasWaiting(now); }
};

}  // namespace ebony

#endif  // EBONY_MAIN_QUOTA_DESK_H_
