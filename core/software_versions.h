#ifndef EBONY_CORE_SOFTWARE_VERSIONS_H_
#define EBONY_CORE_SOFTWARE_VERSIONS_H_

#include <cstdint>
#include <optional>
#include <set>

#include "core/stream_origin.h"

namespace ebony {

// The software versions of each service at which a stream may have begun that
// callers can still take up, whether a server runs them or not. The control
// group replicates this set, so that it outlives all processes.
class software_versions {
  std::set<stream_origin> items_;

 public:
  // Both return true if the set has changed.
  auto Add(const stream_origin& item) -> bool;
  auto Remove(const stream_origin& item) -> bool;
  auto Contains(const stream_origin& item) const -> bool {
    return items_.contains(item);
  }
  // Returns the version of a service of which there is only one, std::nullopt
  // for all other services.
  auto GetOnly(const service_name& service) const
      -> std::optional<software_version>;
  // Returns the services that have several versions. Only there does the origin
  // of a stream decide where it may go on.
  auto GetMixedServices() const -> std::set<service_name>;
  // Returns a hash of the set that is never 0.
  auto GetDigest() const -> std::uint32_t;
  auto get_items() const -> const std::set<stream_origin>& { return items_; }
};

}  // namespace ebony

#endif  // EBONY_CORE_SOFTWARE_VERSIONS_H_
