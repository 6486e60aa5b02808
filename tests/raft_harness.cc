#include "tests/raft_harness.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "codec/control_codec.h"
#include "consensus/voter_replacement.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// Shortest election timeout of the members.
constexpr duration kElectionMin = milliseconds(200);
constexpr auto kDownTime = milliseconds(700);
constexpr auto kMessageDelay = milliseconds(900);
constexpr auto kPartitionTime = milliseconds(1500);
constexpr auto kPauseTime = milliseconds(1200);
constexpr auto kClockJump = milliseconds(5000);
constexpr auto kDiskLostAfter = milliseconds(800);

auto MakeOptions(const node_id& self) -> raft_options {
  auto options = raft_options();
  options.self = self;
  options.heartbeat = milliseconds(50);
  options.election_min = kElectionMin;
  options.election_max = milliseconds(400);
  return options;
}

[[noreturn]] auto FailInvariant(const std::string& message) -> void {
  throw std::logic_error(message);
}

}  // namespace

raft_harness::raft_harness(std::size_t voters, std::uint64_t seed)
    : random_(seed), now_(At(0)) {
  auto initial = raft_persistent_state();
  for (auto i = std::size_t{1}; i <= voters; ++i) {
    initial.snap.group.voters.emplace_back("c" + std::to_string(i) + ".first");
  }
  for (const auto& id : initial.snap.group.voters) {
    auto& item = nodes_[id];
    item.id = id;
    Start(item, initial);
  }
}

auto raft_harness::Start(node& item, raft_persistent_state state) -> void {
  item.disk = state;
  item.state = control_state(0);
  if (!state.snap.state.empty()) {
    item.state.Restore(DecodeState(state.snap.state));
  }
  item.protocol = std::make_unique<raft>(
      MakeOptions(item.id), std::move(state),
      [this](std::uint64_t bound) { return random_() % bound; },
      GetLocalTime(item));
}

auto raft_harness::GetLocalTime(const node& item) const -> mono_time {
  return now_ + item.clock_offset;
}

auto raft_harness::Crash(node& item, duration downtime) -> void {
  item.protocol.reset();
  item.restart_at = now_ + downtime;
}

auto raft_harness::Partition(const node_id& from,
                             const node_id& to,
                             bool both_ways) -> void {
  partitions_.insert({GetNodeVm(from), GetNodeVm(to)});
  if (both_ways) {
    partitions_.insert({GetNodeVm(to), GetNodeVm(from)});
  }
  heal_at_ = now_ + kPartitionTime;
}

auto raft_harness::CheckSingleLeader(const node& item) -> void {
  if (!item.protocol || !item.protocol->is_leader()) {
    return;
  }
  const auto [seen, is_new] =
      leaders_.emplace(item.protocol->get_term(), item.id);
  leader_since_.try_emplace(item.protocol->get_term(), now_);
  if (!is_new && seen->second != item.id) {
    FailInvariant("two leaders in one term");
  }
}

auto raft_harness::CheckFreshLeaders() -> void {
  for (const auto& [id, item] : nodes_) {
    if (!item.protocol || !item.protocol->HasFreshQuorum(GetLocalTime(item))) {
      continue;
    }
    const auto successor = leader_since_.upper_bound(item.protocol->get_term());
    if (successor != leader_since_.end() &&
        now_ - successor->second > kElectionMin) {
      FailInvariant("a deposed leader has a fresh quorum");
    }
  }
}

auto raft_harness::Apply(node& item, const log_entry& entry) -> void {
  const auto payload =
      std::to_string(static_cast<int>(entry.kind)) + entry.payload;
  const auto [seen, is_new] = applied_.emplace(entry.index, payload);
  if (!is_new && seen->second != payload) {
    FailInvariant("different entries applied at index " +
                  std::to_string(entry.index.get()));
  }
  const auto version = config_version(entry.index.get());
  if (version <= item.state.get_version()) {
    FailInvariant("entry applied twice");
  }
  if (entry.kind == entry_kind::command) {
    item.state.ApplyCommand(DecodeCommand(entry.payload), version);
  } else {
    item.state.AdvanceTo(version);
  }
}

auto raft_harness::ProcessReady(node& item, raft_fault fault) -> void {
  for (;;) {
    const auto ready = item.protocol->TakeReady();
    if (fault == raft_fault::crash_before_sync) {
      Crash(item, kDownTime);
      return;
    }
    if (ready.hard) {
      item.disk.hard = *ready.hard;
    }
    if (ready.install) {
      item.disk.snap = *ready.install;
      item.disk.entries.clear();
      item.state.Restore(DecodeState(ready.install->state));
    }
    for (const auto& entry : ready.append) {
      const auto kept_count =
          entry.index.get() - item.disk.snap.index.get() - 1;
      item.disk.entries.resize(std::min<std::size_t>(
          item.disk.entries.size(), static_cast<std::size_t>(kept_count)));
      item.disk.entries.push_back(entry);
    }
    if (fault == raft_fault::crash_after_sync) {
      Crash(item, kDownTime);
      return;
    }
    item.protocol->OnPersisted(ready);
    const auto restarts = fault == raft_fault::restart_immediately;
    for (const auto& message : ready.messages) {
      network_.push_back({now_ + kLatency, next_sequence_++, message});
    }
    for (const auto& entry : ready.committed) {
      Apply(item, entry);
    }
    CheckSingleLeader(item);
    if (restarts) {
      // Restarts after the messages were sent; only the disk state remains.
      Start(item, item.disk);
      return;
    }
    if (!ready.NeedsPersist() && ready.messages.empty() &&
        ready.committed.empty()) {
      return;
    }
  }
}

auto raft_harness::PopDueMessage() -> std::optional<in_flight_message> {
  const auto first = std::min_element(
      network_.begin(), network_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.arrives_at, a.sequence) <
               std::pair(b.arrives_at, b.sequence);
      });
  if (first == network_.end() || first->arrives_at > now_) {
    return std::nullopt;
  }
  auto item = std::move(*first);
  network_.erase(first);
  return item;
}

auto raft_harness::Deliver(const in_flight_message& item, raft_fault fault)
    -> void {
  const auto found = nodes_.find(item.message.to);
  const auto is_partitioned = IsCut(item.message.from, item.message.to);
  if (found == nodes_.end() || !found->second.protocol || is_partitioned) {
    return;
  }
  auto& target = found->second;
  switch (fault) {
    case raft_fault::message_lost:
      return;
    case raft_fault::message_delayed:
      network_.push_back(
          {now_ + kMessageDelay, next_sequence_++, item.message});
      return;
    case raft_fault::message_reordered:
      network_.push_back({now_ + 3 * kLatency, next_sequence_++, item.message});
      return;
    case raft_fault::message_duplicated:
      network_.push_back({now_ + kLatency, next_sequence_++, item.message});
      network_.push_back(
          {now_ + kMessageDelay, next_sequence_++, item.message});
      break;
    case raft_fault::partition_one_way:
      Partition(item.message.from, item.message.to, false);
      return;
    case raft_fault::partition_both_ways:
      Partition(item.message.from, item.message.to, true);
      return;
    case raft_fault::clock_jump:
      target.clock_offset += kClockJump;
      break;
    case raft_fault::process_pause:
      target.paused_until = now_ + kPauseTime;
      break;
    case raft_fault::none:
    case raft_fault::crash_before_sync:
    case raft_fault::crash_after_sync:
    case raft_fault::restart_immediately:
      break;
  }
  if (now_ < target.paused_until) {
    network_.push_back({target.paused_until, next_sequence_++, item.message});
    return;
  }
  target.protocol->Step(GetLocalTime(target), item.message);
  ProcessReady(target, fault);
  CheckFreshLeaders();
}

auto raft_harness::GetMemberStatus(const raft& protocol) const
    -> member_status {
  auto status = member_status();
  status.is_caught_up = [&protocol](const node_id& id) {
    return protocol.IsCaughtUp(id);
  };
  status.get_time_since_reply = [&protocol](const node_id& id) {
    return protocol.GetTimeSinceReply(id);
  };
  status.supports_swaps = [&protocol](const node_id& id) {
    return protocol.SupportsSwaps(id);
  };
  status.disk_lost_after = kDiskLostAfter;
  return status;
}

auto raft_harness::ListJoiners(const node& leader) const
    -> std::vector<node_id> {
  const auto& group = leader.protocol->get_group();
  const auto contains = [](const std::vector<node_id>& ids, const node_id& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  };
  auto list = std::vector<node_id>();
  for (const auto& [id, item] : nodes_) {
    const auto can_ask = item.protocol && now_ >= item.paused_until &&
                         !IsCut(id, leader.id) && !IsCut(leader.id, id);
    if (can_ask && !contains(group.voters, id) &&
        !contains(group.learners, id)) {
      list.push_back(id);
    }
  }
  return list;
}

auto raft_harness::ChangeMembership(node& item) -> void {
  auto& protocol = *item.protocol;
  const auto members = GetMemberStatus(protocol);
  if (planner_) {
    const auto status = group_status{ListJoiners(item), members};
    if (const auto next = planner_(protocol.get_group(), item.id, status)) {
      protocol.ProposeMembership(*next);
    }
    return;
  }
  if (protocol.get_group().swap) {
    protocol.ProposeMembership(EndSwap(protocol.get_group(), item.id, members));
    return;
  }
  for (const auto& joiner : joiners_) {
    if (const auto next =
            PlanReplacement(protocol.get_group(), joiner, members)) {
      protocol.ProposeMembership(*next);
    }
  }
}

auto raft_harness::Run(duration time) -> void {
  const auto end = now_ + time;
  auto next_tick = now_;
  while (now_ < end) {
    now_ += kLatency;
    if (!partitions_.empty() && now_ >= heal_at_) {
      partitions_.clear();
    }
    while (auto item = PopDueMessage()) {
      const auto injected = faults_.find(steps_++);
      Deliver(*item,
              injected == faults_.end() ? raft_fault::none : injected->second);
    }
    if (now_ < next_tick) {
      continue;
    }
    next_tick = now_ + kTick;
    for (auto& [id, item] : nodes_) {
      if (!item.protocol && item.restart_at != mono_time::max() &&
          now_ >= item.restart_at) {
        Start(item, item.disk);
      }
      if (!item.protocol || now_ < item.paused_until) {
        continue;
      }
      item.protocol->Tick(GetLocalTime(item));
      if (item.protocol->is_leader_ready()) {
        ChangeMembership(item);
      }
      ProcessReady(item, raft_fault::none);
    }
  }
}

auto raft_harness::InjectFault(std::uint64_t steps_from_now, raft_fault fault)
    -> void {
  faults_[steps_ + steps_from_now] = fault;
}

auto raft_harness::IsCut(const node_id& from, const node_id& to) const -> bool {
  return partitions_.contains({GetNodeVm(from), GetNodeVm(to)});
}

auto raft_harness::Freeze(const node_id& id, duration time) -> void {
  nodes_.at(id).paused_until = now_ + time;
}

auto raft_harness::Cut(const node_id& id, duration time) -> void {
  const auto end = partitions_.empty() ? now_ : heal_at_;
  for (const auto& [other, item] : nodes_) {
    if (other != id) {
      Partition(id, other, true);
    }
  }
  heal_at_ = std::max(end, now_ + time);
}

auto raft_harness::Stop(const node_id& id, duration time) -> void {
  Crash(nodes_.at(id), time);
}

auto raft_harness::ReplaceNode(const node_id& id,
                               const node_id& successor,
                               duration time) -> void {
  nodes_.erase(id);
  auto& item = nodes_[successor];
  item.id = successor;
  item.restart_at = now_ + time;
}

auto raft_harness::ListRunning() const -> std::vector<node_id> {
  auto list = std::vector<node_id>();
  for (const auto& [id, item] : nodes_) {
    if (item.protocol && now_ >= item.paused_until) {
      list.push_back(id);
    }
  }
  return list;
}

auto raft_harness::Heal() -> void {
  faults_.clear();
  partitions_.clear();
}

auto raft_harness::FindLeader() const -> std::optional<node_id> {
  auto best = std::optional<node_id>();
  auto best_term = term_number();
  for (const auto& [id, item] : nodes_) {
    if (item.protocol && item.protocol->is_leader_ready() &&
        item.protocol->get_term() >= best_term) {
      best = id;
      best_term = item.protocol->get_term();
    }
  }
  return best;
}

auto raft_harness::Propose(const control_command& command) -> bool {
  const auto leader = FindLeader();
  if (!leader) {
    return false;
  }
  auto& item = nodes_.at(*leader);
  if (now_ < item.paused_until) {
    return false;
  }
  const auto index = item.protocol->Propose(EncodeCommand(command));
  ProcessReady(item, raft_fault::none);
  return index.has_value();
}

auto raft_harness::Compact() -> void {
  for (auto& [id, item] : nodes_) {
    if (!item.protocol) {
      continue;
    }
    const auto index = log_index(item.state.get_version().get());
    const auto snap =
        item.protocol->Compact(index, EncodeState(item.state.get_data()));
    item.disk.snap = snap;
    std::erase_if(item.disk.entries, [&snap](const log_entry& entry) {
      return entry.index <= snap.index;
    });
  }
}

auto raft_harness::Kill(const node_id& id) -> void {
  auto& item = nodes_.at(id);
  item.protocol.reset();
  item.restart_at = mono_time::max();
}

auto raft_harness::ReplaceDisk(const node_id& lost, const node_id& replacement)
    -> void {
  nodes_.erase(lost);
  auto& item = nodes_[replacement];
  item.id = replacement;
  Start(item, raft_persistent_state());
  joiners_.insert(replacement);
}

auto raft_harness::FindOutcome(const change_id& id) const
    -> std::optional<change_outcome> {
  const auto leader = FindLeader();
  return leader ? nodes_.at(*leader).state.GetOutcome(id) : std::nullopt;
}

auto raft_harness::GetState(const node_id& id) const -> const control_state& {
  return nodes_.at(id).state;
}

auto raft_harness::GetGroup() const -> membership {
  const auto leader = FindLeader();
  return leader ? nodes_.at(*leader).protocol->get_group() : membership();
}

}  // namespace ebony::testing
