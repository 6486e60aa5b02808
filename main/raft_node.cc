#include "main/raft_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "codec/link_codec.h"
#include "core/error_kind.h"
#include "main/site_paths.h"

namespace ebony {

namespace {

constexpr duration kHeartbeat = std::chrono::milliseconds(150);
constexpr duration kElectionMin = std::chrono::milliseconds(700);
constexpr duration kElectionMax = std::chrono::milliseconds(1300);
constexpr duration kFirstElectionMax = std::chrono::milliseconds(400);
// A post between members that takes longer is given up.
constexpr duration kPeerTimeout = std::chrono::milliseconds(400);
constexpr duration kPeerIdle = std::chrono::seconds(5);
constexpr std::size_t kMaxQueuedMessages = 64;
constexpr std::size_t kMaxBatchMessages = 32;
constexpr duration kJoinInterval = std::chrono::milliseconds(400);
constexpr duration kJoinerMemory = std::chrono::seconds(3);
constexpr duration kWriteRetry = std::chrono::milliseconds(200);
constexpr duration kLostDiskAfter = std::chrono::milliseconds(600);
constexpr std::uint64_t kCompactBytes = 512 * 1024;  // of log on the disk
constexpr std::size_t kMinVoterTarget = 5;
constexpr const char* kFirstDisk = ".0";

auto MakeRandom() -> std::mt19937_64 {
  return std::mt19937_64(std::random_device()());
}

auto DrawBelow(std::uint64_t bound) -> std::uint64_t {
  static auto generator = MakeRandom();
  return bound == 0 ? 0 : generator() % bound;
}

}  // namespace

raft_node::raft_node(const site_settings& settings,
                     event_loop& loop,
                     http_pool& pool,
                     event_log& log,
                     metrics& counters,
                     replicated_state state)
    : settings_(settings),
      loop_(loop),
      pool_(pool),
      log_(log),
      metrics_(counters),
      state_(std::move(state)),
      disk_(settings.data_folder) {
  for (const auto& seed : settings_.seeds) {
    known_links_.push_back(GetLink(node_id(seed.get() + kFirstDisk)));
  }
}

// A seed's first disk has a name that all members can tell beforehand; every
// later disk gets a random one, so that no member takes it for the former.
auto raft_node::MakeIdentity() -> disk_identity {
  auto identity = disk_identity();
  const auto& own = settings_.operator_address;
  const auto is_seed = std::find(settings_.seeds.begin(), settings_.seeds.end(),
                                 own) != settings_.seeds.end();
  if (settings_.is_first_start && is_seed) {
    identity.node = node_id(own.get() + kFirstDisk);
    for (const auto& seed : settings_.seeds) {
      identity.group.voters.emplace_back(seed.get() + kFirstDisk);
    }
    return identity;
  }
  identity.node =
      node_id(own.get() + "." + std::to_string(1 + DrawBelow(UINT64_MAX - 1)));
  return identity;
}

auto raft_node::Open() -> void {
  auto identity = disk_.LoadIdentity();
  if (!identity) {
    identity = MakeIdentity();
    disk_.Create(*identity);
    log_.Write(line_weight::state, "disk_created",
               {{"node", identity->node.get()},
                {"first_start", settings_.is_first_start ? "yes" : "no"}});
  }
  self_ = identity->node;
  auto image = disk_.Load(*identity);
  if (!image.base.state.empty()) {
    state_.restore(image.base.state);
  }
  applied_ = image.base.index;
  log_.Write(line_weight::state, "disk_opened",
             {{"node", self_.get()},
              {"term", static_cast<std::int64_t>(image.hard.term.get())},
              {"snapshot", static_cast<std::int64_t>(image.base.index.get())},
              {"entries", static_cast<std::int64_t>(image.entries.size())}});
  auto options = raft_options();
  options.self = self_;
  options.heartbeat = kHeartbeat;
  options.election_min = kElectionMin;
  options.election_max = kElectionMax;
  options.first_election_max = kFirstElectionMax;
  raft_ = std::make_unique<raft>(options, std::move(image), DrawBelow,
                                 loop_.RefreshNow());
}

auto raft_node::GetLink(const node_id& node) const -> host_port {
  const auto vm = GetNodeVm(node).get();
  return host_port(vm.substr(0, vm.rfind(':')) + ":" +
                   std::to_string(settings_.link_port));
}

auto raft_node::GetLinks() const -> std::vector<host_port> {
  auto links = known_links_;
  const auto add = [&](const std::vector<node_id>& members) {
    for (const auto& member : members) {
      const auto link = GetLink(member);
      if (std::find(links.begin(), links.end(), link) == links.end()) {
        links.push_back(link);
      }
    }
  };
  links.clear();
  add(raft_->get_group().voters);
  add(raft_->get_group().learners);
  if (links.empty()) {
    links = known_links_;
  }
  return links;
}

auto raft_node::WriteReady() -> bool {
  const auto now = loop_.get_now();
  if (disk_failed_ && now < next_write_) {
    return false;
  }
  try {
    const auto began = loop_.get_now();
    disk_.Persist(*unwritten_);
    const auto ended = loop_.RefreshNow();
    metrics_.Observe("ebony_disk_sync_seconds",
                     std::chrono::duration<double>(ended - began).count());
  } catch (const ebony_error& error) {
    next_write_ = now + kWriteRetry;
    metrics_.Count("ebony_disk_failures_total");
    if (!disk_failed_) {
      log_.Write(line_weight::state, "disk_lost", {{"error", error.what()}});
    }
    disk_failed_ = true;
    raft_->StepDown();
    return false;
  }
  if (disk_failed_) {
    log_.Write(line_weight::state, "disk_regained", {});
  }
  disk_failed_ = false;
  return true;
}

auto raft_node::RunReady(const node_id& answer_to)
    -> std::vector<raft_message> {
  auto answers = std::vector<raft_message>();
  for (auto round = 0; round < 16; ++round) {
    const auto is_retry = unwritten_.has_value();
    if (!is_retry) {
      unwritten_ = raft_->TakeReady();
    }
    if (unwritten_->NeedsDisk() && !WriteReady()) {
      return {};
    }
    auto ready = std::move(*unwritten_);
    unwritten_.reset();
    raft_->Persisted(ready);
    if (ready.install) {
      state_.restore(ready.install->state);
      applied_ = ready.install->index;
    }
    const auto had_work = ready.NeedsDisk() || !ready.committed.empty();
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
  FinishReads();
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
          line_weight::state, "group_changed",
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
  const auto address = GetLink(to);
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_head = [](const http_head&) { return true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_whole = [this, to, body] { OnPeerAnswer(to, *body); };
  hooks.on_failed = [this, to](call_failure) { OnPeerFailed(to); };
  auto options = call_options();
  options.connect_time = kPeerTimeout;
  options.max_idle = kPeerIdle;
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
  target.queue.clear();  // Raft repeats what still matters
  metrics_.Count("ebony_peer_posts_failed_total");
}

auto raft_node::OnPeerAnswer(const node_id& from, const std::string& body)
    -> void {
  auto& target = peers_[from];
  loop_.CancelTimer(target.timeout);
  target.call = nullptr;
  auto batch = schema::raft_batch();
  if (!batch.ParseFromString(body)) {
    log_.Write(line_weight::state, "peer_answer_unreadable",
               {{"peer", from.get()}});
    return;
  }
  if (!disk_failed_) {
    for (const auto& message : batch.messages()) {
      raft_->Step(loop_.get_now(), ToDomain(message));
    }
    RunReady({});
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
  for (const auto& message : RunReady(from)) {
    *answer.add_messages() = ToSchema(message);
  }
  return answer.SerializeAsString();
}

auto raft_node::OnJoinCall(const std::string& body) -> std::string {
  auto call = schema::join_call();
  auto answer = schema::join_answer();
  answer.set_is_leader(is_leader());
  answer.set_leader_link(GetLeaderLink().get());
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
  const auto hears_leader = raft_->get_leader() != node_id();
  if (now < next_join_ || (is_member && hears_leader)) {
    return;
  }
  next_join_ = now + kJoinInterval;
  auto links = known_links_;
  for (const auto& link : GetLinks()) {
    links.push_back(link);
  }
  std::erase(links, GetLink(self_));
  if (links.empty()) {
    return;
  }
  const auto address = links[join_turn_++ % links.size()];
  auto call = schema::join_call();
  call.set_node(self_.get());
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_head = [](const http_head&) { return true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_whole = [this, body] {
    auto answer = schema::join_answer();
    if (answer.ParseFromString(*body) && !answer.is_leader() &&
        !answer.leader_link().empty()) {
      const auto leader = host_port(answer.leader_link());
      std::erase(known_links_, leader);
      known_links_.insert(known_links_.begin(), leader);
      join_turn_ = 0;
    }
  };
  auto options = call_options();
  options.connect_time = kPeerTimeout;
  pool_.Start(address, RenderPost(kJoinPath, address, call.SerializeAsString()),
              false, options, std::move(hooks));
}

auto raft_node::MaybeChangeGroup() -> void {
  if (!raft_->is_leader_ready()) {
    joiners_.clear();
    return;
  }
  const auto now = loop_.get_now();
  auto facts = group_facts();
  std::erase_if(joiners_, [now](const auto& item) {
    return now - item.second > kJoinerMemory;
  });
  for (const auto& [node, time] : joiners_) {
    facts.joiners.push_back(node);
  }
  facts.members.is_caught_up = [this](const node_id& id) {
    return raft_->IsCaughtUp(id);
  };
  facts.members.get_silence = [this](const node_id& id) {
    return id == self_ ? duration(0) : raft_->GetSilence(id);
  };
  facts.members.lost_after = kLostDiskAfter;
  auto options = group_plan_options();
  options.voter_target = std::max<std::size_t>(
      kMinVoterTarget, 2 * settings_.tolerated_losses + 1);
  const auto next = PlanGroup(raft_->get_group(), self_, facts, options);
  if (next && raft_->ProposeMembership(*next)) {
    log_.Write(
        line_weight::state, "group_change_proposed",
        {{"voters", static_cast<std::int64_t>(next->voters.size())},
         {"learners", static_cast<std::int64_t>(next->learners.size())}});
    RunReady({});
  }
}

auto raft_node::MaybeCompact() -> void {
  if (disk_.get_log_bytes() < kCompactBytes || disk_failed_) {
    return;
  }
  try {
    const auto snap = raft_->Compact(applied_, state_.encode());
    disk_.Compact(snap, raft_->GetEntriesAfter(snap.index));
    log_.Write(line_weight::state, "log_compacted",
               {{"index", static_cast<std::int64_t>(snap.index.get())}});
  } catch (const ebony_error& error) {
    log_.Write(line_weight::state, "compaction_failed",
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
  log_.Write(line_weight::state, "leader",
             {{"node", self_.get()},
              {"leader", leader.get()},
              {"leads", ready ? "yes" : "no"},
              {"term", static_cast<std::int64_t>(get_term().get())}});
}

auto raft_node::FinishReads() -> void {
  const auto now = loop_.get_now();
  const auto confirmed =
      raft_->is_leader_ready() ? raft_->get_confirmed_round() : 0;
  auto open = std::vector<pending_read>();
  auto finished = std::vector<std::pair<std::function<void(bool)>, bool>>();
  for (auto& read : reads_) {
    if (confirmed >= read.round) {
      finished.emplace_back(std::move(read.done), true);
    } else if (now >= read.until || !raft_->is_leader()) {
      finished.emplace_back(std::move(read.done), false);
    } else {
      open.push_back(std::move(read));
    }
  }
  reads_ = std::move(open);
  for (const auto& [done, is_current] : finished) {
    done(is_current);
  }
}

auto raft_node::Tick() -> void {
  if (disk_failed_) {
    RunReady({});
    FinishReads();
    return;
  }
  raft_->Tick(loop_.get_now());
  RunReady({});
  MaybeJoin();
  MaybeChangeGroup();
}

auto raft_node::Propose(const std::string& payload)
    -> std::optional<log_index> {
  if (!is_leader()) {
    return std::nullopt;
  }
  const auto index = raft_->Propose(payload);
  // The entry goes to the disk from the loop, with whatever else came.
  loop_.AddTimerIn(duration(0), [this] { RunReady({}); });
  return index;
}

auto raft_node::ConfirmLeadership(duration limit,
                                  std::function<void(bool)> done) -> void {
  if (!is_leader()) {
    done(false);
    return;
  }
  reads_.push_back(
      {raft_->get_next_round(), loop_.get_now() + limit, std::move(done)});
}

auto raft_node::is_leader() const -> bool {
  return raft_ != nullptr && !disk_failed_ && raft_->is_leader_ready();
}

auto raft_node::get_term() const -> term_number {
  return raft_->get_term();
}

auto raft_node::GetLeaderLink() const -> host_port {
  const auto& leader = raft_->get_leader();
  return leader == node_id() ? host_port() : GetLink(leader);
}

auto raft_node::GetLeaderOperator() const -> host_port {
  const auto& leader = raft_->get_leader();
  return leader == node_id() ? host_port() : host_port(GetNodeVm(leader).get());
}

}  // namespace ebony
