#include "tests/slot_harness.h"

#include <algorithm>

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kStep = milliseconds(1);
constexpr auto kQueueTime = milliseconds(300);
constexpr auto kRelayInterval = milliseconds(100);
constexpr auto kFallTime = milliseconds(3000);
const auto kService = service_name("s");

auto GetVm(const char* kind, std::size_t number) -> vm_name {
  return vm_name(kind + std::to_string(number));
}

}  // namespace

slot_site::slot_site(const slot_site_options& options)
    : options_(options), random_(options.seed) {
  servers_.resize(options.servers);
  auto room = server_room();
  room.slots = options.slots;
  room.waiting = options.waiting;
  room.max_rejections = options.max_rejections;
  for (auto i = std::size_t{0}; i < options.servers; ++i) {
    servers_[i].room.SetRoom(room);
    registry_.Announce(MakeStatus(i), now_);
  }
  gateways_.resize(options.gateways);
  relays_.resize(options.relays);
  const auto draw = [this](std::uint64_t bound) { return random_() % bound; };
  for (auto& item : gateways_) {
    item.permits =
        std::make_unique<server_permits>(server_permits_options(), draw);
    item.selector = std::make_unique<server_selector>(
        server_selector_options(), registry_, *item.permits, pauses_, draw);
    item.selector->SetGatewayCount(options.gateways);
    item.next_sync = now_ + options.sync_interval * draw(1000) / 1000;
  }
  // The servers have said the word for a while.
  for (auto i = std::size_t{0}; i < options.servers; ++i) {
    auto limit = request_limit();
    limit.max_rejections =
        rejection_count(static_cast<std::uint32_t>(options.max_rejections));
    limit.observed = now_;
    registry_.ObserveLimit(GetId(i), 1, limit);
  }
  leader_.Restart(now_);
  UpdateLimits();
}

auto slot_site::GetId(std::size_t server) const -> backend_name {
  return backend_name("i-" + std::to_string(server));
}

auto slot_site::MakeStatus(std::size_t server) const -> backend_status {
  auto status = backend_status();
  status.id = GetId(server);
  status.service = kService;
  status.slots = static_cast<std::uint32_t>(options_.slots);
  status.start_time_ms = 1;
  status.sequence = 1;
  auto model = loaded_model();
  model.name = model_name("m-" + std::to_string(server % options_.models));
  status.models = {model};
  return status;
}

auto slot_site::PickModel() -> std::size_t {
  const auto is_hot =
      std::uniform_real_distribution<double>()(random_) < options_.hot_share;
  return is_hot ? 0 : random_() % options_.models;
}

auto slot_site::TrySend(std::size_t number, waiting_request& request) -> bool {
  auto& item = gateways_[number];
  auto query = server_query();
  query.service = kService;
  query.is_engine = true;
  query.model = model_name("m-" + std::to_string(request.model));
  auto choice = item.selector->Choose(query, now_);
  item.permits->RemoveWaiting(request.awaited);
  request.awaited.clear();
  if (choice.verdict != server_verdict::chosen) {
    request.awaited = std::move(choice.without_permit);
    item.permits->AddWaiting(request.awaited);
    return false;
  }
  const auto server = std::stoul(choice.server->id.get().substr(2));
  Send(number, server, choice.permit);
  return true;
}

auto slot_site::Send(std::size_t number,
                     std::size_t server,
                     permit_source permit) -> void {
  auto& item = gateways_[number];
  const auto id = GetId(server);
  const auto start = registry_.Find(id)->status.start_time_ms;
  item.permits->OnSent(id, start, permit, now_);
  auto& target = servers_[server];
  if (!target.is_up) {
    item.selector->OnUnreachable(id, now_);
    item.permits->OnNotSent(id, now_);
    return;
  }
  const auto request = ++next_request_;
  auto limit = registry_.Find(id)->limit;
  limit.max_rejections =
      rejection_count(static_cast<std::uint32_t>(options_.max_rejections));
  limit.is_presumed = false;
  limit.observed = now_;
  item.permits->OnAnswer(id, start, limit);
  switch (target.room.Accept(request, now_)) {
    case slot_server::verdict::falls:
      ++rejected_;
      FallOver(server);
      return;
    case slot_server::verdict::rejected:
      ++rejected_;
      item.permits->OnRejected(id, start, now_);
      item.selector->OnFull(id, now_);
      return;
    case slot_server::verdict::runs:
      ends_.push({now_ + options_.work, request});
      break;
    case slot_server::verdict::waits:
      break;
  }
  item.selector->OnStarted(id, 0);
  runs_[request] = {number, server, start};
}

auto slot_site::EndRun(std::size_t request) -> void {
  const auto found = runs_.find(request);
  if (found == runs_.end()) {
    return;
  }
  const auto ended = found->second;
  runs_.erase(found);
  auto& item = gateways_[ended.gateway];
  const auto id = GetId(ended.server);
  servers_[ended.server].room.End(request, [this](std::size_t next) {
    ends_.push({now_ + options_.work, next});
  });
  ++served_;
  item.selector->OnEnded(id, 0);
  item.selector->OnAnswered(id);
  item.selector->AddSlotTime(options_.work);
  item.permits->OnEnded(id, ended.start_time_ms,
                        item.selector->HasFreeSlot(id, now_), now_);
  TryQueue(ended.gateway);
}

auto slot_site::FallOver(std::size_t server) -> void {
  ++falls_;
  servers_[server].is_up = false;
  servers_[server].room.Clear();
  restarts_[server] = now_ + kFallTime;
  std::erase_if(runs_, [&](const auto& entry) {
    if (entry.second.server != server) {
      return false;
    }
    gateways_[entry.second.gateway].selector->OnEnded(GetId(server), 0);
    return true;
  });
}

auto slot_site::TryQueue(std::size_t number) -> void {
  auto& item = gateways_[number];
  if (now_ < item.frozen_until) {
    return;
  }
  std::erase_if(item.queue, [&](waiting_request& request) {
    if (now_ > request.until) {
      item.permits->RemoveWaiting(request.awaited);
      return true;
    }
    return TrySend(number, request);
  });
}

auto slot_site::LearnReport(const vm_name& vm, const permit_report& report)
    -> void {
  if (report.news) {
    registry_.ObserveLimit(report.id, report.start_time_ms, *report.news);
  }
  if (report.rejected > 0) {
    registry_.ObserveRejection(report.id, report.start_time_ms, now_);
  }
  UpdateLimits();
  leader_.Request(vm, report, now_);
}

auto slot_site::UpdateLimits() -> void {
  for (const auto* record : registry_.ListSince(limits_revision_)) {
    const auto& status = record->status;
    leader_.SetLimit(
        {status.id, status.start_time_ms, status.slots, record->limit}, now_);
  }
  limits_revision_ = registry_.get_revision();
}

auto slot_site::UpdateTotals() -> void {
  totals_.clear();
  for (const auto& item : gateways_) {
    for (const auto& [id, load] : item.reported) {
      totals_[id].requests += load.requests;
    }
  }
}

auto slot_site::SyncGateway(std::size_t number) -> void {
  auto& item = gateways_[number];
  const auto vm = GetVm("g", number);
  item.reported = item.selector->TakeLoadReport();
  const auto reports = item.permits->TakeReports(
      [&item](const backend_name& id) {
        return item.selector->GetOwnRequests(id);
      },
      [this, &item](const backend_name& id) {
        const auto* record = registry_.Find(id);
        const auto is_listed =
            record != nullptr && record->revision <= item.known_revision;
        return is_listed ? record->limit : request_limit();
      },
      now_);
  auto granted = permit_counts();
  if (relays_.empty()) {
    for (const auto& report : reports) {
      LearnReport(vm, report);
    }
    granted = leader_.Take(vm, now_);
    UpdateTotals();
  } else {
    auto& link = relays_[number % relays_.size()].permits;
    for (const auto& report : reports) {
      link.Request(vm, report, now_);
    }
    granted = link.Take(vm, now_);
  }
  item.permits->OnContact(gateways_.size(), now_);
  for (const auto* record : registry_.ListSince(item.known_revision)) {
    item.permits->OnAnnounced(record->status.id, record->status.start_time_ms,
                              record->limit);
  }
  item.known_revision = registry_.get_revision();
  for (const auto& [id, count] : granted) {
    item.permits->OnGranted(id, count, now_);
  }
  item.selector->SetTotalLoads(totals_, now_);
  TryQueue(number);
}

auto slot_site::SyncRelay(std::size_t number) -> void {
  auto& link = relays_[number].permits;
  const auto vm = GetVm("r", number);
  for (const auto& report : link.TakeReports(now_)) {
    LearnReport(vm, report);
  }
  link.OnGranted(leader_.Take(vm, now_), now_);
}

auto slot_site::Step() -> void {
  now_ += kStep;
  for (auto item = restarts_.begin(); item != restarts_.end();) {
    if (now_ < item->second) {
      ++item;
      continue;
    }
    servers_[item->first].is_up = true;
    auto status = registry_.Find(GetId(item->first))->status;
    ++status.start_time_ms;
    registry_.Announce(status, now_);
    UpdateLimits();
    item = restarts_.erase(item);
  }
  while (!ends_.empty() && ends_.top().at <= now_) {
    const auto request = ends_.top().request;
    ends_.pop();
    EndRun(request);
  }
  const auto run_rate = static_cast<double>(options_.servers * options_.slots) /
                        std::chrono::duration<double>(options_.work).count();
  const auto mean =
      options_.load * run_rate * std::chrono::duration<double>(kStep).count();
  auto arrivals = std::poisson_distribution<int>(mean)(random_);
  for (; arrivals > 0; --arrivals) {
    const auto number = random_() % gateways_.size();
    if (now_ < gateways_[number].frozen_until) {
      continue;
    }
    ++arrived_;
    auto request = waiting_request{PickModel(), now_ + kQueueTime, {}};
    if (!TrySend(number, request)) {
      gateways_[number].queue.push_back(std::move(request));
    }
  }
  for (auto number = std::size_t{0}; number < gateways_.size(); ++number) {
    auto& item = gateways_[number];
    if (now_ >= item.next_sync && now_ >= item.frozen_until) {
      item.next_sync = now_ + options_.sync_interval;
      SyncGateway(number);
    }
  }
  for (auto number = std::size_t{0}; number < relays_.size(); ++number) {
    if (now_ >= relays_[number].next_sync) {
      relays_[number].next_sync = now_ + kRelayInterval;
      SyncRelay(number);
    }
  }
  if (!relays_.empty() && now_ >= next_totals_) {
    next_totals_ = now_ + kRelayInterval;
    UpdateTotals();
  }
}

auto slot_site::RunFor(duration time) -> void {
  const auto until = now_ + time;
  while (now_ < until) {
    Step();
  }
}

auto slot_site::KillGateway(std::size_t number) -> void {
  auto& item = gateways_[number];
  std::erase_if(runs_, [&](const auto& entry) {
    if (entry.second.gateway != number) {
      return false;
    }
    servers_[entry.second.server].room.End(
        entry.first, [this](std::size_t next) {
          ends_.push({now_ + options_.work, next});
        });
    return true;
  });
  const auto draw = [this](std::uint64_t bound) { return random_() % bound; };
  item.queue.clear();
  item.reported.clear();
  item.permits =
      std::make_unique<server_permits>(server_permits_options(), draw);
  item.selector = std::make_unique<server_selector>(
      server_selector_options(), registry_, *item.permits, pauses_, draw);
  item.selector->SetGatewayCount(options_.gateways);
  item.known_revision = 0;
  // It serves only once it has synced.
  SyncGateway(number);
}

auto slot_site::FreezeGateway(std::size_t number, duration time) -> void {
  gateways_[number].frozen_until = now_ + time;
}

auto slot_site::GetUse(duration time) const -> double {
  const auto most = static_cast<double>(options_.servers * options_.slots) *
                    std::chrono::duration<double>(time).count() /
                    std::chrono::duration<double>(options_.work).count();
  return static_cast<double>(served_) / most;
}

}  // namespace ebony::testing
