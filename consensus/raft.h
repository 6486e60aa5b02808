#ifndef EBONY_CONSENSUS_RAFT_H_
#define EBONY_CONSENSUS_RAFT_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/raft_types.h"
#include "core/ids.h"

namespace ebony {

struct raft_options {
  node_id self;
  duration heartbeat = std::chrono::milliseconds(50);
  duration election_min = std::chrono::milliseconds(300);
  duration election_max = std::chrono::milliseconds(600);
  // Longest time to the first pre-vote after a start. It may be short: a group
  // with a live leader does not answer pre-votes.
  duration first_election_max = std::chrono::milliseconds(600);
  std::size_t max_entries_per_append = 256;
};

enum class raft_role { follower, pre_candidate, candidate, leader };

// The Raft protocol of one voter or learner: leader election with pre-vote and
// check-quorum, log replication, snapshots, learners, and changes of one voter
// at a time. It has no thread, socket, file or clock: the shell passes the
// time in and carries out what `TakeReady` returns.
// Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014.
class raft {
 public:
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

 private:
  struct peer_progress {
    log_index match;
    log_index next{1};
    std::uint64_t acked_round = 0;
    mono_time last_reply;
    bool snapshot_sent = false;
    mono_time snapshot_time;
  };

  raft_options options_;
  random_source random_;
  raft_log log_;
  hard_state hard_;
  hard_state persisted_hard_;
  raft_role role_ = raft_role::follower;
  node_id leader_;
  log_index commit_;
  log_index applied_;
  log_index stable_;
  log_index unstable_from_;  // first entry not yet handed out for the disk
  std::optional<snapshot> pending_install_;
  std::vector<raft_message> outbox_;
  mono_time now_;
  mono_time election_deadline_;
  mono_time next_heartbeat_;
  mono_time last_leader_contact_;
  bool has_leader_contact_ = false;
  std::set<node_id> votes_;
  std::map<node_id, peer_progress> progress_;
  std::uint64_t round_ = 0;
  mono_time leader_since_;

  auto IsVoter(const node_id& id) const -> bool;
  auto HasQuorum(const std::set<node_id>& ids) const -> bool;
  auto ResetElectionTimer() -> void;
  auto BecomeFollower(term_number term, const node_id& leader) -> void;
  auto StartPreVote() -> void;
  auto StartElection() -> void;
  auto BecomeLeader() -> void;
  auto AskForVotes(message_kind kind, term_number term) -> void;
  auto SendAppend(const node_id& to, bool heartbeat) -> void;
  auto SendSnapshot(const node_id& to, peer_progress& peer) -> void;
  auto BroadcastHeartbeat() -> void;
  auto BroadcastAppend() -> void;
  auto AdvanceCommit() -> void;
  auto CheckQuorum() -> void;
  auto SyncProgressWithGroup() -> void;
  auto AppendLocal(log_entry entry) -> log_index;
  auto Reply(const raft_message& request, message_kind kind) -> raft_message;
  auto IsLogUpToDate(const raft_message& request) const -> bool;
  auto OnPreVote(const raft_message& request) -> void;
  auto OnVote(const raft_message& request) -> void;
  auto OnVoteReply(const raft_message& reply) -> void;
  auto OnAppend(const raft_message& request) -> void;
  auto OnAppendReply(const raft_message& reply) -> void;
  auto OnInstallSnapshot(const raft_message& request) -> void;
  auto IgnoresHigherTerm(const raft_message& message) const -> bool;

 public:
  raft(raft_options options,
       raft_persistent_state image,
       random_source random,
       mono_time now);

  // Inputs.
  auto Tick(mono_time now) -> void;
  auto Step(mono_time now, const raft_message& message) -> void;
  // Appends a command. Returns its index, or nothing when not the leader.
  auto Propose(const std::string& payload) -> std::optional<log_index>;
  // Changes one voter or learner. Refused when not the leader, when an earlier
  // change is still open, or when more than one voter differs.
  auto ProposeMembership(const membership& group) -> std::optional<log_index>;
  // Replaces the applied log prefix by the state machine's snapshot.
  auto Compact(log_index index, std::string state) -> snapshot;
  // Gives up leadership, for example when the disk fails.
  auto StepDown() -> void;

  // Outputs. The shell persists, sends and applies, then calls `OnPersisted`.
  auto TakeReady() -> raft_ready;
  auto OnPersisted(const raft_ready& ready) -> void;

  // State.
  auto get_role() const -> raft_role { return role_; }
  auto is_leader() const -> bool { return role_ == raft_role::leader; }
  auto get_leader() const -> const node_id& { return leader_; }
  auto get_term() const -> term_number { return hard_.term; }
  auto get_commit_index() const -> log_index { return commit_; }
  auto get_last_index() const -> log_index { return log_.get_last_index(); }
  auto get_first_index() const -> log_index { return log_.get_first_index(); }
  auto get_group() const -> const membership& { return log_.get_group(); }
  auto GetEntriesAfter(log_index index) const -> std::vector<log_entry>;
  // True once an entry of this leader's own term is committed.
  auto is_leader_ready() const -> bool;
  // The round that a read must wait for, and the newest round that a quorum
  // confirmed. A read is current when confirmed >= the round it waits for.
  auto get_next_round() const -> std::uint64_t { return round_ + 1; }
  auto get_confirmed_round() const -> std::uint64_t;
  // True when the learner's or voter's log is as long as the committed one.
  auto IsCaughtUp(const node_id& id) const -> bool;
  // Time since a peer last replied to this leader.
  auto GetTimeSinceReply(const node_id& id) const -> duration;
};

}  // namespace ebony

#endif  // EBONY_CONSENSUS_RAFT_H_
