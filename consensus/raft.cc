#include "consensus/raft.h"

#include <algorithm>
#include <utility>

#include "consensus/quorum.h"

namespace ebony {

namespace {

// Rounds whose start is remembered; older replies do not vouch.
constexpr std::size_t kMaxRecordedRounds = 64;

}  // namespace

raft::raft(raft_options options,
           raft_persistent_state image,
           random_source random,
           mono_time now)
    : options_(std::move(options)),
      random_(std::move(random)),
      log_(std::move(image.snap), std::move(image.entries)),
      hard_(image.hard),
      persisted_hard_(image.hard),
      commit_(log_.get_snapshot().index),
      applied_(log_.get_snapshot().index),
      stable_(log_.get_last_index()),
      unstable_from_(log_.get_last_index().get() + 1),
      now_(now) {
  const auto min_delay = options_.first_election_max / 2;
  const auto jitter =
      random_(static_cast<std::uint64_t>(min_delay.count()) + 1);
  election_deadline_ =
      now_ + min_delay + duration(static_cast<duration::rep>(jitter));
}

auto raft::IsVoter(const node_id& id) const -> bool {
  return Contains(log_.get_group().voters, id);
}

auto raft::HasQuorumOf(const std::set<node_id>& ids) const -> bool {
  return HasQuorum(log_.get_group(),
                   [&ids](const node_id& id) { return ids.contains(id); });
}

auto raft::ResetElectionTimer() -> void {
  const auto range = options_.election_max - options_.election_min;
  const auto jitter = random_(static_cast<std::uint64_t>(range.count()) + 1);
  election_deadline_ = now_ + options_.election_min +
                       duration(static_cast<duration::rep>(jitter));
}

auto raft::BecomeFollower(term_number term, const node_id& leader) -> void {
  role_ = raft_role::follower;
  leader_ = leader;
  if (term > hard_.term) {
    hard_.term = term;
    hard_.voted_for = node_id();
  }
  votes_.clear();
  progress_.clear();
  ResetElectionTimer();
}

auto raft::RequestVotes(message_kind kind, term_number term) -> void {
  for (const auto& id : log_.get_group().voters) {
    if (id == options_.self) {
      continue;
    }
    auto message = raft_message();
    message.kind = kind;
    message.from = options_.self;
    message.to = id;
    message.term = term;
    message.index = log_.get_last_index();
    message.log_term = log_.get_last_term();
    outbox_.push_back(std::move(message));
  }
}

auto raft::StartPreVote() -> void {
  role_ = raft_role::pre_candidate;
  leader_ = node_id();
  votes_ = {options_.self};
  ResetElectionTimer();
  if (HasQuorumOf(votes_)) {
    StartElection();
    return;
  }
  RequestVotes(message_kind::pre_vote, term_number(hard_.term.get() + 1));
}

auto raft::StartElection() -> void {
  role_ = raft_role::candidate;
  leader_ = node_id();
  hard_.term = term_number(hard_.term.get() + 1);
  hard_.voted_for = options_.self;
  votes_ = {options_.self};
  ResetElectionTimer();
  if (HasQuorumOf(votes_)) {
    BecomeLeader();
    return;
  }
  RequestVotes(message_kind::vote, hard_.term);
}

auto raft::BecomeLeader() -> void {
  role_ = raft_role::leader;
  leader_ = options_.self;
  leader_since_ = now_;
  progress_.clear();
  SyncProgressWithGroup();
  // Entries of earlier terms are committed only together with an entry of this
  // term.
  auto barrier = log_entry();
  barrier.kind = entry_kind::barrier;
  AppendLocal(std::move(barrier));
  BroadcastHeartbeat();
}

auto raft::SyncProgressWithGroup() -> void {
  auto members = log_.get_group().voters;
  members.insert(members.end(), log_.get_group().learners.begin(),
                 log_.get_group().learners.end());
  std::erase_if(progress_, [&members](const auto& item) {
    return !Contains(members, item.first);
  });
  for (const auto& id : members) {
    if (id == options_.self || progress_.contains(id)) {
      continue;
    }
    auto peer = peer_progress();
    peer.next = log_index(log_.get_last_index().get() + 1);
    peer.last_reply = now_;
    progress_.emplace(id, peer);
  }
}

auto raft::AppendLocal(log_entry entry) -> log_index {
  entry.term = hard_.term;
  entry.index = log_index(log_.get_last_index().get() + 1);
  const auto index = entry.index;
  log_.Append({std::move(entry)});
  return index;
}

auto raft::SendSnapshot(const node_id& to, peer_progress& peer) -> void {
  const auto retry_due = now_ - peer.snapshot_sent_at >= options_.election_max;
  if (peer.is_snapshot_sent && !retry_due) {
    return;
  }
  peer.is_snapshot_sent = true;
  peer.snapshot_sent_at = now_;
  auto message = raft_message();
  message.kind = message_kind::install_snapshot;
  message.from = options_.self;
  message.to = to;
  message.term = hard_.term;
  message.round = round_;
  message.snap = log_.get_snapshot();
  outbox_.push_back(std::move(message));
}

auto raft::SendAppend(const node_id& to, bool heartbeat) -> void {
  auto& peer = progress_.at(to);
  const auto previous = log_index(peer.next.get() - 1);
  const auto previous_term = log_.get_term(previous);
  if (!previous_term) {
    SendSnapshot(to, peer);
    return;
  }
  auto message = raft_message();
  message.kind = message_kind::append;
  message.from = options_.self;
  message.to = to;
  message.term = hard_.term;
  message.index = previous;
  message.log_term = *previous_term;
  message.commit = commit_;
  message.round = round_;
  // A learner gets committed entries only: with a longer log than the voters
  // that are left, it could not vote for one of them once it has joined.
  const auto last = IsVoter(to) ? log_.get_last_index() : commit_;
  message.entries =
      log_.get_range(previous, last, options_.max_entries_per_append);
  if (message.entries.empty() && !heartbeat) {
    return;
  }
  // Pipelining: the next append continues here without waiting for the reply. A
  // rejection resets `next`.
  peer.next = log_index(previous.get() + message.entries.size() + 1);
  outbox_.push_back(std::move(message));
}

auto raft::BroadcastHeartbeat() -> void {
  ++round_;
  round_starts_[round_] = now_;
  if (round_starts_.size() > kMaxRecordedRounds) {
    round_starts_.erase(round_starts_.begin());
  }
  next_heartbeat_ = now_ + options_.heartbeat;
  for (const auto& [id, peer] : progress_) {
    SendAppend(id, true);
  }
}

auto raft::BroadcastAppend() -> void {
  for (const auto& [id, peer] : progress_) {
    SendAppend(id, false);
  }
}

auto raft::AdvanceCommit() -> void {
  const auto quorum_index =
      log_index(GetQuorumValue(log_.get_group(), [this](const node_id& id) {
        const auto peer = progress_.find(id);
        if (id == options_.self) {
          return stable_.get();
        }
        return peer == progress_.end() ? 0 : peer->second.match.get();
      }));
  if (quorum_index <= commit_ || log_.get_term(quorum_index) != hard_.term) {
    return;
  }
  commit_ = quorum_index;
  BroadcastHeartbeat();
}

auto raft::CheckQuorum() -> void {
  auto reachable = std::set<node_id>{options_.self};
  for (const auto& [id, peer] : progress_) {
    if (now_ - peer.last_reply < options_.election_min) {
      reachable.insert(id);
    }
  }
  if (!HasQuorumOf(reachable)) {
    BecomeFollower(hard_.term, node_id());
  }
}

auto raft::StepDownIfRemoved() -> void {
  if (!IsVoter(options_.self) && log_.get_group_index() <= commit_) {
    StepDown();
  }
}

auto raft::Reply(const raft_message& request, message_kind kind)
    -> raft_message {
  auto reply = raft_message();
  reply.kind = kind;
  reply.from = options_.self;
  reply.to = request.from;
  reply.term = hard_.term;
  reply.round = request.round;
  reply.supports_swaps = true;
  return reply;
}

auto raft::IsLogUpToDate(const raft_message& request) const -> bool {
  if (request.log_term != log_.get_last_term()) {
    return request.log_term > log_.get_last_term();
  }
  return request.index >= log_.get_last_index();
}

// Vote requests are ignored while this node is the leader or in contact with
// one, so a node that was partitioned cannot force an election when it rejoins.
auto raft::IgnoresHigherTerm(const raft_message& message) const -> bool {
  if (message.kind != message_kind::vote &&
      message.kind != message_kind::pre_vote) {
    return false;
  }
  if (role_ == raft_role::leader) {
    return true;
  }
  return has_leader_contact_ &&
         now_ - last_leader_contact_ < options_.election_min;
}

auto raft::OnPreVote(const raft_message& request) -> void {
  auto reply = Reply(request, message_kind::pre_vote_reply);
  reply.granted = request.term > hard_.term && IsLogUpToDate(request);
  // A grant carries the term of the planned election, a rejection the term of
  // this node.
  reply.term = reply.granted ? request.term : hard_.term;
  outbox_.push_back(std::move(reply));
}

auto raft::OnVote(const raft_message& request) -> void {
  auto reply = Reply(request, message_kind::vote_reply);
  const auto can_vote =
      hard_.voted_for == node_id() || hard_.voted_for == request.from;
  reply.granted = can_vote && IsLogUpToDate(request);
  if (reply.granted) {
    hard_.voted_for = request.from;
    ResetElectionTimer();
  }
  outbox_.push_back(std::move(reply));
}

auto raft::OnVoteReply(const raft_message& reply) -> void {
  const auto expected = role_ == raft_role::pre_candidate
                            ? message_kind::pre_vote_reply
                            : message_kind::vote_reply;
  const auto campaigning =
      role_ == raft_role::pre_candidate || role_ == raft_role::candidate;
  if (!campaigning || reply.kind != expected || !reply.granted) {
    return;
  }
  votes_.insert(reply.from);
  if (!HasQuorumOf(votes_)) {
    return;
  }
  if (role_ == raft_role::pre_candidate) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

auto raft::OnAppend(const raft_message& request) -> void {
  auto reply = Reply(request, message_kind::append_reply);
  const auto local_term = log_.get_term(request.index);
  const auto is_compacted = request.index < log_.get_snapshot().index;
  if (!is_compacted && local_term != request.log_term) {
    reply.index = std::min(
        log_.get_last_index(),
        log_index(request.index.get() == 0 ? 0 : request.index.get() - 1));
    outbox_.push_back(std::move(reply));
    return;
  }
  auto new_entries = std::vector<log_entry>();
  for (const auto& entry : request.entries) {
    if (entry.index <= log_.get_snapshot().index) {
      continue;
    }
    if (new_entries.empty() && log_.get_term(entry.index) == entry.term) {
      continue;
    }
    new_entries.push_back(entry);
  }
  if (!new_entries.empty()) {
    const auto first = new_entries.front().index;
    unstable_from_ = std::min(unstable_from_, first);
    stable_ = std::min(stable_, log_index(first.get() - 1));
    log_.Append(new_entries);
  }
  const auto last_sent =
      log_index(request.index.get() + request.entries.size());
  commit_ = std::max(commit_, std::min(request.commit, last_sent));
  reply.granted = true;
  reply.index = last_sent;
  outbox_.push_back(std::move(reply));
}

auto raft::RecordVouch(peer_progress& peer, std::uint64_t round) -> void {
  peer.acked_round = std::max(peer.acked_round, round);
  const auto start = round_starts_.find(round);
  if (start != round_starts_.end()) {
    peer.vouched_at = std::max(peer.vouched_at, start->second);
  }
}

auto raft::HasFreshQuorum(mono_time now) const -> bool {
  if (role_ != raft_role::leader) {
    return false;
  }
  auto vouching = std::set<node_id>{options_.self};
  for (const auto& [id, peer] : progress_) {
    if (now - peer.vouched_at < options_.election_min) {
      vouching.insert(id);
    }
  }
  return HasQuorumOf(vouching);
}

auto raft::OnAppendReply(const raft_message& reply) -> void {
  const auto found = progress_.find(reply.from);
  if (role_ != raft_role::leader || found == progress_.end()) {
    return;
  }
  auto& peer = found->second;
  peer.last_reply = now_;
  peer.supports_swaps = reply.supports_swaps;
  RecordVouch(peer, reply.round);
  if (!reply.granted) {
    // A delayed rejection must not move `next` below the entries that the peer
    // has acknowledged.
    peer.next = log_index(
        std::max(peer.match.get(),
                 std::min(reply.index.get(), log_.get_last_index().get())) +
        1);
    SendAppend(reply.from, false);
    return;
  }
  if (reply.index > peer.match) {
    peer.match = reply.index;
    peer.is_snapshot_sent = false;
  }
  peer.next = std::max(peer.next, log_index(peer.match.get() + 1));
  AdvanceCommit();
  if (peer.next <= log_.get_last_index()) {
    SendAppend(reply.from, false);
  }
}

auto raft::OnInstallSnapshot(const raft_message& request) -> void {
  auto reply = Reply(request, message_kind::append_reply);
  reply.granted = true;
  if (!request.snap || request.snap->index <= commit_) {
    reply.index = commit_;
    outbox_.push_back(std::move(reply));
    return;
  }
  log_.Install(*request.snap);
  pending_install_ = *request.snap;
  commit_ = request.snap->index;
  applied_ = request.snap->index;
  stable_ = request.snap->index;
  unstable_from_ = log_index(request.snap->index.get() + 1);
  reply.index = request.snap->index;
  outbox_.push_back(std::move(reply));
}

auto raft::Tick(mono_time now) -> void {
  now_ = std::max(now_, now);
  if (role_ == raft_role::leader) {
    CheckQuorum();
    StepDownIfRemoved();
  }
  if (role_ == raft_role::leader) {
    if (now_ >= next_heartbeat_) {
      BroadcastHeartbeat();
    }
    return;
  }
  if (now_ >= election_deadline_ && IsVoter(options_.self)) {
    StartPreVote();
  }
}

auto raft::Step(mono_time now, const raft_message& message) -> void {
  now_ = std::max(now_, now);
  if (message.to != options_.self) {
    return;  // Addressed to another identity, on another disk, of this VM.
  }
  if (message.term > hard_.term) {
    if (IgnoresHigherTerm(message)) {
      return;
    }
    const auto is_pre_vote =
        message.kind == message_kind::pre_vote ||
        (message.kind == message_kind::pre_vote_reply && message.granted);
    if (!is_pre_vote) {
      BecomeFollower(message.term, node_id());
    }
  } else if (message.term < hard_.term) {
    // The reply makes a stale leader or candidate adopt the newer term.
    if (message.kind == message_kind::append ||
        message.kind == message_kind::install_snapshot) {
      outbox_.push_back(Reply(message, message_kind::append_reply));
    } else if (message.kind == message_kind::pre_vote) {
      outbox_.push_back(Reply(message, message_kind::pre_vote_reply));
    }
    return;
  }
  switch (message.kind) {
    case message_kind::pre_vote:
      OnPreVote(message);
      break;
    case message_kind::vote:
      OnVote(message);
      break;
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply:
      OnVoteReply(message);
      break;
    case message_kind::append:
    case message_kind::install_snapshot:
      if (role_ != raft_role::follower || leader_ != message.from) {
        BecomeFollower(message.term, message.from);
      }
      has_leader_contact_ = true;
      last_leader_contact_ = now_;
      ResetElectionTimer();
      if (message.kind == message_kind::append) {
        OnAppend(message);
      } else {
        OnInstallSnapshot(message);
      }
      break;
    case message_kind::append_reply:
      OnAppendReply(message);
      break;
  }
}

auto raft::Propose(const std::string& payload) -> std::optional<log_index> {
  if (role_ != raft_role::leader) {
    return std::nullopt;
  }
  auto entry = log_entry();
  entry.payload = payload;
  const auto index = AppendLocal(std::move(entry));
  BroadcastAppend();
  return index;
}

auto raft::ProposeMembership(const membership& group)
    -> std::optional<log_index> {
  if (!is_leader_ready()) {
    return std::nullopt;
  }
  if (log_.get_group_index() > commit_) {
    return std::nullopt;  // One change at a time.
  }
  if (!IsAllowedChange(log_.get_group(), group)) {
    return std::nullopt;
  }
  auto entry = log_entry();
  entry.kind = entry_kind::membership;
  entry.group = group;
  const auto index = AppendLocal(std::move(entry));
  SyncProgressWithGroup();
  BroadcastAppend();
  return index;
}

auto raft::Compact(log_index index, std::string state) -> snapshot {
  auto snap = snapshot();
  snap.index = std::min(index, applied_);
  snap.term = log_.get_term(snap.index).value_or(log_.get_snapshot().term);
  snap.state = std::move(state);
  // The membership at the snapshot's index; later changes stay in the log.
  snap.group = log_.get_snapshot().group;
  for (const auto& entry :
       log_.get_range(log_.get_snapshot().index, snap.index, SIZE_MAX / 2)) {
    if (entry.kind == entry_kind::membership) {
      snap.group = entry.group;
    }
  }
  log_.Compact(snap);
  return snap;
}

auto raft::StepDown() -> void {
  if (role_ != raft_role::follower) {
    BecomeFollower(hard_.term, node_id());
  }
}

auto raft::TakeReady() -> raft_ready {
  auto ready = raft_ready();
  if (hard_ != persisted_hard_) {
    ready.hard = hard_;
  }
  ready.install = std::exchange(pending_install_, std::nullopt);
  ready.append = log_.get_range(log_index(unstable_from_.get() - 1),
                                log_.get_last_index(), SIZE_MAX / 2);
  unstable_from_ = log_index(log_.get_last_index().get() + 1);
  ready.messages = std::exchange(outbox_, {});
  const auto applicable = std::min(commit_, stable_);
  ready.committed = log_.get_range(applied_, applicable, SIZE_MAX / 2);
  applied_ = std::max(applied_, applicable);
  return ready;
}

auto raft::OnPersisted(const raft_ready& ready) -> void {
  if (ready.hard) {
    persisted_hard_ = *ready.hard;
  }
  if (!ready.append.empty()) {
    stable_ = std::max(stable_, ready.append.back().index);
  }
  if (role_ == raft_role::leader) {
    AdvanceCommit();
  }
}

auto raft::GetEntriesAfter(log_index index) const -> std::vector<log_entry> {
  return log_.get_range(index, log_.get_last_index(), SIZE_MAX / 2);
}

auto raft::is_leader_ready() const -> bool {
  return role_ == raft_role::leader && log_.get_term(commit_) == hard_.term;
}

auto raft::get_confirmed_round() const -> std::uint64_t {
  if (role_ != raft_role::leader) {
    return 0;
  }
  return GetQuorumValue(log_.get_group(), [this](const node_id& id) {
    const auto peer = progress_.find(id);
    if (id == options_.self) {
      return round_;
    }
    return peer == progress_.end() ? 0 : peer->second.acked_round;
  });
}

auto raft::IsCaughtUp(const node_id& id) const -> bool {
  const auto peer = progress_.find(id);
  return peer != progress_.end() && peer->second.match >= commit_;
}

auto raft::SupportsSwaps(const node_id& id) const -> std::optional<bool> {
  if (id == options_.self) {
    return true;
  }
  const auto peer = progress_.find(id);
  return peer == progress_.end() ? std::nullopt : peer->second.supports_swaps;
}

auto raft::GetTimeSinceReply(const node_id& id) const -> duration {
  const auto peer = progress_.find(id);
  return peer == progress_.end() ? duration::max()
                                 : now_ - peer->second.last_reply;
}

}  // namespace ebony
