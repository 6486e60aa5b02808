#include "entry/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ebony {

namespace {

auto ToLower(std::string_view text) -> std::string {
  auto lower = std::string(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

route_table::route_table(site_config config)
    : config_(std::move(config)), objectives_(config_) {
  for (const auto& rule : config_.routes) {
    hosts_[ToLower(rule.host)][rule.path_prefix] = &rule;
  }
}

auto route_table::Match(std::string_view host, std::string_view path) const
    -> const route_rule* {
  const auto found = hosts_.find(ToLower(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of the path that end with one
  // can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto rule = found->second.find(path.substr(0, end + 1));
    if (rule != found->second.end()) {
      return rule->second;
    }
  }
  return nullptr;
}

auto route_table::PickService(const route_rule& rule,
                              const random_source& random) const
    -> const service_spec& {
  auto total = std::uint64_t{0};
  for (const auto& target : rule.targets) {
    total += target.weight;
  }
  auto draw = random(total);
  for (const auto& target : rule.targets) {
    if (draw < target.weight) {
      return config_.services.at(target.service);
    }
    draw -= target.weight;
  }
  return config_.services.at(rule.targets.back().service);
}

auto route_table::FindTarget(const route_rule& rule,
                             const service_name& name) const
    -> const service_spec* {
  const auto is_target =
      std::any_of(rule.targets.begin(), rule.targets.end(),
                  [&name](const route_target& target) {
                    return target.service == name && target.weight > 0;
                  });
  return is_target ? FindService(name) : nullptr;
}

auto route_table::FindService(const service_name& name) const
    -> const service_spec* {
  const auto found = config_.services.find(name);
  return found == config_.services.end() ? nullptr : &found->second;
}

}  // namespace ebony
