#ifndef EBONY_ENTRY_ROUTE_TABLE_H_
#define EBONY_ENTRY_ROUTE_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/site_config.h"
#include "entry/objective_ranges.h"

namespace ebony {

// The HTTP routes of one configuration, by host and longest path prefix. Each
// request keeps a reference to the table that it was matched against, so a
// configuration change does not interrupt requests in flight.
class route_table {
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

  site_config config_;
  objective_ranges objectives_;
  // Rules by lower-case host and path prefix. They point into `config_`.
  std::map<std::string,
           std::map<std::string, const route_rule*, std::less<>>,
           std::less<>>
      hosts_;

 public:
  explicit route_table(site_config config);
  route_table(const route_table&) = delete;
  auto operator=(const route_table&) -> route_table& = delete;

  // Returns the rule of `host` with the longest prefix of `path`, or null.
  // Hosts are compared without regard to case.
  auto Match(std::string_view host, std::string_view path) const
      -> const route_rule*;
  // Selects one of the services of the rule at random, in proportion to the
  // weights.
  auto PickService(const route_rule& rule, const random_source& random) const
      -> const service_spec&;
  // Returns the service with this name if the rule sends requests to it, or
  // null.
  auto FindTarget(const route_rule& rule, const service_name& name) const
      -> const service_spec*;
  // Returns null for an unknown service.
  auto FindService(const service_name& name) const -> const service_spec*;
  auto get_config() const -> const site_config& { return config_; }
  auto get_objectives() const -> const objective_ranges& { return objectives_; }
};

using route_table_pointer = std::shared_ptr<const route_table>;

}  // namespace ebony

#endif  // EBONY_ENTRY_ROUTE_TABLE_H_
