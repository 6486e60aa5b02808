#ifndef EBONY_CONSENSUS_RAFT_LOG_H_
#define EBONY_CONSENSUS_RAFT_LOG_H_

#include <optional>
#include <vector>

#include "consensus/raft_types.h"

namespace ebony {

// The log in memory: a snapshot followed by contiguous entries.
class raft_log {
  snapshot base_;
  std::vector<log_entry> entries_;

 public:
  raft_log(snapshot base, std::vector<log_entry> entries);

  auto get_first_index() const -> log_index;
  auto get_last_index() const -> log_index;
  auto get_last_term() const -> term_number;
  auto get_base() const -> const snapshot& { return base_; }
  // Returns the term at `index`, or nothing when the entry is not held.
  auto get_term(log_index index) const -> std::optional<term_number>;
  // Returns the entries in (after, up_to], at most `limit` of them.
  auto get_range(log_index after, log_index up_to, std::size_t limit) const
      -> std::vector<log_entry>;
  // Returns the newest membership in the snapshot or the log.
  auto get_group() const -> const membership&;
  auto get_group_index() const -> log_index;

  // Appends after dropping every entry from the first new index on.
  auto Append(const std::vector<log_entry>& entries) -> void;
  // Replaces everything by a snapshot from the leader.
  auto Install(snapshot snap) -> void;
  // Drops entries that `snap`, taken locally, now covers.
  auto Compact(snapshot snap) -> void;
};

}  // namespace ebony

#endif  // EBONY_CONSENSUS_RAFT_LOG_H_
