#ifndef EBONY_CORE_VERSION_TIMES_H_
#define EBONY_CORE_VERSION_TIMES_H_

#include <map>

#include "core/software_versions.h"

namespace ebony {

// Since when a daemon knows each software version of the replicated set. By
// this it is known whether another daemon can still take an older set for the
// whole one.
class version_times {
  std::map<stream_origin, mono_time> known_since_;

 public:
  // Takes the present set: what is new in it counts from `now`, and what is no
  // longer in it is forgotten.
  auto Update(const software_versions& versions, mono_time now) -> void;
  // Another daemon has known the version for `age`.
  auto OnTold(const stream_origin& item, duration age, mono_time now) -> void;
  // Returns 0 for a version that is not known.
  auto GetAge(const stream_origin& item, mono_time now) const -> duration;
};

}  // namespace ebony

#endif  // EBONY_CORE_VERSION_TIMES_H_
