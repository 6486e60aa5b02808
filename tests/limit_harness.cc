#include "tests/limit_harness.h"

#include <algorithm>

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kStep = milliseconds(1);
constexpr auto kQueueTime = milliseconds(1200);
constexpr auto kRelayInterval = milliseconds(100);
constexpr auto kStartTimeMs = std::uint64_t{1};

// Only servers that are limited by their slots ask.
const auto kNoneInFlight = [](const backend_name&) { return 0U; };

auto ToRate(double per_second) -> request_rate {
  return request_rate(static_cast<std::uint64_t>(per_second * 1000));
}

auto GetVm(const char* kind, std::size_t number) -> vm_name {
  return vm_name(kind + std::to_string(number));
}

}  // namespace

const backend_name limit_site::kServer = backend_name("i-1");

limit_site::limit_site(const limit_site_options& options)
    : options_(options), random_(options.seed) {
  gateways_.resize(options.gateways);
  relays_.resize(options.relays);
  for (auto& item : gateways_) {
    item.permits = MakePermits();
    item.next_sync = now_ + options_.sync_interval * (random_() % 1000) / 1000;
  }
  leader_.Restart(now_);
}

auto limit_site::IsDrawn(double probability) -> bool {
  return std::uniform_real_distribution<double>()(random_) < probability;
}

auto limit_site::MakePermits() -> std::unique_ptr<server_permits> {
  return std::make_unique<server_permits>(
      server_permits_options(),
      [this](std::uint64_t bound) { return random_() % bound; });
}

auto limit_site::LearnLimit(const permit_report& report) -> void {
  if (report.news && report.news->observed > registered_.observed) {
    registered_ = *report.news;
    leader_.SetLimit({kServer, kStartTimeMs, 1, registered_}, now_);
  }
}

auto limit_site::GetReachableShare() const -> double {
  const auto cut =
      std::count_if(gateways_.begin(), gateways_.end(),
                    [](const gateway& item) { return item.is_cut; });
  return 1 - static_cast<double>(cut) / static_cast<double>(gateways_.size());
}

auto limit_site::TakeReports(gateway& item) -> std::vector<permit_report> {
  return item.permits->TakeReports(
      kNoneInFlight, [this](const backend_name&) { return registered_; }, now_);
}

auto limit_site::SyncWithLeader(gateway& item, std::size_t number) -> void {
  const auto reports = TakeReports(item);
  if (!has_leader_ || item.is_cut) {
    return;
  }
  const auto vm = GetVm("g", number);
  for (const auto& report : reports) {
    LearnLimit(report);
    leader_.Request(vm, report, now_);
  }
  leader_.SetReachableShare(GetReachableShare());
  const auto permits = leader_.Take(vm, now_);
  if (IsDrawn(options_.lost_syncs)) {
    return;
  }
  item.permits->OnContact(gateways_.size(), now_);
  item.permits->OnAnnounced(kServer, kStartTimeMs, registered_);
  for (const auto& [id, count] : permits) {
    item.permits->OnGranted(id, count, now_);
  }
}

auto limit_site::SyncWithRelay(gateway& item, std::size_t number) -> void {
  auto& relay = relays_[number % relays_.size()];
  const auto reports = TakeReports(item);
  if (!has_leader_ || item.is_cut) {
    return;
  }
  const auto vm = GetVm("g", number);
  for (const auto& report : reports) {
    relay.permits.Request(vm, report, now_);
  }
  item.permits->OnContact(gateways_.size(), now_);
  item.permits->OnAnnounced(kServer, kStartTimeMs, registered_);
  for (const auto& [id, count] : relay.permits.Take(vm, now_)) {
    item.permits->OnGranted(id, count, now_);
  }
}

auto limit_site::SyncRelay(relay& item, std::size_t number) -> void {
  if (!has_leader_) {
    return;
  }
  const auto vm = GetVm("r", number);
  for (const auto& report : item.permits.TakeReports(now_)) {
    LearnLimit(report);
    leader_.Request(vm, report, now_);
  }
  item.permits.OnGranted(leader_.Take(vm, now_), now_);
}

auto limit_site::SendWaiting(gateway& item) -> void {
  while (!item.queue.empty() && now_ - item.queue.front() > kQueueTime) {
    item.queue.pop_front();
    item.permits->RemoveWaiting({kServer});
  }
  while (!item.queue.empty()) {
    const auto source =
        item.permits->GetSource(kServer, kStartTimeMs, false, now_);
    if (source == permit_source::none) {
      return;
    }
    item.permits->OnSent(kServer, kStartTimeMs, source, now_);
    item.queue.pop_front();
    item.permits->RemoveWaiting({kServer});
    sent_.push_back(now_);
    auto limit = request_limit();
    limit.rate = named_ ? std::optional(ToRate(*named_)) : std::nullopt;
    limit.observed = now_;
    item.permits->OnAnswer(kServer, kStartTimeMs, limit);
  }
}

auto limit_site::Step() -> void {
  now_ += kStep;
  const auto arrivals = options_.limit * options_.demand *
                        std::chrono::duration<double>(kStep).count() /
                        static_cast<double>(gateways_.size());
  for (auto number = std::size_t{0}; number < gateways_.size(); ++number) {
    auto& item = gateways_[number];
    if (IsDrawn(arrivals)) {
      item.queue.push_back(now_);
      item.permits->AddWaiting({kServer});
    }
    if (now_ >= item.next_sync) {
      item.next_sync = now_ + options_.sync_interval;
      relays_.empty() ? SyncWithLeader(item, number)
                      : SyncWithRelay(item, number);
    }
    SendWaiting(item);
  }
  for (auto number = std::size_t{0}; number < relays_.size(); ++number) {
    auto& item = relays_[number];
    if (now_ >= item.next_sync) {
      item.next_sync = now_ + kRelayInterval;
      SyncRelay(item, number);
    }
  }
}

auto limit_site::RunFor(duration time) -> void {
  const auto until = now_ + time;
  while (now_ < until) {
    Step();
  }
}

auto limit_site::StartLeader() -> void {
  has_leader_ = true;
  leader_ = permit_allocator();
  leader_.Restart(now_);
  leader_.SetLimit({kServer, kStartTimeMs, 1, registered_}, now_);
}

auto limit_site::StartLeader(const request_limit& copy) -> void {
  registered_ = copy;
  StartLeader();
}

auto limit_site::RestartGateway(std::size_t number) -> void {
  auto& item = gateways_.at(number);
  item.permits = MakePermits();
  item.queue.clear();
  item.next_sync = now_;
  // It serves only once it has synced.
  relays_.empty() ? SyncWithLeader(item, number) : SyncWithRelay(item, number);
}

auto limit_site::GetMostIn4Seconds(mono_time since) const -> std::size_t {
  constexpr auto kWindow = std::chrono::seconds(4);
  auto most = std::size_t{0};
  for (auto first = sent_.begin(); first != sent_.end(); ++first) {
    if (*first < since) {
      continue;
    }
    const auto last = std::upper_bound(first, sent_.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

auto limit_site::GetRate(mono_time since) const -> double {
  const auto count =
      std::count_if(sent_.begin(), sent_.end(),
                    [since](const mono_time& time) { return time >= since; });
  return static_cast<double>(count) /
         std::chrono::duration<double>(now_ - since).count();
}

}  // namespace ebony::testing
