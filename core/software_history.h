#ifndef EBONY_CORE_SOFTWARE_HISTORY_H_
#define EBONY_CORE_SOFTWARE_HISTORY_H_

#include <map>
#include <optional>
#include <set>

#include "core/ids.h"

namespace ebony {

// The software versions of each service that this process has seen since it
// started. Tells whether a stream of unknown origin can only have begun at the
// present version.
class software_history {
  std::map<service_name, std::set<software_version>> versions_;
  std::optional<mono_time> since_;

 public:
  // No stream lasts longer, so an older one did not begin before the history.
  static constexpr duration kMinHistory = std::chrono::seconds(30);

  auto Observe(const service_name& service,
               const software_version& software,
               mono_time now) -> void;
  // Returns the only version that the service has had, or std::nullopt if there
  // were several or the history is too short to tell.
  auto GetOnly(const service_name& service, mono_time now) const
      -> std::optional<software_version>;
};

}  // namespace ebony

#endif  // EBONY_CORE_SOFTWARE_HISTORY_H_
