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
  // Upper bound of the time from startup to the first pre-vote. It may be
  // short: members in contact with a leader ignore pre-votes.
  duration first_election_max = std::chrono::milliseconds(600);
  std::size_t max_entries_per_append = 256;
};

enum class raft_role { follower, pre_candidate, candidate, leader };

// The Raft protocol of one voter or learner: leader election with pre-vote and
// check-quorum, log replication, snapshots, learners, and changes of one voter
// at a time. It uses no thread, socket, file or clock: the caller passes the
// time in and performs the work that `TakeReady` returns. A voter is replaced
// by another one in two changes, between which both sets of voters have to
// agree. Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014.
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
    // When the newest round was sent that the peer has replied to. The peer
    // accepted this leader at that time or later.
    mono_time vouched_at;
    std::optional<bool> supports_swaps;  // as its last reply says
    bool is_snapshot_sent = false;       // and not yet acknowledged
    mono_time snapshot_sent_at;
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
  log_index stable_;         // last entry on disk
  log_index unstable_from_;  // first entry not yet returned by TakeReady
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
  std::map<std::uint64_t, mono_time> round_starts_;  // of the latest rounds
  mono_time leader_since_;

  auto IsVoter(const node_id& id) const -> bool;
  auto HasQuorumOf(const std::set<node_id>& ids) const -> bool;
  auto ResetElectionTimer() -> void;
  auto BecomeFollower(term_number term, const node_id& leader) -> void;
  auto StartPreVote() -> void;
  auto StartElection() -> void;
  auto BecomeLeader() -> void;
  auto RequestVotes(message_kind kind, term_number term) -> void;
  auto SendAppend(const node_id& to, bool heartbeat) -> void;
  auto SendSnapshot(const node_id& to, peer_progress& peer) -> void;
  auto BroadcastHeartbeat() -> void;
  auto RecordVouch(peer_progress& peer, std::uint64_t round) -> void;
  auto BroadcastAppend() -> void;
  auto AdvanceCommit() -> void;
  auto CheckQuorum() -> void;
  // Ends the leadership of a node whose removal is committed.
  auto StepDownIfRemoved() -> void;
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
  // Runs expired timers: elections, heartbeats and the leader's quorum check.
  auto Tick(mono_time now) -> void;
  // Processes a message from another member.
  auto Step(mono_time now, const raft_message& message) -> void;
  // Appends a command and returns its index, or std::nullopt if this node is
  // not the leader.
  auto Propose(const std::string& payload) -> std::optional<log_index>;
  // Appends a membership change and returns its index. Returns std::nullopt if
  // this node is not a ready leader, if an earlier change is uncommitted, or if
  // `IsAllowedChange` says so.
  auto ProposeMembership(const membership& group) -> std::optional<log_index>;
  // Replaces the log up to `index`, or up to the last applied entry if that is
  // lower, by a snapshot with the encoded state machine `state`.
  auto Compact(log_index index, std::string state) -> snapshot;
  // Becomes a follower, for example when the disk fails.
  auto StepDown() -> void;

  // Outputs.
  // Returns the pending work. The caller persists it, calls `OnPersisted`, then
  // sends the messages and applies the committed entries.
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
  // Returns true if this node is the leader and the last committed entry is of
  // its own term.
  auto is_leader_ready() const -> bool;
  // Returns true if a majority accepted this leader less than the minimum
  // election timeout before `now`, so that no other member can lead at `now`.
  // Replies count from the time at which their round was sent: after a pause of
  // the process, old replies are still in its receive buffers.
  auto HasFreshQuorum(mono_time now) const -> bool;
  // Heartbeat rounds for linearizable reads: a read notes the next round and is
  // current once the confirmed round has reached it. A round is confirmed by
  // the replies of a quorum; 0 if this node is not the leader.
  auto get_next_round() const -> std::uint64_t { return round_ + 1; }
  auto get_confirmed_round() const -> std::uint64_t;
  // Returns true if the member's log contains every committed entry. Known only
  // on the leader.
  auto IsCaughtUp(const node_id& id) const -> bool;
  // Returns whether the member's build knows `voter_swap`, or std::nullopt if
  // it has not replied to this leader.
  auto SupportsSwaps(const node_id& id) const -> std::optional<bool>;
  // Returns the time since a member last replied to this leader, or since it
  // was added. Returns duration::max() if `id` is no other member or this node
  // is not the leader.
  auto GetTimeSinceReply(const node_id& id) const -> duration;
};

}  // namespace ebony

#endif  // EBONY_CONSENSUS_RAFT_H_
