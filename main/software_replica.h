#ifndef EBONY_MAIN_SOFTWARE_REPLICA_H_
#define EBONY_MAIN_SOFTWARE_REPLICA_H_

#include <cstdint>
#include <optional>

#include "core/software_versions.h"
#include "schema/site.pb.h"

namespace ebony {

// A daemon's copy of the leader's set of software versions, updated from the
// answers to the daemon's sync requests.
class software_replica {
  std::optional<software_versions> versions_;
  std::uint32_t digest_ = 0;  // 0: the set is not known

 public:
  auto FillRequest(schema::sync_request& request) const -> void;
  // An answer of a leader that does not know the set makes it unknown here.
  auto ApplyAnswer(const schema::sync_answer& answer) -> void;

  // Returns nullptr while the set is not known.
  auto Get() const -> const software_versions* {
    return versions_ ? &*versions_ : nullptr;
  }
};

}  // namespace ebony

#endif  // EBONY_MAIN_SOFTWARE_REPLICA_H_
