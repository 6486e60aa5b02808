#include "control/load_distribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebony {

namespace {

// Cost of work for which no server has the model, for each unit.
constexpr double kLostSlope = 1.2;
// Growth of the cost beyond full load: keeps overload spread evenly.
constexpr double kOverloadGrowth = 0.1;
// Passes in which the models' demand is spread in turn.
constexpr int kPasses = 3;

// Cost of a server's load: lateness grows with the load, and what exceeds full
// load is lost.
auto GetCost(double load) -> double {
  if (load <= 1) {
    return load * load / 2;
  }
  const auto excess = load - 1;
  return 0.5 + excess + kOverloadGrowth * excess * excess;
}

auto GetTotalCost(const std::vector<double>& loads,
                  const std::vector<std::size_t>& servers) -> double {
  auto cost = 0.0;
  for (const auto server : servers) {
    cost += GetCost(loads[server]);
  }
  return cost;
}

}  // namespace

load_distribution::load_distribution(
    std::vector<double> demand,
    std::vector<std::vector<std::size_t>> holders,
    std::size_t server_count)
    : demand_(std::move(demand)),
      holders_(std::move(holders)),
      shares_(demand_.size()),
      loads_(server_count, 0) {
  for (auto pass = 0; pass < kPasses; ++pass) {
    for (auto model = std::size_t{0}; model < demand_.size(); ++model) {
      if (demand_[model] > 0) {
        Withdraw(model, loads_);
        Spread(demand_[model], holders_[model], loads_, &shares_[model]);
      }
    }
  }
}

auto load_distribution::Withdraw(std::size_t model,
                                 std::vector<double>& loads) const -> void {
  for (auto i = std::size_t{0}; i < shares_[model].size(); ++i) {
    loads[holders_[model][i]] -= shares_[model][i];
  }
}

auto load_distribution::Spread(double demand,
                               const std::vector<std::size_t>& holders,
                               std::vector<double>& loads,
                               std::vector<double>* shares) const -> void {
  if (holders.empty()) {
    if (shares != nullptr) {
      shares->clear();
    }
    return;
  }
  auto levels = std::vector<double>();
  levels.reserve(holders.size());
  for (const auto holder : holders) {
    levels.push_back(loads[holder]);
  }
  std::sort(levels.begin(), levels.end());
  // The level to which the least loaded holders are filled.
  auto level = 0.0;
  auto sum = demand;
  for (auto count = std::size_t{1}; count <= levels.size(); ++count) {
    sum += levels[count - 1];
    level = sum / static_cast<double>(count);
    if (count == levels.size() || level <= levels[count]) {
      break;
    }
  }
  if (shares != nullptr) {
    shares->assign(holders.size(), 0);
  }
  for (auto i = std::size_t{0}; i < holders.size(); ++i) {
    const auto share = std::max(0.0, level - loads[holders[i]]);
    if (shares != nullptr) {
      (*shares)[i] = share;
    }
    loads[holders[i]] += share;
  }
}

auto load_distribution::ListServers(const replica_change& change) const
    -> std::vector<std::size_t> {
  auto servers = holders_[change.model];
  servers.push_back(change.server);
  if (change.victim) {
    const auto& others = holders_[*change.victim];
    servers.insert(servers.end(), others.begin(), others.end());
  }
  std::sort(servers.begin(), servers.end());
  servers.erase(std::unique(servers.begin(), servers.end()), servers.end());
  return servers;
}

auto load_distribution::Evaluate(const replica_change& change) const
    -> change_effect {
  const auto servers = ListServers(change);
  const auto demand = demand_[change.model];
  auto holders = holders_[change.model];
  const auto lost = holders.empty() ? kLostSlope * demand : 0.0;
  const auto before = GetTotalCost(loads_, servers) + lost;
  auto loads = loads_;
  Withdraw(change.model, loads);
  auto effect = change_effect();
  if (change.victim) {
    Withdraw(*change.victim, loads);
    auto rest = holders_[*change.victim];
    std::erase(rest, change.server);
    Spread(demand_[*change.victim], rest, loads, nullptr);
    auto interim = loads;
    Spread(demand, holders, interim, nullptr);
    effect.interim_loss =
        std::max(0.0, GetTotalCost(interim, servers) + lost - before);
  }
  holders.push_back(change.server);
  Spread(demand, holders, loads, nullptr);
  effect.gain = before - GetTotalCost(loads, servers);
  return effect;
}

auto load_distribution::Apply(const replica_change& change) -> void {
  Withdraw(change.model, loads_);
  if (change.victim) {
    Withdraw(*change.victim, loads_);
    std::erase(holders_[*change.victim], change.server);
    Spread(demand_[*change.victim], holders_[*change.victim], loads_,
           &shares_[*change.victim]);
  }
  holders_[change.model].push_back(change.server);
  Spread(demand_[change.model], holders_[change.model], loads_,
         &shares_[change.model]);
}

auto load_distribution::GetPressure(std::size_t model) const -> double {
  if (holders_[model].empty()) {
    return kLostSlope;
  }
  auto least = loads_[holders_[model].front()];
  for (const auto holder : holders_[model]) {
    least = std::min(least, loads_[holder]);
  }
  return least;
}

}  // namespace ebony
