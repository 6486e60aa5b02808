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

constexpr auto kDownTime = milliseconds(700);
constexpr auto kLateTime = milliseconds(900);
constexpr auto kCutTime = milliseconds(1500);
constexpr auto kFreezeTime = milliseconds(1200);
constexpr auto kClockJump = milliseconds(5000);
constexpr auto kLostAfter = milliseconds(800);

auto MakeOptions(const node_id& self) -> raft_options {
  auto options = raft_options();
  options.self = self;
  options.heartbeat = milliseconds(50);
  options.election_min = milliseconds(200);
  options.election_max = milliseconds(400);
  return options;
}

[[noreturn]] auto Breach(const std::string& what) -> void {
  throw std::logic_error(what);
}

}  // namespace

raft_harness::raft_harness(std::size_t voters, std::uint64_t seed)
    : random_(seed), now_(At(0)) {
  auto image = raft_persistent_state();
  for (auto i = std::size_t{1}; i <= voters; ++i) {
    image.snap.group.voters.emplace_back("c" + std::to_string(i) + ".first");
  }
  for (const auto& id : image.snap.group.voters) {
    auto& item = nodes_[id];
    item.id = id;
    Open(item, image);
  }
}

auto raft_harness::Open(node& item, raft_persistent_state image) -> void {
  item.disk = image;
  item.state = control_state(0);
  if (!image.snap.state.empty()) {
    item.state.Restore(DecodeState(image.snap.state));
  }
  item.protocol = std::make_unique<raft>(
      MakeOptions(item.id), std::move(image),
      [this](std::uint64_t bound) { return random_() % bound; },
      GetLocalTime(item));
}

auto raft_harness::GetLocalTime(const node& item) const -> mono_time {
  return now_ + item.clock_offset;
}

auto raft_harness::Crash(node& item, duration down) -> void {
  item.protocol.reset();
  item.restart_at = now_ + down;
}

auto raft_harness::Cut(const node_id& from, const node_id& to, bool both)
    -> void {
  cuts_.insert({GetNodeVm(from), GetNodeVm(to)});
  if (both) {
    cuts_.insert({GetNodeVm(to), GetNodeVm(from)});
  }
  heal_at_ = now_ + kCutTime;
}

auto raft_harness::Check(const node& item) -> void {
  if (!item.protocol || !item.protocol->is_leader()) {
    return;
  }
  const auto [known, is_new] =
      leaders_.emplace(item.protocol->get_term(), item.id);
  if (!is_new && known->second != item.id) {
    Breach("two leaders in one term");
  }
}

auto raft_harness::Apply(node& item, const log_entry& entry) -> void {
  const auto payload =
      std::to_string(static_cast<int>(entry.kind)) + entry.payload;
  const auto [known, is_new] = applied_.emplace(entry.index, payload);
  if (!is_new && known->second != payload) {
    Breach("two entries applied at index " + std::to_string(entry.index.get()));
  }
  const auto version = config_version(entry.index.get());
  if (version <= item.state.get_version()) {
    Breach("an entry applied twice");
  }
  if (entry.kind == entry_kind::command) {
    item.state.ApplyCommand(DecodeCommand(entry.payload), version);
  } else {
    item.state.AdvanceTo(version);
  }
}

auto raft_harness::Process(node& item, raft_fault fault) -> void {
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
      const auto keep = entry.index.get() - item.disk.snap.index.get() - 1;
      item.disk.entries.resize(std::min<std::size_t>(
          item.disk.entries.size(), static_cast<std::size_t>(keep)));
      item.disk.entries.push_back(entry);
    }
    if (fault == raft_fault::crash_after_sync) {
      Crash(item, kDownTime);
      return;
    }
    item.protocol->OnPersisted(ready);
    const auto restarts = fault == raft_fault::restart_at_once;
    for (const auto& message : ready.messages) {
      network_.push_back({now_ + kLatency, next_order_++, message});
    }
    for (const auto& entry : ready.committed) {
      Apply(item, entry);
    }
    Check(item);
    if (restarts) {
      // The messages are out; the next moment finds only the disk.
      Open(item, item.disk);
      return;
    }
    if (!ready.NeedsPersist() && ready.messages.empty() &&
        ready.committed.empty()) {
      return;
    }
  }
}

auto raft_harness::TakeDue() -> std::optional<flight> {
  const auto first = std::min_element(
      network_.begin(), network_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.arrives, a.order) < std::pair(b.arrives, b.order);
      });
  if (first == network_.end() || first->arrives > now_) {
    return std::nullopt;
  }
  auto item = std::move(*first);
  network_.erase(first);
  return item;
}

auto raft_harness::Deliver(const flight& item, raft_fault fault) -> void {
  const auto found = nodes_.find(item.message.to);
  const auto is_cut = cuts_.contains(
      {GetNodeVm(item.message.from), GetNodeVm(item.message.to)});
  if (found == nodes_.end() || !found->second.protocol || is_cut) {
    return;
  }
  auto& target = found->second;
  switch (fault) {
    case raft_fault::message_lost:
      return;
    case raft_fault::message_late:
      network_.push_back({now_ + kLateTime, next_order_++, item.message});
      return;
    case raft_fault::message_reordered:
      network_.push_back({now_ + 3 * kLatency, next_order_++, item.message});
      return;
    case raft_fault::message_repeated:
      network_.push_back({now_ + kLatency, next_order_++, item.message});
      network_.push_back({now_ + kLateTime, next_order_++, item.message});
      break;
    case raft_fault::cut_one_way:
      Cut(item.message.from, item.message.to, false);
      return;
    case raft_fault::cut_both_ways:
      Cut(item.message.from, item.message.to, true);
      return;
    case raft_fault::clock_jump:
      target.clock_offset += kClockJump;
      break;
    case raft_fault::freeze:
      target.frozen_until = now_ + kFreezeTime;
      break;
    case raft_fault::none:
    case raft_fault::crash_before_sync:
    case raft_fault::crash_after_sync:
    case raft_fault::restart_at_once:
      break;
  }
  if (now_ < target.frozen_until) {
    network_.push_back({target.frozen_until, next_order_++, item.message});
    return;
  }
  target.protocol->Step(GetLocalTime(target), item.message);
  Process(target, fault);
}

auto raft_harness::Run(duration time) -> void {
  const auto end = now_ + time;
  auto next_tick = now_;
  while (now_ < end) {
    now_ += kLatency;
    if (!cuts_.empty() && now_ >= heal_at_) {
      cuts_.clear();
    }
    while (auto item = TakeDue()) {
      const auto planned = faults_.find(steps_++);
      Deliver(*item,
              planned == faults_.end() ? raft_fault::none : planned->second);
    }
    if (now_ < next_tick) {
      continue;
    }
    next_tick = now_ + kTick;
    for (auto& [id, item] : nodes_) {
      if (!item.protocol && item.restart_at != mono_time::max() &&
          now_ >= item.restart_at) {
        Open(item, item.disk);
      }
      if (!item.protocol || now_ < item.frozen_until) {
        continue;
      }
      item.protocol->Tick(GetLocalTime(item));
      if (item.protocol->is_leader_ready()) {
        auto facts = member_status();
        auto* protocol = item.protocol.get();
        facts.is_caught_up = [protocol](const node_id& node) {
          return protocol->IsCaughtUp(node);
        };
        facts.get_time_since_reply = [protocol](const node_id& node) {
          return protocol->GetTimeSinceReply(node);
        };
        facts.disk_lost_after = kLostAfter;
        for (const auto& joiner : joiners_) {
          if (const auto next =
                  PlanReplacement(protocol->get_group(), joiner, facts)) {
            protocol->ProposeMembership(*next);
          }
        }
      }
      Process(item, raft_fault::none);
    }
  }
}

auto raft_harness::Plan(std::uint64_t steps_from_now, raft_fault fault)
    -> void {
  faults_[steps_ + steps_from_now] = fault;
}

auto raft_harness::Heal() -> void {
  faults_.clear();
  cuts_.clear();
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
  if (now_ < item.frozen_until) {
    return false;
  }
  const auto index = item.protocol->Propose(EncodeCommand(command));
  Process(item, raft_fault::none);
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

auto raft_harness::ReplaceDisk(const node_id& lost, const node_id& fresh)
    -> void {
  nodes_.erase(lost);
  auto& item = nodes_[fresh];
  item.id = fresh;
  Open(item, raft_persistent_state());
  joiners_.insert(fresh);
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
