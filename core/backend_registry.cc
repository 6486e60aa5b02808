#include "core/backend_registry.h"

#include <algorithm>

namespace ebony {

namespace {

// True when two messages differ in no more than their order.
auto HasSameContent(backend_status left, const backend_status& right) -> bool {
  left.sequence = right.sequence;
  return left == right;
}

}  // namespace

backend_registry::backend_registry(backend_registry_options options)
    : options_(options) {}

auto backend_registry::IsNewer(const backend_record& known,
                               const backend_status& status,
                               mono_time now) const -> bool {
  if (status.born_ms != known.status.born_ms) {
    return status.born_ms > known.status.born_ms;
  }
  if (known.is_gone) {
    return false;
  }
  if (status.sequence > known.status.sequence) {
    return true;
  }
  // A server that does not say when it started counts anew after a restart.
  return status.born_ms == 0 && now - known.heard > options_.suspect_after;
}

auto backend_registry::Announce(const backend_status& status, mono_time now)
    -> announce_verdict {
  const auto found = records_.find(status.id);
  if (found != records_.end() && !IsNewer(found->second, status, now)) {
    return announce_verdict::outdated;
  }
  const auto is_known = found != records_.end();
  auto& record = records_[status.id];
  const auto is_same = is_known && !record.is_gone && !record.is_suspected &&
                       HasSameContent(record.status, status);
  record.status = status;
  record.is_gone = false;
  record.is_suspected = false;
  record.heard = now;
  if (is_same) {
    return announce_verdict::unchanged;
  }
  record.revision = ++revision_;
  return announce_verdict::changed;
}

auto backend_registry::Leave(const backend_name& id,
                             std::uint64_t born_ms,
                             mono_time now) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    // Remembered, so that an announcement that is still under way is late.
    auto& record = records_[id];
    record.status.id = id;
    record.status.born_ms = born_ms;
    record.is_gone = true;
    record.heard = now;
    record.revision = ++revision_;
    return true;
  }
  auto& record = found->second;
  if (record.is_gone || (born_ms != 0 && born_ms < record.status.born_ms)) {
    return false;
  }
  record.is_gone = true;
  record.heard = now;
  record.revision = ++revision_;
  return true;
}

auto backend_registry::Merge(const backend_record& record, mono_time now)
    -> bool {
  const auto found = records_.find(record.status.id);
  const auto is_newer =
      found == records_.end() || IsNewer(found->second, record.status, now);
  const auto is_same_start =
      found != records_.end() &&
      found->second.status.born_ms == record.status.born_ms &&
      found->second.status.sequence <= record.status.sequence;
  const auto is_later_word =
      is_same_start && !found->second.is_gone &&
      (record.is_gone || found->second.status != record.status ||
       found->second.is_suspected != record.is_suspected);
  if (!is_newer && !is_later_word) {
    return false;
  }
  auto& mine = records_[record.status.id];
  mine = record;
  mine.revision = ++revision_;
  return true;
}

auto backend_registry::Update(
    const backend_name& id,
    const std::function<void(backend_status&)>& change) -> void {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  change(found->second.status);
  found->second.revision = ++revision_;
}

auto backend_registry::Expire(mono_time now) -> std::vector<backend_name> {
  auto suspected = std::vector<backend_name>();
  for (auto& [id, record] : records_) {
    const auto silence = now - record.heard;
    if (!record.is_gone && !record.is_suspected &&
        silence > options_.suspect_after) {
      record.is_suspected = true;
      record.revision = ++revision_;
      suspected.push_back(id);
    }
  }
  std::erase_if(records_, [&](const auto& item) {
    return now - item.second.heard > options_.forget_after;
  });
  return suspected;
}

auto backend_registry::Refresh(mono_time now) -> void {
  for (auto& [id, record] : records_) {
    record.heard = now;
  }
}

auto backend_registry::Find(const backend_name& id) const
    -> const backend_record* {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

auto backend_registry::ListSince(std::uint64_t revision) const
    -> std::vector<const backend_record*> {
  auto list = std::vector<const backend_record*>();
  for (const auto& [id, record] : records_) {
    if (record.revision > revision) {
      list.push_back(&record);
    }
  }
  return list;
}

}  // namespace ebony
