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
                                 std::uint64_t start_time_ms) -> server_state* {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.start_time_ms != start_time_ms ||
      !GetLatest(found->second).rate) {
    return nullptr;
  }
  return &found->second;
}

auto server_permits::DropExpired(server_state& server, mono_time now) -> void {
  while (!server.expiries.empty() && server.expiries.front() <= now) {
    server.expiries.pop_front();
    ++server.returned;
    ++expired_;
  }
}

auto server_permits::CountRequest(server_state& server, mono_time now) -> void {
  const auto age = ToSeconds(now - server.rate_updated);
  server.request_rate =
      server.request_rate * std::exp(-age / kRateSeconds) + 1.0 / kRateSeconds;
  server.rate_updated = now;
}

auto server_permits::GetOwnInterval(const server_state& server) const
    -> duration {
  const auto interval = GetRequestInterval(*GetLatest(server).rate);
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
                              std::optional<request_rate> rate,
                              mono_time now) -> bool {
  if (!rate && !servers_.contains(id)) {
    return false;
  }
  auto& server = GetState(id, start_time_ms);
  const auto is_new = GetLatest(server).rate != rate;
  server.observed = {rate, now};
  return is_new;
}

auto server_permits::OnAnnounced(const backend_name& id,
                                 std::uint64_t start_time_ms,
                                 const request_limit& limit) -> void {
  if (limit.observed == mono_time() && !servers_.contains(id)) {
    return;  // nothing was ever said
  }
  auto& server = GetState(id, start_time_ms);
  if (limit.observed >= server.announced.observed) {
    server.announced = limit;
  }
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
  server.expiries.insert(server.expiries.end(), permits, now + kPermitLifetime);
}

auto server_permits::OnContact(std::size_t gateways, mono_time now) -> void {
  SetGatewayCount(gateways);
  last_contact_ = now;
  for (auto& [id, server] : servers_) {
    server.next_own.reset();
  }
}

auto server_permits::GetSource(const backend_name& id,
                               std::uint64_t start_time_ms,
                               mono_time now) -> permit_source {
  auto* server = FindLimited(id, start_time_ms);
  if (server == nullptr) {
    return permit_source::unlimited;
  }
  DropExpired(*server, now);
  if (!server->expiries.empty()) {
    return permit_source::granted;
  }
  return IsOutOfContact(now) && IsOwnShareDue(*server, now)
             ? permit_source::own_share
             : permit_source::none;
}

auto server_permits::OnSent(const backend_name& id,
                            std::uint64_t start_time_ms,
                            mono_time now) -> void {
  const auto source = GetSource(id, start_time_ms, now);
  if (source == permit_source::unlimited) {
    return;
  }
  auto& server = servers_[id];
  CountRequest(server, now);
  if (source == permit_source::granted) {
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

auto server_permits::TakeReports(mono_time now) -> std::vector<permit_report> {
  auto reports = std::vector<permit_report>();
  for (auto& [id, server] : servers_) {
    DropExpired(server, now);
    auto report = permit_report();
    report.id = id;
    report.start_time_ms = server.start_time_ms;
    const auto is_news = server.observed.observed > server.announced.observed &&
                         server.observed.rate != server.announced.rate;
    if (is_news) {
      report.news = server.observed;
    }
    const auto left = static_cast<std::uint32_t>(server.expiries.size());
    report.waiting = server.waiting - std::min(server.waiting, left);
    report.expected = GetExpected(server, now);
    report.returned = std::exchange(server.returned, 0);
    const auto asks = GetLatest(server).rate.has_value() &&
                      report.waiting + report.expected > 0;
    // A daemon that asks no longer says so once.
    if (report.news || report.returned > 0 || asks || server.has_asked) {
      reports.push_back(std::move(report));
    }
    server.has_asked = asks;
  }
  return reports;
}

auto server_permits::ListLimits(duration max_age, mono_time now) const
    -> std::vector<named_limit> {
  auto list = std::vector<named_limit>();
  for (const auto& [id, server] : servers_) {
    const auto& limit = GetLatest(server);
    if (limit.rate || now - limit.observed <= max_age) {
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
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
        return GetLatest(item.second).rate.has_value();
      }));
}

}  // namespace ebony
