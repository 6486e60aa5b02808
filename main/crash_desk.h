#ifndef EBONY_MAIN_CRASH_DESK_H_
#define EBONY_MAIN_CRASH_DESK_H_

#include <cstdint>
#include <vector>

#include "control/trial_allocator.h"
#include "control/trial_relay.h"
#include "core/crash_ledger.h"
#include "main/crash_uplink.h"
#include "schema/site.pb.h"

namespace ebony {

// What a coordinator is to the daemon whose sync it answers.
enum class desk_role {
  relay,
  leader,
  unsure_leader,  // may have been replaced, so it lends no trials
};

// A coordinator's part in what the gateways know of requests that crash
// servers: as the leader it merges their records and lends out trials, as a
// relay it passes both on.
class crash_desk {
  std::uint64_t source_;  // identifies the ledger of this process
  crash_ledger ledger_;
  crash_uplink uplink_{ledger_};
  trial_allocator trials_;
  trial_relay relayed_trials_;

  // Returns the keys that the gateway on `vm` holds from now on.
  auto LendTrials(const vm_name& vm,
                  std::vector<suspect_key> keys,
                  desk_role role,
                  mono_time now) -> std::vector<suspect_key>;

 public:
  // Called for each record that a message changed.
  using change_hook = crash_uplink::change_hook;

  // `source` must differ between coordinators and between their runs.
  explicit crash_desk(std::uint64_t source);

  // This coordinator is the leader from `now` on.
  auto StartLeading(mono_time now) -> void { trials_.Restart(now); }
  // Takes a record that an earlier run has written. The leader is told of it.
  auto Restore(const crash_report& report, mono_time now) -> void {
    ledger_.Merge(report, false, now);
  }
  // Answers the sync of a gateway or, as the leader, of a relay.
  auto HandleSync(const schema::sync_request& request,
                  desk_role role,
                  const change_hook& on_change,
                  mono_time now,
                  schema::sync_answer& answer) -> void;
  // Fills in a relay's own sync with the leader, and takes the answer.
  auto FillLeaderRequest(schema::sync_request& request, mono_time now) -> void;
  auto ApplyLeaderAnswer(const schema::sync_answer& answer,
                         const change_hook& on_change,
                         mono_time now) -> void;
  // Returns true if the next sync with the leader should not wait.
  auto IsUrgent() const -> bool;

  auto get_ledger() const -> const crash_ledger& { return ledger_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_CRASH_DESK_H_
