#ifndef EBONY_MAIN_RAFT_NODE_H_
#define EBONY_MAIN_RAFT_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/membership_planner.h"
#include "consensus/raft.h"
#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/disk_store.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_pool.h"
#include "schema/site.pb.h"

namespace ebony {

// Callbacks of the state machine that the Raft log is replicated to: applies a
// committed entry, encodes a snapshot, and restores one.
struct replicated_state_machine {
  std::function<void(const log_entry&)> apply;
  std::function<std::string()> encode;
  std::function<void(const std::string&)> restore;
};

// One member of the control group: connects Raft to its disk and to the HTTP
// requests between members. The group needs no manual configuration: at the
// first start the seeds are the voters; every other node, and every new disk,
// sends join requests to the leader.
class raft_node {
  struct peer {
    std::deque<raft_message> queue;
    std::unique_ptr<pooled_call> call;
    timer_id timeout;
  };
  struct pending_read {
    std::uint64_t round = 0;
    mono_time deadline;
    std::function<void(bool)> done;
  };

  const site_settings& settings_;
  event_loop& loop_;
  http_pool& pool_;
  event_log& log_;
  metrics& metrics_;
  replicated_state_machine state_;
  disk_store disk_;
  node_id self_;
  std::unique_ptr<raft> raft_;
  // Output of Raft that is not yet on the disk. Nothing is sent or applied, and
  // no later output is taken, before it is persisted.
  std::optional<raft_ready> unpersisted_;
  mono_time next_write_retry_;
  std::map<node_id, peer> peers_;
  std::map<node_id, mono_time> joiners_;
  std::vector<pending_read> pending_reads_;
  host_port named_leader_;  // by the last answer to a join request
  std::size_t next_join_link_ = 0;
  mono_time next_join_;
  bool was_ready_ = false;
  node_id logged_leader_;
  bool disk_failed_ = false;
  log_index applied_;
  std::size_t borne_losses_ = SIZE_MAX;  // as logged last

  auto MakeIdentity() -> disk_identity;
  auto GetLinkAddress(const node_id& node) const -> host_port;
  auto GetSeedLinkAddresses() const -> std::vector<host_port>;
  // Persists Raft's output, sends its messages and applies committed entries.
  // Messages to `answer_to` are returned instead of sent.
  auto ProcessReady(const node_id& answer_to) -> std::vector<raft_message>;
  // Returns false while the disk does not work. The node then steps down, and
  // the write is retried.
  auto PersistReady() -> bool;
  auto Apply(const std::vector<log_entry>& entries) -> void;
  auto Enqueue(raft_message message) -> void;
  auto SendNext(const node_id& to) -> void;
  auto OnPeerAnswer(const node_id& from, const std::string& body) -> void;
  auto OnPeerFailed(const node_id& to) -> void;
  auto FinishPendingReads() -> void;
  auto MaybeCompact() -> void;
  auto MaybeJoin() -> void;
  auto MaybeChangeMembership() -> void;
  auto GetMemberStatus() const -> member_status;
  // Shows how many more voters may be lost before the group stops.
  auto RecordBorneLosses(const membership& group, const member_status& members)
      -> void;
  auto LogLeadership() -> void;

 public:
  raft_node(const site_settings& settings,
            event_loop& loop,
            http_pool& pool,
            event_log& log,
            metrics& counters,
            replicated_state_machine state,
            disk_write write = ::write);

  // Loads the disk, or creates a new identity on an empty one. Throws
  // ebony_error while the disk does not work.
  auto Open() -> void;
  // Runs Raft's timers, join requests and membership changes.
  auto Tick() -> void;

  // Handles Raft messages of another member and returns the answer. Returns
  // std::nullopt for a malformed body and while the disk does not work.
  auto OnRaftCall(const std::string& body) -> std::optional<std::string>;
  // Handles a join request. The answer names the leader.
  auto OnJoinCall(const std::string& body) -> std::string;

  // Proposes a command and returns its log index. Returns std::nullopt when
  // this node is not the leader.
  auto Propose(const std::string& payload) -> std::optional<log_index>;
  // Calls `done` with true once a quorum has confirmed this node as the leader
  // after the call, and with false when it is not confirmed within `limit`.
  auto ConfirmLeadership(duration limit, std::function<void(bool)> done)
      -> void;

  // True when this node leads, has committed an entry of its own term, and its
  // disk works.
  auto is_leader() const -> bool;
  // Returns true if this node leads and a majority confirmed it recently, by a
  // fresh reading of the clock. A leader that wakes up from a pause can still
  // believe that it leads.
  auto IsConfirmedLeader() const -> bool;
  auto get_term() const -> term_number;
  // Address at which the leader serves other daemons, or empty when the leader
  // is unknown.
  auto GetLeaderLinkAddress() const -> host_port;
  // Address of the leader's operator interface, or empty when the leader is
  // unknown.
  auto GetLeaderOperatorAddress() const -> host_port;
  // Link addresses of all members, including this node; those of the seeds
  // while the membership is unknown.
  auto GetLinkAddresses() const -> std::vector<host_port>;
  // Identity of this node's disk. Requires an open disk.
  auto get_self() const -> const node_id& { return self_; }
  auto get_own_link_address() const -> host_port {
    return GetLinkAddress(self_);
  }
};

}  // namespace ebony

#endif  // EBONY_MAIN_RAFT_NODE_H_
