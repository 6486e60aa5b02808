#ifndef EBONY_MAIN_REGISTRY_REPLICA_H_
#define EBONY_MAIN_REGISTRY_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/backend_index.h"
#include "core/backend_registry.h"
#include "core/permit_report.h"
#include "schema/site.pb.h"

namespace ebony {

// A daemon's copy of the leader's registry of backend servers, updated from the
// answers to the daemon's sync requests. Records from a previous leader stay
// valid until the new leader replaces them. Records that it does not list
// within the time in which a live server announces itself are suspected, and
// removed later.
class registry_replica {
 public:
  // Called for each record that an answer changed.
  using change_hook = std::function<void(const backend_record&)>;

 private:
  backend_registry_options options_;
  backend_registry registry_;
  backend_index index_;  // as assigned by `source_`
  std::string source_;   // leader and term
  std::uint64_t revision_ = 0;
  mono_time source_since_;  // first answer of `source_`
  // Servers that `source_` lists as having said that they are about to stop.
  std::set<backend_name> listed_leaving_;
  // The limits that `source_` lists; other servers have none there.
  std::map<backend_name, request_limit> listed_limits_;

  // Suspects the records that `source_` has not listed, then removes them.
  auto ExpireUnlisted(mono_time now, const change_hook& on_change) -> void;

 public:
  registry_replica();

  // Sets the source and revision of this copy in `request`, so that the answer
  // holds only later changes.
  auto FillRequest(schema::sync_request& request) const -> void;
  // Records that a start of a server said in an answer that it is about to
  // stop. Returns true if that was not known. `source_` is told until it lists
  // it.
  auto ObserveLeaving(const backend_name& id, std::uint64_t start_time_ms)
      -> bool;
  // Returns the limit of a server as `source_` lists it, which may know less
  // than an earlier one did.
  auto GetListedLimit(const backend_name& id) const -> request_limit;
  // Returns the limits that are known here, but not listed by `source_`, as
  // reports that it should get.
  auto ListUnlistedLimits() const -> std::vector<permit_report>;
  // Merges the departure of a server that an earlier run knew of.
  auto RestoreDeparture(const backend_record& record, mono_time now) -> void {
    registry_.Merge(record, now);
  }
  // Applies an answer and calls `on_change` for each changed record. Returns
  // true if the answer is the first from a different leader or term.
  auto ApplyAnswer(const schema::sync_answer& answer,
                   mono_time now,
                   const change_hook& on_change) -> bool;

  auto get_registry() const -> const backend_registry& { return registry_; }
  auto get_index() const -> const backend_index& { return index_; }
  auto get_source() const -> const std::string& { return source_; }
  auto get_revision() const -> std::uint64_t { return revision_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_REGISTRY_REPLICA_H_
