#ifndef EBONY_TESTS_RAFT_HARNESS_H_
#define EBONY_TESTS_RAFT_HARNESS_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "control/control_state.h"

namespace ebony::testing {

enum class raft_fault {
  none,
  message_lost,
  message_late,
  message_repeated,
  message_reordered,
  crash_before_sync,
  crash_after_sync,
  restart_at_once,
  cut_one_way,
  cut_both_ways,
  clock_jump,
  freeze,
};

// A control group in one thread: the real Raft and control state over fakes of
// the network, the disk and the clock. Every delivery of a message is a step
// at which a fault can be placed. Any breach throws std::logic_error.
class raft_harness {
  struct node {
    node_id id;
    std::unique_ptr<raft> protocol;  // null while it is down
    raft_persistent_state disk;
    control_state state{0};
    mono_time frozen_until;
    mono_time restart_at;
    duration clock_offset{0};
  };
  struct flight {
    mono_time arrives;
    std::uint64_t order = 0;
    raft_message message;
  };

  std::mt19937_64 random_;
  mono_time now_;
  std::map<node_id, node> nodes_;
  std::vector<flight> network_;
  std::uint64_t next_order_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, raft_fault> faults_;
  std::set<std::pair<vm_name, vm_name>> cuts_;  // from, to
  mono_time heal_at_;
  std::map<term_number, node_id> leaders_;
  std::map<log_index, std::string> applied_;  // index to payload
  std::set<node_id> joiners_;

  auto Open(node& item, raft_persistent_state image) -> void;
  auto Crash(node& item, duration down) -> void;
  auto Process(node& item, raft_fault fault) -> void;
  auto Deliver(const flight& item, raft_fault fault) -> void;
  auto Apply(node& item, const log_entry& entry) -> void;
  auto Check(const node& item) -> void;
  auto TakeDue() -> std::optional<flight>;
  auto GetLocalTime(const node& item) const -> mono_time;
  auto Cut(const node_id& from, const node_id& to, bool both) -> void;

 public:
  static constexpr auto kTick = std::chrono::milliseconds(10);
  static constexpr auto kLatency = std::chrono::milliseconds(1);

  raft_harness(std::size_t voters, std::uint64_t seed);

  // Runs the group for `time`.
  auto Run(duration time) -> void;
  // Places a fault at the delivery `steps_from_now`.
  auto Plan(std::uint64_t steps_from_now, raft_fault fault) -> void;
  auto Heal() -> void;

  // Proposes at the present leader. Returns false when there is none.
  auto Propose(const control_command& command) -> bool;
  auto Compact() -> void;
  auto Kill(const node_id& id) -> void;
  // Gives the VM a new, empty disk under a new identity.
  auto ReplaceDisk(const node_id& lost, const node_id& fresh) -> void;

  auto FindLeader() const -> std::optional<node_id>;
  // Returns the outcome that the leader knows.
  auto FindOutcome(const change_id& id) const -> std::optional<change_outcome>;
  auto GetState(const node_id& id) const -> const control_state&;
  auto GetGroup() const -> membership;
  auto get_steps() const -> std::uint64_t { return steps_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_RAFT_HARNESS_H_
