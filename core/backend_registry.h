#ifndef EBONY_CORE_BACKEND_REGISTRY_H_
#define EBONY_CORE_BACKEND_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "core/site_config.h"

namespace ebony {

// A backend server as the registry knows it.
struct backend_record {
  backend_status status;
  bool is_gone = false;       // said that it ends
  bool is_suspected = false;  // silent for too long
  mono_time heard;
  std::uint64_t revision = 0;  // of the newest change, within this registry
};

enum class announce_verdict {
  changed,    // new content is in force
  unchanged,  // newer, with the content that was known
  outdated,   // older than what is known; nothing changed
};

struct backend_registry_options {
  duration suspect_after = std::chrono::milliseconds(4000);
  duration forget_after = std::chrono::seconds(30);
};

// What backend servers say of themselves, in the order in which they said it:
// the time of their start first, then their own sequence. A late message of an
// earlier start, or after a leave, changes nothing.
class backend_registry {
  backend_registry_options options_;
  std::map<backend_name, backend_record> records_;
  std::uint64_t revision_ = 0;

  auto IsNewer(const backend_record& known,
               const backend_status& status,
               mono_time now) const -> bool;

 public:
  explicit backend_registry(backend_registry_options options);

  auto Announce(const backend_status& status, mono_time now)
      -> announce_verdict;
  // `born_ms` of 0 means the start that is known.
  auto Leave(const backend_name& id, std::uint64_t born_ms, mono_time now)
      -> bool;
  // Takes over a record of another daemon's registry.
  auto Merge(const backend_record& record, mono_time now) -> bool;
  // Notes a change that the system itself made, ahead of the announcement.
  auto Update(const backend_name& id,
              const std::function<void(backend_status&)>& change) -> void;
  // Marks what has been silent for long. Returns the newly suspected ones.
  auto Expire(mono_time now) -> std::vector<backend_name>;
  // Counts every record as heard now, after a time without a source.
  auto Refresh(mono_time now) -> void;

  auto Find(const backend_name& id) const -> const backend_record*;
  auto ListSince(std::uint64_t revision) const
      -> std::vector<const backend_record*>;
  auto get_records() const -> const std::map<backend_name, backend_record>& {
    return records_;
  }
  auto get_revision() const -> std::uint64_t { return revision_; }
};

}  // namespace ebony

#endif  // EBONY_CORE_BACKEND_REGISTRY_H_
