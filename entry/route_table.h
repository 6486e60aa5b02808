#ifndef EBONY_ENTRY_ROUTE_TABLE_H_
#define EBONY_ENTRY_ROUTE_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/site_config.h"

namespace ebony {

// The routes of one configuration, by host and longest path prefix. Requests
// keep the table that they were matched in, so a change cuts nothing.
class route_table {
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

  site_config config_;
  // Prefix to rule, per host in lower case.
  std::map<std::string,
           std::map<std::string, const route_rule*, std::less<>>,
           std::less<>>
      hosts_;

 public:
  explicit route_table(site_config config);
  route_table(const route_table&) = delete;
  auto operator=(const route_table&) -> route_table& = delete;

  // Returns the rule with the longest prefix that begins `path`, or null.
  auto Match(std::string_view host, std::string_view path) const
      -> const route_rule*;
  // Draws one of the rule's services by weight.
  auto PickService(const route_rule& rule, const random_source& random) const
      -> const service_spec&;
  auto FindService(const service_name& name) const -> const service_spec*;
  auto get_config() const -> const site_config& { return config_; }
};

using route_table_pointer = std::shared_ptr<const route_table>;

}  // namespace ebony

#endif  // EBONY_ENTRY_ROUTE_TABLE_H_
