#ifndef EBONY_MAIN_SOFTWARE_REPLICA_H_
#define EBONY_MAIN_SOFTWARE_REPLICA_H_

#include <cstdint>
#include <optional>

#include "codec/site_codec.h"
#include "core/software_versions.h"
#include "core/version_times.h"
#include "schema/site.pb.h"

namespace ebony {

// A daemon's copy of the leader's set of software versions, updated from the
// answers to the daemon's sync requests.
class software_replica {
  std::optional<software_versions> versions_;
  std::uint32_t digest_ = 0;  // 0: the set is not known
  version_times times_;       // of the set known last

  auto RecordTimes(const software_rows& rows, mono_time now) -> void;

 public:
  // Longest time after a confirmation of the leader for which a daemon may take
  // its copy for the whole set.
  static constexpr duration kMaxAge = std::chrono::milliseconds(1000);

  auto FillRequest(schema::sync_request& request) const -> void;
  // An answer of a leader that does not know the set makes it unknown here.
  auto ApplyAnswer(const schema::sync_answer& answer, mono_time now) -> void;
  // Fills in the set for a daemon that syncs with this one.
  auto FillAnswer(const schema::sync_request& request,
                  schema::sync_answer& answer,
                  mono_time now) const -> void;
  // Returns true if no daemon can still take an older set, without this
  // version, for the whole one.
  auto IsSettled(const stream_origin& item, mono_time now) const -> bool;

  // Returns nullptr while the set is not known.
  auto Get() const -> const software_versions* {
    return versions_ ? &*versions_ : nullptr;
  }
};

}  // namespace ebony

#endif  // EBONY_MAIN_SOFTWARE_REPLICA_H_
