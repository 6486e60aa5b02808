#ifndef EBONY_TESTS_RAFT_HARNESS_H_
#define EBONY_TESTS_RAFT_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/membership_planner.h"
#include "consensus/raft.h"
#include "control/control_state.h"

namespace ebony::testing {

enum class raft_fault {
  none,
  message_lost,
  message_delayed,
  message_duplicated,
  message_reordered,
  crash_before_sync,
  crash_after_sync,
  restart_immediately,
  partition_one_way,
  partition_both_ways,
  clock_jump,
  process_pause,
};

// Runs a control group in one thread: the production Raft and control state
// with a simulated network, disk and clock. Each message delivery is a step at
// which a fault can be injected. A violated invariant throws std::logic_error.
class raft_harness {
 public:
  // Plans the next membership in the place of `PlanReplacement`.
  using planner = std::function<std::optional<membership>(const membership&,
                                                          const node_id& self,
                                                          const group_status&)>;

 private:
  struct node {
    node_id id;
    std::unique_ptr<raft> protocol;  // null while the node is down
    raft_persistent_state disk;
    control_state state{0};
    mono_time paused_until;
    mono_time restart_at;
    duration clock_offset{0};
  };
  struct in_flight_message {
    mono_time arrives_at;
    std::uint64_t sequence = 0;  // orders equal arrival times
    raft_message message;
  };

  std::mt19937_64 random_;
  mono_time now_;
  std::map<node_id, node> nodes_;
  std::vector<in_flight_message> network_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, raft_fault> faults_;
  std::set<std::pair<vm_name, vm_name>> partitions_;  // from, to
  mono_time heal_at_;
  std::map<term_number, node_id> leaders_;  // leader seen in each term
  std::map<term_number, mono_time> leader_since_;
  std::map<log_index, std::string> applied_;  // kind and payload
  std::set<node_id> joiners_;
  planner planner_;

  auto IsCut(const node_id& from, const node_id& to) const -> bool;
  auto GetMemberStatus(const raft& protocol) const -> member_status;
  // Lets the leader `item` propose the change of membership that is due.
  auto ChangeMembership(node& item) -> void;
  // Nodes that would send join requests to `leader`, being no members there.
  auto ListJoiners(const node& leader) const -> std::vector<node_id>;
  auto Start(node& item, raft_persistent_state state) -> void;
  auto Crash(node& item, duration downtime) -> void;
  // Performs the work that the node's Raft returns until there is none.
  auto ProcessReady(node& item, raft_fault fault) -> void;
  auto Deliver(const in_flight_message& item, raft_fault fault) -> void;
  auto Apply(node& item, const log_entry& entry) -> void;
  auto CheckSingleLeader(const node& item) -> void;
  // Fails if a leader still has a fresh quorum when a member of a later term
  // has led for the minimum election timeout. The holders of order leases rely
  // on this, also after a pause of their process.
  auto CheckFreshLeaders() -> void;
  auto PopDueMessage() -> std::optional<in_flight_message>;
  auto GetLocalTime(const node& item) const -> mono_time;
  auto Partition(const node_id& from, const node_id& to, bool both_ways)
      -> void;

 public:
  static constexpr auto kTick = std::chrono::milliseconds(10);
  static constexpr auto kLatency = std::chrono::milliseconds(1);

  raft_harness(std::size_t voters, std::uint64_t seed);

  // Lets `plan` decide on the membership. All nodes that are no members then
  // ask to join.
  auto SetPlanner(planner plan) -> void { planner_ = std::move(plan); }

  // Runs the group for `time` of simulated time.
  auto Run(duration time) -> void;
  // Injects a fault at the delivery `steps_from_now` deliveries ahead.
  auto InjectFault(std::uint64_t steps_from_now, raft_fault fault) -> void;
  // Removes the injected faults that are still to come and all partitions.
  auto Heal() -> void;

  // Proposes at the current leader. Returns false if there is none or it is
  // paused.
  auto Propose(const control_command& command) -> bool;
  // Takes a snapshot and compacts the log at each running node.
  auto Compact() -> void;
  // Stops the node for the rest of the run.
  auto Kill(const node_id& id) -> void;
  // Restarts the VM of `lost` on an empty disk with the identity `replacement`.
  auto ReplaceDisk(const node_id& lost, const node_id& replacement) -> void;

  // Pauses the node's process for `time`; messages wait for it.
  auto Freeze(const node_id& id, duration time) -> void;
  // Cuts the node's VM off from all others until `time` has passed. Cuts that
  // overlap end together.
  auto Cut(const node_id& id, duration time) -> void;
  // Stops the node and starts it again on its disk after `time`.
  auto Stop(const node_id& id, duration time) -> void;
  // Ends the node with its disk, and starts `successor` on an empty one after
  // `time`.
  auto ReplaceNode(const node_id& id, const node_id& successor, duration time)
      -> void;

  auto FindLeader() const -> std::optional<node_id>;
  // Returns the outcome of a change in the leader's state.
  auto FindOutcome(const change_id& id) const -> std::optional<change_outcome>;
  auto GetState(const node_id& id) const -> const control_state&;
  auto GetGroup() const -> membership;
  // Ids of the nodes that run and are not paused.
  auto ListRunning() const -> std::vector<node_id>;
  auto get_steps() const -> std::uint64_t { return steps_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_RAFT_HARNESS_H_
