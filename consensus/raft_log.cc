#include "consensus/raft_log.h"

#include <algorithm>
#include <utility>

namespace ebony {

raft_log::raft_log(snapshot snap, std::vector<log_entry> entries)
    : snapshot_(std::move(snap)), entries_(std::move(entries)) {}

auto raft_log::get_first_index() const -> log_index {
  return log_index(snapshot_.index.get() + 1);
}

auto raft_log::get_last_index() const -> log_index {
  return log_index(snapshot_.index.get() + entries_.size());
}

auto raft_log::get_last_term() const -> term_number {
  return entries_.empty() ? snapshot_.term : entries_.back().term;
}

auto raft_log::get_term(log_index index) const -> std::optional<term_number> {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > get_last_index()) {
    return std::nullopt;
  }
  return entries_[index.get() - snapshot_.index.get() - 1].term;
}

auto raft_log::get_range(log_index after,
                         log_index up_to,
                         std::size_t limit) const -> std::vector<log_entry> {
  const auto begin = after.get() - snapshot_.index.get();
  const auto end = std::min<std::uint64_t>(
      {up_to.get() - snapshot_.index.get(), entries_.size(), begin + limit});
  if (begin >= end) {
    return {};
  }
  return {entries_.begin() + static_cast<std::ptrdiff_t>(begin),
          entries_.begin() + static_cast<std::ptrdiff_t>(end)};
}

auto raft_log::get_group() const -> const membership& {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->kind == entry_kind::membership) {
      return entry->group;
    }
  }
  return snapshot_.group;
}

auto raft_log::get_group_index() const -> log_index {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->kind == entry_kind::membership) {
      return entry->index;
    }
  }
  return snapshot_.index;
}

auto raft_log::Append(const std::vector<log_entry>& entries) -> void {
  if (entries.empty()) {
    return;
  }
  entries_.resize(entries.front().index.get() - snapshot_.index.get() - 1);
  entries_.insert(entries_.end(), entries.begin(), entries.end());
}

auto raft_log::Install(snapshot snap) -> void {
  snapshot_ = std::move(snap);
  entries_.clear();
}

auto raft_log::Compact(snapshot snap) -> void {
  if (snap.index <= snapshot_.index) {
    return;
  }
  const auto compacted_count = snap.index.get() - snapshot_.index.get();
  entries_.erase(
      entries_.begin(),
      entries_.begin() + static_cast<std::ptrdiff_t>(compacted_count));
  snapshot_ = std::move(snap);
}

}  // namespace ebony
