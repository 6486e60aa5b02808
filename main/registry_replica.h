#ifndef EBONY_MAIN_REGISTRY_REPLICA_H_
#define EBONY_MAIN_REGISTRY_REPLICA_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/backend_numbers.h"
#include "core/backend_registry.h"
#include "schema/site.pb.h"

namespace ebony {

// The leader's roster of backend servers as another daemon knows it: kept up to
// date by the answers to that daemon's syncs. What a former leader said holds
// until the new one says otherwise.
class registry_replica {
  backend_registry registry_;
  backend_numbers numbers_;  // as `source_` gives them out
  std::string source_;       // leader and term
  std::uint64_t revision_ = 0;

 public:
  // Called with each record that an answer changed.
  using change_hook = std::function<void(const backend_record&)>;

  registry_replica();

  // Says what is known, so that the answer holds only what is not.
  auto FillRequest(schema::sync_request& request) const -> void;
  // Returns true when the answer is the first of another leader.
  auto ApplyAnswer(const schema::sync_answer& answer,
                   mono_time now,
                   const change_hook& on_change) -> bool;

  auto get_registry() const -> const backend_registry& { return registry_; }
  auto get_numbers() const -> const backend_numbers& { return numbers_; }
  auto get_source() const -> const std::string& { return source_; }
  auto get_revision() const -> std::uint64_t { return revision_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_REGISTRY_REPLICA_H_
