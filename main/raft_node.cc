#include "main/raft_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "codec/link_codec.h"
#include "consensus/quorum.h"
#include "core/error_kind.h"
#include "main/site_paths.h"

namespace ebony {

namespace {

constexpr duration kHeartbeat = std::chrono::milliseconds(150);
constexpr duration kElectionMin = std::chrono::milliseconds(700);
constexpr duration kElectionMax = std::chrono::milliseconds(1300);
// The first election after a start may come early, because a group with a live
// leader does not answer pre-votes.
constexpr duration kFirstElectionMax = std::chrono::milliseconds(400);
// Time limit of a request to another member, and of its connection attempt.
constexpr duration kPeerTimeout = std::chrono::milliseconds(400);
constexpr duration kPeerIdleTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxQueuedMessages = 64;
constexpr std::size_t kMaxBatchMessages = 32;
// Interval between join requests of a node without membership or leader.
constexpr duration kJoinInterval = std::chrono::milliseconds(400);
// The leader drops a join request that is not repeated within this time.
constexpr duration kJoinRequestLifetime = std::chrono::seconds(3);
constexpr duration kWriteRetryInterval = std::chrono::milliseconds(200);
// Silence of a node after which a new identity on its VM replaces it.
constexpr duration kDiskLostAfter = std::chrono::milliseconds(600);
// Size of the log on the disk, in bytes, at which it is compacted.
constexpr std::uint64_t kCompactBytes = 512 * 1024;
constexpr std::size_t kMinVoterTarget = 5;
// Suffix of the node id of a seed's first disk.
constexpr const char* kFirstDiskSuffix = ".0";

auto MakeGenerator() -> std::mt19937_64 {
  return std::mt19937_64(std::random_device()());
}

auto GetRandomBelow(std::uint64_t bound) -> std::uint64_t {
  static auto generator = MakeGenerator();
  return bound == 0 ? 0 : generator() % bound;
}

}  // namespace

raft_node::raft_node(const site_settings& settings,
                     event_loop& loop,
                     http_pool& pool,
                     event_log& log,
                     metrics& counters,
                     replicated_state_machine state,
                     disk_write write)
    : settings_(settings),
      loop_(loop),
      pool_(pool),
      log_(log),
      metrics_(counters),
      state_(std::move(state)),
      disk_(settings.data_folder, std::move(write)) {}

// A seed's first disk has a predictable node id, so that all seeds start with
// the same membership. Every later disk gets a random id, so that no member
// mistakes it for the previous disk of that VM, whose votes and log are lost.
auto raft_node::MakeIdentity() -> disk_identity {
  auto identity = disk_identity();
  const auto& own = settings_.operator_address;
  const auto is_seed = std::find(settings_.seeds.begin(), settings_.seeds.end(),
                                 own) != settings_.seeds.end();
  if (settings_.is_bootstrap && is_seed) {
    identity.node = node_id(own.get() + kFirstDiskSuffix);
    for (const auto& seed : settings_.seeds) {
      identity.group.voters.emplace_back(seed.get() + kFirstDiskSuffix);
    }
    return identity;
  }
  identity.node = node_id(own.get() + "." +
                          std::to_string(1 + GetRandomBelow(UINT64_MAX - 1)));
  return identity;
}

auto raft_node::Open() -> void {
  auto identity = disk_.LoadIdentity();
  if (!identity) {
    identity = MakeIdentity();
    disk_.Create(*identity);
    log_.Write(event_category::state, "disk_created",
               {{"node", identity->node.get()},
                {"first_start", settings_.is_bootstrap ? "yes" : "no"}});
  }
  self_ = identity->node;
  auto image = disk_.Load(*identity);
  if (!image.snap.state.empty()) {
    state_.restore(image.snap.state);
  }
  applied_ = image.snap.index;
  log_.Write(event_category::state, "disk_opened",
             {{"node", self_.get()},
              {"term", static_cast<std::int64_t>(image.hard.term.get())},
              {"snapshot", static_cast<std::int64_t>(image.snap.index.get())},
              {"entries", static_cast<std::int64_t>(image.entries.size())}});
  auto options = raft_options();
  options.self = self_;
  options.heartbeat = kHeartbeat;
  options.election_min = kElectionMin;
  options.election_max = kElectionMax;
  options.first_election_max = kFirstElectionMax;
  raft_ = std::make_unique<raft>(options, std::move(image), GetRandomBelow,
                                 loop_.RefreshNow());
}

auto raft_node::GetLinkAddress(const node_id& node) const -> host_port {
  const auto vm = GetNodeVm(node).get();
  return host_port(vm.substr(0, vm.rfind(':')) + ":" +
                   std::to_string(settings_.link_port));
}

auto raft_node::GetSeedLinkAddresses() const -> std::vector<host_port> {
  auto links = std::vector<host_port>();
  for (const auto& seed : settings_.seeds) {
    links.push_back(GetLinkAddress(node_id(seed.get() + kFirstDiskSuffix)));
  }
  return links;
}

auto raft_node::GetLinkAddresses() const -> std::vector<host_port> {
  auto links = std::vector<host_port>();
  const auto add = [&](const std::vector<node_id>& members) {
    for (const auto& member : members) {
      const auto link = GetLinkAddress(member);
      if (std::find(links.begin(), links.end(), link) == links.end()) {
        links.push_back(link);
      }
    }
  };
  add(raft_->get_group().voters);
  add(raft_->get_group().learners);
  return links.empty() ? GetSeedLinkAddresses() : links;
}

auto raft_node::PersistReady() -> bool {
  const auto now = loop_.get_now();
  if (disk_failed_ && now < next_write_retry_) {
    return false;
  }
  try {
    const auto began = loop_.get_now();
    disk_.Persist(*unpersisted_);
    const auto ended = loop_.RefreshNow();
    metrics_.Observe("ebony_disk_sync_seconds",
                     std::chrono::duration<double>(ended - began).count());
  } catch (const ebony_error& error) {
    next_write_retry_ = now + kWriteRetryInterval;
    metrics_.Count("ebony_disk_failures_total");
    if (!disk_failed_) {
      log_.Write(event_category::state, "disk_lost", {{"error", error.what()}});
    }
    disk_failed_ = true;
    raft_->StepDown();
    return false;
  }
  if (disk_failed_) {
    log_.Write(event_category::state, "disk_regained", {});
  }
  disk_failed_ = false;
  return true;
}

auto raft_node::ProcessReady(const node_id& answer_to)
    -> std::vector<raft_message> {
  auto answers = std::vector<raft_message>();
  for (auto round = 0; round < 16; ++round) {
    const auto is_retry = unpersisted_.has_value();
    if (!is_retry) {
      unpersisted_ = raft_->TakeReady();
    }
    if (unpersisted_->NeedsPersist() && !PersistReady()) {
      return {};
    }
    auto ready = std::move(*unpersisted_);
    unpersisted_.reset();
    raft_->OnPersisted(ready);
    if (ready.install) {
      state_.restore(ready.install->state);
      applied_ = ready.install->index;
    }
    const auto had_work = ready.NeedsPersist() || !ready.committed.empty();
    for (auto& message : ready.messages) {
      if (message.to == answer_to) {
        answers.push_back(std::move(message));
      } else {
        Enqueue(std::move(message));
      }
    }
    Apply(ready.committed);
    if (!had_work) {
      break;
    }
  }
  MaybeCompact();
  LogLeadership();
  FinishPendingReads();
  return answers;
}

auto raft_node::Apply(const std::vector<log_entry>& entries) -> void {
  for (const auto& entry : entries) {
    if (entry.index <= applied_) {
      continue;
    }
    applied_ = entry.index;
    if (entry.kind == entry_kind::membership) {
      log_.Write(
          event_category::state, "group_changed",
          {{"index", static_cast<std::int64_t>(entry.index.get())},
           {"voters", static_cast<std::int64_t>(entry.group.voters.size())},
           {"learners",
            static_cast<std::int64_t>(entry.group.learners.size())}});
    }
    state_.apply(entry);
  }
}

auto raft_node::Enqueue(raft_message message) -> void {
  const auto to = message.to;
  auto& queue = peers_[to].queue;
  queue.push_back(std::move(message));
  if (queue.size() > kMaxQueuedMessages) {
    queue.pop_front();
  }
  SendNext(to);
}

auto raft_node::SendNext(const node_id& to) -> void {
  auto& target = peers_[to];
  if (target.call != nullptr || target.queue.empty()) {
    return;
  }
  auto batch = schema::raft_batch();
  while (!target.queue.empty() &&
         batch.messages_size() < static_cast<int>(kMaxBatchMessages)) {
    *batch.add_messages() = ToSchema(target.queue.front());
    target.queue.pop_front();
  }
  const auto address = GetLinkAddress(to);
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, to, body] { OnPeerAnswer(to, *body); };
  hooks.on_failed = [this, to](call_failure) { OnPeerFailed(to); };
  auto options = MakeLinkOptions();
  options.connect_timeout = kPeerTimeout;
  options.max_idle_time = kPeerIdleTimeout;
  options.max_body_bytes = kMaxLinkBodyBytes;
  target.call = pool_.Start(
      address, RenderPost(kRaftPath, address, batch.SerializeAsString()), false,
      options, std::move(hooks));
  target.timeout = loop_.AddTimerIn(kPeerTimeout, [this, to] {
    if (peers_[to].call != nullptr) {
      peers_[to].call->Cancel();
      OnPeerFailed(to);
    }
  });
}

auto raft_node::OnPeerFailed(const node_id& to) -> void {
  auto& target = peers_[to];
  loop_.CancelTimer(target.timeout);
  target.call = nullptr;
  target.queue.clear();  // Raft sends the messages again that still apply
  metrics_.Count("ebony_peer_posts_failed_total");
}

auto raft_node::OnPeerAnswer(const node_id& from, const std::string& body)
    -> void {
  auto& target = peers_[from];
  loop_.CancelTimer(target.timeout);
  target.call = nullptr;
  auto batch = schema::raft_batch();
  if (!batch.ParseFromString(body)) {
    log_.Write(event_category::state, "peer_answer_unreadable",
               {{"peer", from.get()}});
    return;
  }
  if (!disk_failed_) {
    for (const auto& message : batch.messages()) {
      raft_->Step(loop_.get_now(), ToDomain(message));
    }
    ProcessReady({});
  }
  SendNext(from);
}

auto raft_node::OnRaftCall(const std::string& body)
    -> std::optional<std::string> {
  auto batch = schema::raft_batch();
  if (!batch.ParseFromString(body) || disk_failed_) {
    return std::nullopt;
  }
  auto from = node_id();
  for (const auto& message : batch.messages()) {
    from = node_id(message.from());
    raft_->Step(loop_.get_now(), ToDomain(message));
  }
  auto answer = schema::raft_batch();
  for (const auto& message : ProcessReady(from)) {
    *answer.add_messages() = ToSchema(message);
  }
  return answer.SerializeAsString();
}

auto raft_node::OnJoinCall(const std::string& body) -> std::string {
  auto call = schema::join_call();
  auto answer = schema::join_answer();
  answer.set_is_leader(is_leader());
  answer.set_leader_link(GetLeaderLinkAddress().get());
  if (call.ParseFromString(body) && !call.node().empty() && is_leader()) {
    joiners_[node_id(call.node())] = loop_.get_now();
  }
  return answer.SerializeAsString();
}

auto raft_node::MaybeJoin() -> void {
  const auto now = loop_.get_now();
  const auto& group = raft_->get_group();
  const auto contains = [this](const std::vector<node_id>& ids) {
    return std::find(ids.begin(), ids.end(), self_) != ids.end();
  };
  const auto is_member = contains(group.voters) || contains(group.learners);
  const auto has_leader = raft_->get_leader() != node_id();
  if (now < next_join_ || (is_member && has_leader)) {
    return;
  }
  next_join_ = now + kJoinInterval;
  // The seeds of the settings as they are now: those of the start may be gone.
  auto links = GetSeedLinkAddresses();
  for (const auto& link : GetLinkAddresses()) {
    links.push_back(link);
  }
  if (named_leader_ != host_port()) {
    links.insert(links.begin(), named_leader_);
  }
  std::erase(links, GetLinkAddress(self_));
  if (links.empty()) {
    return;
  }
  const auto address = links[next_join_link_++ % links.size()];
  auto call = schema::join_call();
  call.set_node(self_.get());
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, body] {
    auto answer = schema::join_answer();
    if (answer.ParseFromString(*body) && !answer.is_leader() &&
        !answer.leader_link().empty()) {
      named_leader_ = host_port(answer.leader_link());
      next_join_link_ = 0;
    }
  };
  auto options = MakeLinkOptions();
  options.connect_timeout = kPeerTimeout;
  pool_.Start(address, RenderPost(kJoinPath, address, call.SerializeAsString()),
              false, options, std::move(hooks));
}

auto raft_node::MaybeChangeMembership() -> void {
  if (!raft_->is_leader_ready()) {
    joiners_.clear();
    return;
  }
  const auto now = loop_.get_now();
  auto status = group_status();
  std::erase_if(joiners_, [now](const auto& item) {
    return now - item.second > kJoinRequestLifetime;
  });
  for (const auto& [node, time] : joiners_) {
    status.joiners.push_back(node);
  }
  status.members = GetMemberStatus();
  auto options = membership_plan_options();
  options.voter_target = std::max<std::size_t>(
      kMinVoterTarget, 2 * settings_.tolerated_vm_losses + 1);
  options.tolerated_losses = settings_.tolerated_vm_losses;
  const auto& group = raft_->get_group();
  RecordBorneLosses(group, status.members);
  const auto next = PlanMembership(group, self_, status, options);
  if (next && raft_->ProposeMembership(*next)) {
    log_.Write(event_category::state, "group_change_proposed",
               {{"voters", static_cast<std::int64_t>(next->voters.size())},
                {"learners", static_cast<std::int64_t>(next->learners.size())},
                {"joining", next->swap ? next->swap->joining.get() : ""},
                {"leaving", next->swap ? next->swap->leaving.get() : ""}});
    ProcessReady({});
  }
}

auto raft_node::GetMemberStatus() const -> member_status {
  auto status = member_status();
  status.is_caught_up = [this](const node_id& id) {
    return raft_->IsCaughtUp(id);
  };
  status.get_time_since_reply = [this](const node_id& id) {
    return id == self_ ? duration(0) : raft_->GetTimeSinceReply(id);
  };
  status.supports_swaps = [this](const node_id& id) {
    return raft_->SupportsSwaps(id);
  };
  status.disk_lost_after = kDiskLostAfter;
  return status;
}

auto raft_node::RecordBorneLosses(const membership& group,
                                  const member_status& members) -> void {
  const auto borne = CountBorneLosses(group, [&members](const node_id& id) {
    return members.get_time_since_reply(id) <= members.disk_lost_after;
  });
  metrics_.Set("ebony_control_voters",
               static_cast<double>(group.voters.size()));
  metrics_.Set("ebony_control_losses_borne", static_cast<double>(borne));
  if (borne != borne_losses_) {
    borne_losses_ = borne;
    log_.Write(event_category::state, "losses_borne",
               {{"count", static_cast<std::int64_t>(borne)},
                {"voters", static_cast<std::int64_t>(group.voters.size())},
                {"tolerate",
                 static_cast<std::int64_t>(settings_.tolerated_vm_losses)}});
  }
}

auto raft_node::MaybeCompact() -> void {
  if (disk_.get_log_bytes() < kCompactBytes || disk_failed_) {
    return;
  }
  try {
    const auto snap = raft_->Compact(applied_, state_.encode());
    disk_.Compact(snap, raft_->GetEntriesAfter(snap.index));
    log_.Write(event_category::state, "log_compacted",
               {{"index", static_cast<std::int64_t>(snap.index.get())}});
  } catch (const ebony_error& error) {
    log_.Write(event_category::state, "compaction_failed",
               {{"error", error.what()}});
  }
}

auto raft_node::LogLeadership() -> void {
  const auto ready = raft_->is_leader_ready();
  const auto& leader = raft_->get_leader();
  if (ready == was_ready_ && leader == logged_leader_) {
    return;
  }
  was_ready_ = ready;
  logged_leader_ = leader;
  log_.Write(event_category::state, "leader",
             {{"node", self_.get()},
              {"leader", leader.get()},
              {"leads", ready ? "yes" : "no"},
              {"term", static_cast<std::int64_t>(get_term().get())}});
}

auto raft_node::FinishPendingReads() -> void {
  const auto now = loop_.get_now();
  const auto confirmed =
      raft_->is_leader_ready() ? raft_->get_confirmed_round() : 0;
  auto open = std::vector<pending_read>();
  auto finished = std::vector<std::pair<std::function<void(bool)>, bool>>();
  for (auto& read : pending_reads_) {
    if (confirmed >= read.round) {
      finished.emplace_back(std::move(read.done), true);
    } else if (now >= read.deadline || !raft_->is_leader()) {
      finished.emplace_back(std::move(read.done), false);
    } else {
      open.push_back(std::move(read));
    }
  }
  pending_reads_ = std::move(open);
  for (const auto& [done, is_current] : finished) {
    done(is_current);
  }
}

auto raft_node::Tick() -> void {
  if (disk_failed_) {
    ProcessReady({});
    FinishPendingReads();
    return;
  }
  raft_->Tick(loop_.get_now());
  ProcessReady({});
  MaybeJoin();
  MaybeChangeMembership();
}

auto raft_node::Propose(const std::string& payload)
    -> std::optional<log_index> {
  if (!is_leader()) {
    return std::nullopt;
  }
  const auto index = raft_->Propose(payload);
  // Persisted from the event loop, so that one disk sync covers all entries
  // proposed in the same iteration.
  loop_.AddTimerIn(duration(0), [this] { ProcessReady({}); });
  return index;
}

auto raft_node::ConfirmLeadership(duration limit,
                                  std::function<void(bool)> done) -> void {
  if (!is_leader()) {
    done(false);
    return;
  }
  pending_reads_.push_back(
      {raft_->get_next_round(), loop_.get_now() + limit, std::move(done)});
}

auto raft_node::is_leader() const -> bool {
  return raft_ != nullptr && !disk_failed_ && raft_->is_leader_ready();
}

auto raft_node::IsConfirmedLeader() const -> bool {
  return is_leader() && raft_->HasFreshQuorum(loop_.RefreshNow());
}

auto raft_node::get_term() const -> term_number {
  return raft_->get_term();
}

auto raft_node::GetLeaderLinkAddress() const -> host_port {
  const auto& leader = raft_->get_leader();
  return leader == node_id() ? host_port() : GetLinkAddress(leader);
}

auto raft_node::GetLeaderOperatorAddress() const -> host_port {
  const auto& leader = raft_->get_leader();
  return leader == node_id() ? host_port() : host_port(GetNodeVm(leader).get());
}

}  // namespace ebony
