#ifndef EBONY_CONSENSUS_RAFT_LOG_H_
#define EBONY_CONSENSUS_RAFT_LOG_H_

#include <optional>
#include <vector>

#include "consensus/raft_types.h"

namespace ebony {

// The in-memory log: a snapshot followed by contiguous entries.
class raft_log {
  snapshot snapshot_;
  std::vector<log_entry> entries_;

 public:
  raft_log(snapshot snap, std::vector<log_entry> entries);

  auto get_first_index() const -> log_index;
  auto get_last_index() const -> log_index;
  auto get_last_term() const -> term_number;
  auto get_snapshot() const -> const snapshot& { return snapshot_; }
  // Returns the term of the entry at `index`, or std::nullopt if the log does
  // not contain it.
  auto get_term(log_index index) const -> std::optional<term_number>;
  // Returns the entries in (after, up_to], at most `limit` of them.
  auto get_range(log_index after, log_index up_to, std::size_t limit) const
      -> std::vector<log_entry>;
  // Returns the last membership in the log, else that of the snapshot.
  auto get_group() const -> const membership&;
  auto get_group_index() const -> log_index;

  // Appends `entries`, overwriting existing ones from their first index on.
  auto Append(const std::vector<log_entry>& entries) -> void;
  // Replaces the snapshot and all entries by a snapshot from the leader.
  auto Install(snapshot snap) -> void;
  // Removes the entries up to the index of `snap`, which was taken locally.
  auto Compact(snapshot snap) -> void;
};

}  // namespace ebony

#endif  // EBONY_CONSENSUS_RAFT_LOG_H_
