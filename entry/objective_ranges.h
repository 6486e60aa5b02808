#ifndef EBONY_ENTRY_OBJECTIVE_RANGES_H_
#define EBONY_ENTRY_OBJECTIVE_RANGES_H_

#include <map>

#include "core/site_config.h"

namespace ebony {

// Shortest and longest latency objective of the routes that send requests to
// each service, and what follows from them for the order of its requests.
class objective_ranges {
  struct range {
    duration shortest{0};
    duration longest{0};
  };

  bool has_organisations_;
  std::map<service_name, range> ranges_;

 public:
  explicit objective_ranges(const site_config& config);

  // Returns true if requests for the service are ordered by the cost of being
  // late or refused: its routes' objectives differ by more than a factor of
  // ten, or the configuration has organisations.
  auto OrdersByCost(const service_name& service) const -> bool;
  // Returns true if that holds for any service of the configuration.
  auto OrdersAnyByCost() const -> bool;
  // Returns true if the route's objective is more than ten times the shortest
  // one of the service.
  auto IsPatient(const route_rule& rule, const service_name& service) const
      -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_OBJECTIVE_RANGES_H_
