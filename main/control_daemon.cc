#include "main/control_daemon.h"

#include <algorithm>
#include <utility>

#include "codec/control_codec.h"
#include "codec/link_codec.h"
#include "codec/record_codec.h"
#include "consensus/voter_replacement.h"
#include "drivers/logger.h"
#include "settings/settings_loader.h"

namespace ebony {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEventQueueCapacity = 16384;
constexpr std::size_t kClientQueueCapacity = 4096;
constexpr auto kCoreTickInterval = milliseconds(25);
constexpr auto kJoinInterval = milliseconds(500);

auto MakePlacementOptions(const schema::control_settings& settings)
    -> placement_options {
  auto options = placement_options();
  options.loads_at_once = settings.loads_at_once();
  options.replica_rate = settings.replica_rate();
  return options;
}

auto MakeIdentity(const std::string& vm) -> node_id {
  auto device = std::random_device();
  return node_id(vm + "." + std::to_string(device()));
}

auto GetOtherVoters(const std::vector<link_peer>& voters, const vm_name& self)
    -> std::vector<link_peer> {
  auto others = voters;
  std::erase_if(others,
                [&self](const link_peer& peer) { return peer.name == self; });
  return others;
}

}  // namespace

control_daemon::control_daemon(schema::control_settings settings,
                               metrics& counters)
    : settings_(std::move(settings)),
      metrics_(counters),
      voters_(
          ParseVoters({settings_.voters().begin(), settings_.voters().end()})),
      operator_keys_(ReadKeys(settings_.operator_key_file())),
      disk_(settings_.data_dir()),
      random_(std::random_device()()),
      state_(static_cast<std::size_t>(settings_.entries_size())),
      events_(kEventQueueCapacity, [this] { wakeup_event_.Notify(); }),
      link_(
          vm_name(settings_.vm()),
          host_port(settings_.link_address()),
          GetOtherVoters(voters_, vm_name(settings_.vm())),
          [this](inbound_frame inbound) {
            if (!events_.Push(std::move(inbound))) {
              metrics_.Count("ebony_control_events_refused_total");
            }
          },
          counters),
      http_({.address = host_port(settings_.http_address()),
             .max_held_body_bytes = settings_.max_held_body_bytes(),
             .on_body_turned_away =
                 [&counters](std::string_view reason) {
                   counters.Count("ebony_bodies_turned_away_total{reason=\"" +
                                  std::string(reason) + "\"}");
                 }},
            [this](http_request request, const exchange_pointer& exchange) {
              OnHttp(std::move(request), exchange);
            }),
      client_(kClientQueueCapacity),
      placement_(MakePlacementOptions(settings_)),
      core_thread_([this] { RunCore(); }) {
  for (const auto& entry : settings_.entries()) {
    entries_.emplace_back(entry);
  }
  if (operator_keys_.empty() &&
      !IsLoopback(host_port(settings_.http_address()))) {
    throw settings_error(
        {"--operator-key-file: required unless --http-address is loopback"});
  }
  const auto order_keys = ReadKeys(settings_.order_key_file());
  if (!order_keys.empty()) {
    order_key_ = order_keys.front().key;
  }
}

control_daemon::~control_daemon() {
  Stop();
}

auto control_daemon::InitDataFolder(const schema::control_settings& settings)
    -> void {
  // The node ids of the first disks are predictable, so that all voters start
  // with the same membership. Each later disk gets a random id.
  auto identity = disk_identity();
  identity.node = node_id(settings.vm() + ".first");
  const auto voters =
      ParseVoters({settings.voters().begin(), settings.voters().end()});
  for (const auto& voter : voters) {
    identity.group.voters.emplace_back(voter.name.get() + ".first");
  }
  disk_store(settings.data_dir()).Create(identity);
}

auto control_daemon::Start() -> void {
  auto identity = disk_.LoadIdentity();
  if (!identity && !settings_.join()) {
    throw settings_error(
        {"--data-dir " + settings_.data_dir() +
         ": empty; use --init once for a new control group, or --join to "
         "replace a voter whose disk was lost"});
  }
  if (!identity) {
    identity = disk_identity{MakeIdentity(settings_.vm()), {}};
    disk_.Create(*identity);
  }
  identity_ = *identity;
  auto image = disk_.Load(identity_);
  if (!image.snap.state.empty()) {
    state_.Restore(DecodeState(image.snap.state));
  }
  applied_ = image.snap.index;
  auto options = raft_options();
  options.self = identity_.node;
  options.heartbeat = milliseconds(settings_.heartbeat_ms());
  options.election_min = milliseconds(settings_.election_ms());
  options.election_max = milliseconds(2 * settings_.election_ms());
  raft_ = std::make_unique<raft>(
      options, std::move(image),
      [this](std::uint64_t bound) { return random_() % bound; }, GetNow());
  link_.Start();
  client_.Start();
  core_thread_.Start();
  http_.Start();
  LogEvent(log_level::info, "control_started",
           {{"node", identity_.node.get()},
            {"applied", std::to_string(applied_.get())}});
}

auto control_daemon::Stop() -> void {
  if (stopping_.exchange(true) || !raft_) {
    return;
  }
  wakeup_event_.Notify();
  core_thread_.Join();
  http_.Stop();
  client_.Stop();
  link_.Stop();
}

auto control_daemon::RunCore() -> void {
  try {
    while (!stopping_) {
      wakeup_event_.Wait(kCoreTickInterval);
      while (auto item = events_.Pop()) {
        HandleEvent(std::move(*item));
      }
      const auto now = GetNow();
      raft_->Tick(now);
      SendJoinRequest(now);
      ProcessReady();
      UpdateLeadership();
      if (leader_) {
        RunLeaderTasks(now);
        ProcessReady();
      }
    }
  } catch (const std::exception& error) {
    // Everything that was acknowledged is durable, so stopping loses no data.
    failed_ = true;
    LogEvent(log_level::error, "control_failed", {{"reason", error.what()}});
  }
  EndLeadership();
}

auto control_daemon::HandleEvent(event item) -> void {
  if (const auto* inbound = std::get_if<inbound_frame>(&item)) {
    OnFrame(*inbound);
  } else if (const auto* call = std::get_if<operator_call>(&item)) {
    OnOperatorCall(*call);
  } else if (const auto* result = std::get_if<order_result>(&item)) {
    OnOrderResult(*result);
  }
}

auto control_daemon::OnFrame(const inbound_frame& inbound) -> void {
  const auto& frame = inbound.frame;
  switch (frame.body_case()) {
    case schema::link_frame::kRaft:
      raft_->Step(GetNow(), ToDomain(frame.raft()));
      break;
    case schema::link_frame::kPoll:
      OnPoll(inbound.route, frame.poll());
      break;
    case schema::link_frame::kJoin:
      if (leader_) {
        leader_->joiners.insert(node_id(frame.join().node()));
      }
      break;
    default:
      metrics_.Count("ebony_control_unexpected_frames_total");
      break;
  }
}

auto control_daemon::Propose(const control_command& command) -> bool {
  const auto index = raft_->Propose(EncodeCommand(command));
  return index.has_value();
}

auto control_daemon::ProcessReady() -> void {
  for (;;) {
    auto ready = raft_->TakeReady();
    if (ready.NeedsPersist()) {
      const auto begin = GetNow();
      disk_.Persist(ready);
      metrics_.Observe("ebony_control_sync_seconds",
                       std::chrono::duration<double>(GetNow() - begin).count());
    }
    raft_->OnPersisted(ready);
    if (ready.install) {
      state_.Restore(DecodeState(ready.install->state));
      applied_ = ready.install->index;
    }
    for (const auto& message : ready.messages) {
      auto frame = schema::link_frame();
      *frame.mutable_raft() = ToSchema(message);
      link_.Send(GetNodeVm(message.to), std::move(frame));
    }
    for (const auto& entry : ready.committed) {
      ApplyEntry(entry);
    }
    MaybeCompact();
    if (!ready.NeedsPersist() && ready.messages.empty() &&
        ready.committed.empty()) {
      return;
    }
  }
}

auto control_daemon::ApplyEntry(const log_entry& entry) -> void {
  applied_ = entry.index;
  const auto version = config_version(entry.index.get());
  if (entry.kind != entry_kind::command) {
    state_.AdvanceTo(version);
    return;
  }
  const auto command = DecodeCommand(entry.payload);
  const auto outcome = state_.ApplyCommand(command, version);
  metrics_.Count("ebony_control_applied_commands_total");
  if (!leader_) {
    return;
  }
  if (const auto* put = std::get_if<put_backend_command>(&command)) {
    leader_->proposed_backends.erase(put->backend.name);
  } else if (const auto* done = std::get_if<resolve_order_command>(&command)) {
    leader_->proposed_resolutions.erase(
        {done->backend, done->accelerator.get()});
  } else if (const auto* known = std::get_if<daemon_schema_command>(&command)) {
    leader_->proposed_schemas.erase(known->vm);
  }
  if (!outcome) {
    return;
  }
  const auto [first, last] = leader_->changes.equal_range(outcome->id);
  for (auto change = first; change != last; ++change) {
    change->second.outcome = outcome;
  }
}

auto control_daemon::MaybeCompact() -> void {
  const auto kept = applied_.get() + 1 - raft_->get_first_index().get();
  if (kept < settings_.snapshot_entries()) {
    return;
  }
  const auto snap = raft_->Compact(applied_, EncodeState(state_.get_data()));
  disk_.Compact(snap, raft_->GetEntriesAfter(snap.index));
  metrics_.Count("ebony_control_snapshots_total");
}

auto control_daemon::SendJoinRequest(mono_time now) -> void {
  const auto& voters = raft_->get_group().voters;
  const auto is_voter =
      std::find(voters.begin(), voters.end(), identity_.node) != voters.end();
  const auto has_previous_identity =
      std::any_of(voters.begin(), voters.end(), [this](const node_id& id) {
        return id != identity_.node &&
               GetNodeVm(id) == GetNodeVm(identity_.node);
      });
  if ((is_voter && !has_previous_identity) || now < next_join_) {
    return;
  }
  next_join_ = now + kJoinInterval;
  if (leader_) {
    leader_->joiners.insert(identity_.node);
  }
  for (const auto& voter : voters_) {
    auto frame = schema::link_frame();
    frame.mutable_join()->set_node(identity_.node.get());
    link_.Send(voter.name, std::move(frame));
  }
}

auto control_daemon::GetLeaderVm() const -> std::string {
  return GetNodeVm(raft_->get_leader()).get();
}

}  // namespace ebony
