#include "entry/server_permits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebony {

namespace {

// Time constant of the smoothed rate of requests.
constexpr double kRateSeconds = 1.0;

auto ToSeconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

auto GetPermitSourceText(permit_source source) -> std::string_view {
  switch (source) {
    case permit_source::unlimited:
      return "unlimited";
    case permit_source::granted:
      return "granted";
    case permit_source::spare_room:
      return "spare_room";
    case permit_source::own_share:
      return "own_share";
    case permit_source::none:
      break;
  }
  return "none";
}

server_permits::server_permits(server_permits_options options,
                               random_source random)
    : options_(options), random_(std::move(random)) {}

auto server_permits::GetLatest(const server_state& server)
    -> const request_limit& {
  return server.observed.observed >= server.announced.observed
             ? server.observed
             : server.announced;
}

// The state of an earlier run says nothing about the present one.
auto server_permits::GetState(const backend_name& id,
                              std::uint64_t start_time_ms) -> server_state& {
  auto& server = servers_[id];
  if (server.start_time_ms != start_time_ms) {
    const auto waiting = server.waiting;
    server = server_state();
    server.start_time_ms = start_time_ms;
    server.waiting = waiting;
  }
  return server;
}

auto server_permits::FindLimited(const backend_name& id,
                                 std::uint64_t start_time_ms) const
    -> const server_state* {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.start_time_ms != start_time_ms ||
      !IsLimited(GetLatest(found->second))) {
    return nullptr;
  }
  return &found->second;
}

auto server_permits::FindLimited(const backend_name& id,
                                 std::uint64_t start_time_ms) -> server_state* {
  return const_cast<server_state*>(
      std::as_const(*this).FindLimited(id, start_time_ms));
}

auto server_permits::DropExpired(server_state& server, mono_time now) -> void {
  while (!server.expiries.empty() && server.expiries.front() <= now) {
    server.expiries.pop_front();
    ++server.returned;
    ++expired_;
  }
}

// Keeps the permits in the order in which they expire.
auto server_permits::AddPermit(server_state& server, mono_time expires)
    -> void {
  auto& expiries = server.expiries;
  expiries.insert(std::upper_bound(expiries.begin(), expiries.end(), expires),
                  expires);
}

auto server_permits::GetLastRejection(const server_state& server) -> mono_time {
  return std::max(server.last_rejection, server.announced.last_rejection);
}

auto server_permits::CountRequest(server_state& server, mono_time now) -> void {
  const auto age = ToSeconds(now - server.rate_updated);
  server.request_rate =
      server.request_rate * std::exp(-age / kRateSeconds) + 1.0 / kRateSeconds;
  server.rate_updated = now;
}

// Without a rate, all that is sent may be rejected.
auto server_permits::GetOwnInterval(const server_state& server) const
    -> duration {
  constexpr std::uint64_t kRateUnits = 1000;  // of a request a second
  const auto& limit = GetLatest(server);
  const auto rejections = limit.max_rejections.value_or(rejection_count());
  const auto interval = GetRequestInterval(
      limit.rate.value_or(request_rate(rejections.get() * kRateUnits)));
  return duration(static_cast<duration::rep>(
      static_cast<double>(interval.count()) *
      static_cast<double>(gateway_count_) / options_.own_fraction));
}

// The first request of the own share comes at a random time within the
// interval, so that the gateways do not send theirs together.
auto server_permits::IsOwnShareDue(server_state& server, mono_time now)
    -> bool {
  if (!server.next_own) {
    constexpr std::uint64_t kSteps = 1000;
    server.next_own = now + GetOwnInterval(server) * random_(kSteps) / kSteps;
  }
  return now >= *server.next_own;
}

auto server_permits::GetExpected(server_state& server, mono_time now) const
    -> std::uint32_t {
  const auto age = ToSeconds(now - server.rate_updated);
  const auto rate = server.request_rate * std::exp(-age / kRateSeconds);
  const auto wanted = std::lround(rate * ToSeconds(kPermitLifetime));
  const auto left = static_cast<long>(server.expiries.size());
  return static_cast<std::uint32_t>(std::max(0L, wanted - left));
}

auto server_permits::OnAnswer(const backend_name& id,
                              std::uint64_t start_time_ms,
                              const request_limit& limit) -> bool {
  if (!IsLimited(limit) && !servers_.contains(id)) {
    return false;
  }
  auto& server = GetState(id, start_time_ms);
  const auto is_new = !IsSameStatement(GetLatest(server), limit);
  server.observed = limit;
  return is_new;
}

auto server_permits::OnUnreadable(const backend_name& id,
                                  std::uint64_t start_time_ms) -> bool {
  return !std::exchange(GetState(id, start_time_ms).has_unreadable_word, true);
}

auto server_permits::OnAnnounced(const backend_name& id,
                                 std::uint64_t start_time_ms,
                                 const request_limit& limit) -> void {
  if (limit.observed == mono_time() && !servers_.contains(id)) {
    return;  // nothing was ever said
  }
  auto& server = GetState(id, start_time_ms);
  const auto last_rejection =
      std::max(server.announced.last_rejection, limit.last_rejection);
  if (limit.observed >= server.announced.observed) {
    server.announced = limit;
  }
  server.announced.last_rejection = last_rejection;
}

auto server_permits::OnGranted(const backend_name& id,
                               std::uint32_t permits,
                               mono_time now) -> void {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  auto& server = found->second;
  DropExpired(server, now);
  const auto lifetime =
      GetLatest(server).max_rejections ? kSlotLifetime : kPermitLifetime;
  for (auto i = std::uint32_t{0}; i < permits; ++i) {
    AddPermit(server, now + lifetime);
  }
}

auto server_permits::OnContact(std::size_t gateways, mono_time now) -> void {
  SetGatewayCount(gateways);
  last_contact_ = now;
  for (auto& [id, server] : servers_) {
    server.next_own.reset();
  }
}

auto server_permits::GetLimit(const backend_name& id,
                              std::uint64_t start_time_ms) const
    -> request_limit {
  const auto* server = FindLimited(id, start_time_ms);
  return server == nullptr ? request_limit() : GetLatest(*server);
}

auto server_permits::HasSlotLimit(const backend_name& id,
                                  std::uint64_t start_time_ms) const -> bool {
  return GetLimit(id, start_time_ms).max_rejections.has_value();
}

auto server_permits::GetSource(const backend_name& id,
                               std::uint64_t start_time_ms,
                               bool has_spare_room,
                               mono_time now) -> permit_source {
  auto* server = FindLimited(id, start_time_ms);
  if (server == nullptr) {
    return permit_source::unlimited;
  }
  DropExpired(*server, now);
  if (!server->expiries.empty()) {
    return permit_source::granted;
  }
  const auto& limit = GetLatest(*server);
  const auto may_use_spare_room =
      limit.max_rejections && !limit.rate && !limit.is_presumed &&
      now - GetLastRejection(*server) > kRejectionMemory;
  if (has_spare_room && may_use_spare_room) {
    return permit_source::spare_room;
  }
  return IsOutOfContact(now) && IsOwnShareDue(*server, now)
             ? permit_source::own_share
             : permit_source::none;
}

auto server_permits::OnSent(const backend_name& id,
                            std::uint64_t start_time_ms,
                            permit_source source,
                            mono_time now) -> void {
  if (FindLimited(id, start_time_ms) == nullptr) {
    return;
  }
  auto& server = servers_[id];
  CountRequest(server, now);
  if (source == permit_source::granted && !server.expiries.empty()) {
    server.expiries.pop_front();
  } else if (source == permit_source::own_share) {
    server.next_own = now + GetOwnInterval(server);
  }
}

auto server_permits::OnNotSent(const backend_name& id, mono_time now) -> void {
  const auto found = servers_.find(id);
  if (found != servers_.end() && !IsOutOfContact(now)) {
    ++found->second.returned;
  }
}

auto server_permits::OnEnded(const backend_name& id,
                             std::uint64_t start_time_ms,
                             bool keeps_slot,
                             mono_time now) -> void {
  auto* server = FindLimited(id, start_time_ms);
  if (server == nullptr || !keeps_slot) {
    return;
  }
  const auto& limit = GetLatest(*server);
  if (limit.max_rejections && !limit.rate) {
    AddPermit(*server, now + kSlotLifetime);
  }
}

auto server_permits::OnRejected(const backend_name& id,
                                std::uint64_t start_time_ms,
                                mono_time now) -> void {
  auto* server = FindLimited(id, start_time_ms);
  if (server != nullptr && GetLatest(*server).max_rejections) {
    server->last_rejection = now;
    ++server->rejected;
  }
}

auto server_permits::HasFallenForWantOfRoom(const backend_name& id,
                                            std::uint64_t start_time_ms,
                                            mono_time now) const -> bool {
  const auto* server = FindLimited(id, start_time_ms);
  return server != nullptr && GetLatest(*server).max_rejections &&
         now - GetLastRejection(*server) <= kRejectionMemory;
}

auto server_permits::OnPassedOver(const backend_name& id, mono_time now)
    -> void {
  CountRequest(servers_[id], now);
}

auto server_permits::AddWaiting(const std::vector<backend_name>& servers)
    -> void {
  for (const auto& id : servers) {
    ++servers_[id].waiting;
  }
}

auto server_permits::RemoveWaiting(const std::vector<backend_name>& servers)
    -> void {
  for (const auto& id : servers) {
    auto& server = servers_[id];
    server.waiting -= server.waiting > 0 ? 1 : 0;
  }
}

auto server_permits::TakeReports(const in_flight_source& get_in_flight,
                                 const listed_limit_source& get_listed,
                                 mono_time now) -> std::vector<permit_report> {
  auto reports = std::vector<permit_report>();
  for (auto& [id, server] : servers_) {
    DropExpired(server, now);
    auto report = permit_report();
    report.id = id;
    report.start_time_ms = server.start_time_ms;
    // Coordinators that have started anew are told what their predecessors
    // knew as well.
    if (IsNewsOfLimit(GetLatest(server), get_listed(id))) {
      report.news = GetLatest(server);
    }
    const auto left = static_cast<std::uint32_t>(server.expiries.size());
    report.waiting = server.waiting - std::min(server.waiting, left);
    report.expected = GetExpected(server, now);
    report.returned = std::exchange(server.returned, 0);
    report.rejected = std::exchange(server.rejected, 0);
    if (GetLatest(server).max_rejections) {
      // Only what waits needs a slot at once.
      report.expected = 0;
      report.held = get_in_flight(id) + left;
    }
    const auto asks =
        IsLimited(GetLatest(server)) && report.waiting + report.expected > 0;
    // A daemon that asks, or holds, no longer says so once.
    const auto is_needed = report.news || report.returned > 0 ||
                           report.rejected > 0 || report.held > 0 || asks ||
                           server.has_asked || server.reported_held > 0;
    server.has_asked = asks;
    server.reported_held = report.held;
    if (is_needed) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

auto server_permits::ListLimits(duration max_age, mono_time now) const
    -> std::vector<named_limit> {
  auto list = std::vector<named_limit>();
  for (const auto& [id, server] : servers_) {
    const auto& limit = GetLatest(server);
    if (IsLimited(limit) || now - limit.observed <= max_age) {
      list.push_back({id, server.start_time_ms, limit});
    }
  }
  return list;
}

auto server_permits::Prune(
    const std::function<bool(const backend_name&)>& is_known) -> void {
  std::erase_if(servers_, [&is_known](const auto& item) {
    return item.second.waiting == 0 && !is_known(item.first);
  });
}

auto server_permits::IsOutOfContact(mono_time now) const -> bool {
  return now - last_contact_ > kContactTimeout;
}

auto server_permits::get_limited_servers() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& item) { return IsLimited(GetLatest(item.second)); }));
}

}  // namespace ebony
