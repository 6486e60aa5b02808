#ifndef EBONY_CONSENSUS_PENDING_PROPOSALS_H_
#define EBONY_CONSENSUS_PENDING_PROPOSALS_H_

#include <functional>
#include <map>

#include "consensus/raft_types.h"

namespace ebony {

// Proposals of this leader that wait to be committed. Only the term tells
// whether the entry that is applied at an index is the one that was proposed
// there: a new leader may have overwritten it.
class pending_proposals {
 public:
  // Called once: with true if the proposal is committed, with false if another
  // entry has taken its place or its outcome is unknown.
  using outcome_hook = std::function<void(bool is_committed)>;

 private:
  struct proposal {
    term_number term;
    outcome_hook done;
  };

  std::multimap<log_index, proposal> items_;

 public:
  // Waits for the entry that was proposed at `index` in `term`.
  auto Add(log_index index, term_number term, outcome_hook done) -> void;
  // Completes the proposals up to the index of an applied entry.
  auto OnApplied(const log_entry& entry) -> void;
  // Completes all proposals, whose outcomes are unknown from now on.
  auto FailAll() -> void;
};

}  // namespace ebony

#endif  // EBONY_CONSENSUS_PENDING_PROPOSALS_H_
