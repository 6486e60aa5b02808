#include "consensus/pending_proposals.h"

#include <utility>

namespace ebony {

auto pending_proposals::Add(log_index index,
                            term_number term,
                            outcome_hook done) -> void {
  items_.emplace(index, proposal{term, std::move(done)});
}

auto pending_proposals::OnApplied(const log_entry& entry) -> void {
  while (!items_.empty() && items_.begin()->first <= entry.index) {
    const auto index = items_.begin()->first;
    const auto item = std::move(items_.begin()->second);
    items_.erase(items_.begin());
    item.done(index == entry.index && item.term == entry.term);
  }
}

auto pending_proposals::FailAll() -> void {
  for (const auto& [index, item] : std::exchange(items_, {})) {
    item.done(false);
  }
}

}  // namespace ebony
