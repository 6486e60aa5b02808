#include "entry/objective_ranges.h"

#include <algorithm>

namespace ebony {

namespace {

// Factor by which a patient objective is more than the shortest one.
constexpr int kPatientFactor = 10;

}  // namespace

objective_ranges::objective_ranges(const site_config& config)
    : has_organisations_(!config.organisations.empty()) {
  for (const auto& rule : config.routes) {
    if (rule.latency_objective <= duration(0)) {
      continue;
    }
    for (const auto& target : rule.targets) {
      if (target.weight == 0) {
        continue;
      }
      const auto [found, is_new] = ranges_.try_emplace(
          target.service,
          range{rule.latency_objective, rule.latency_objective});
      auto& [shortest, longest] = found->second;
      shortest = std::min(shortest, rule.latency_objective);
      longest = std::max(longest, rule.latency_objective);
    }
  }
}

auto objective_ranges::OrdersByCost(const service_name& service) const -> bool {
  if (has_organisations_) {
    return true;
  }
  const auto found = ranges_.find(service);
  return found != ranges_.end() &&
         found->second.longest > kPatientFactor * found->second.shortest;
}

auto objective_ranges::OrdersAnyByCost() const -> bool {
  return has_organisations_ ||
         std::any_of(ranges_.begin(), ranges_.end(), [this](const auto& item) {
           return OrdersByCost(item.first);
         });
}

auto objective_ranges::IsPatient(const route_rule& rule,
                                 const service_name& service) const -> bool {
  const auto found = ranges_.find(service);
  return found != ranges_.end() &&
         rule.latency_objective > kPatientFactor * found->second.shortest;
}

}  // namespace ebony
