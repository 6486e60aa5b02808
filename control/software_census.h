#ifndef EBONY_CONTROL_SOFTWARE_CENSUS_H_
#define EBONY_CONTROL_SOFTWARE_CENSUS_H_

#include <map>
#include <vector>

#include "core/backend_registry.h"
#include "core/software_versions.h"

namespace ebony {

// Changes of the replicated set of software versions.
struct software_change {
  std::vector<stream_origin> added;
  std::vector<stream_origin> removed;

  auto is_empty() const -> bool { return added.empty() && removed.empty(); }
};

// Decides for the leader which software versions enter the replicated set, and
// which leave it because no stream can have begun there any more.
class software_census {
  // When a server that runs the version was last in the registry.
  std::map<stream_origin, mono_time> last_listed_;

 public:
  // Longer than the time limit of any stream.
  static constexpr duration kLifetime = std::chrono::seconds(60);

  // Starts anew, as a new leader does: what it was not told of counts as just
  // seen.
  auto Restart() -> void { last_listed_.clear(); }
  // Returns the changes due after a look at all servers of the registry.
  auto Plan(const backend_registry& registry,
            const software_versions& versions,
            mono_time now) -> software_change;
};

// Returns true if the set has every version that the registry lists.
auto HasAllVersions(const software_versions& versions,
                    const backend_registry& registry) -> bool;

}  // namespace ebony

#endif  // EBONY_CONTROL_SOFTWARE_CENSUS_H_
