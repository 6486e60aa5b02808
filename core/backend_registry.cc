#include "core/backend_registry.h"

#include <algorithm>

namespace ebony {

namespace {

// Rejections of a server within this time are passed on as one.
constexpr duration kRejectionInterval = std::chrono::milliseconds(400);
// Servers of a service that have to say so before a further one is taken to.
constexpr int kPresumptionServers = 2;

// Compares two announcements without their sequence numbers.
auto HasSameContent(backend_status left, const backend_status& right) -> bool {
  left.sequence = right.sequence;
  return left == right;
}

}  // namespace

backend_registry::backend_registry(backend_registry_options options)
    : options_(options) {}

auto backend_registry::Touch(backend_record& record) -> void {
  by_revision_.erase(record.revision);
  record.revision = ++revision_;
  by_revision_[record.revision] = record.status.id;
}

auto backend_registry::Remove(const backend_name& id) -> void {
  const auto found = records_.find(id);
  if (found != records_.end()) {
    by_revision_.erase(found->second.revision);
    records_.erase(found);
  }
}

auto backend_registry::IsNewer(const backend_record& current,
                               const backend_status& status,
                               mono_time now) const -> bool {
  if (status.start_time_ms != current.status.start_time_ms) {
    return status.start_time_ms > current.status.start_time_ms;
  }
  if (current.has_left) {
    return false;
  }
  if (status.sequence > current.status.sequence) {
    return true;
  }
  // Without a start time, a restart is recognised by a gap in announcements,
  // because the sequence number starts again.
  return status.start_time_ms == 0 &&
         now - current.last_seen > options_.suspect_after;
}

auto backend_registry::Announce(const backend_status& status, mono_time now)
    -> announce_result {
  const auto found = records_.find(status.id);
  if (found != records_.end() && !IsNewer(found->second, status, now)) {
    return announce_result::stale;
  }
  const auto is_known = found != records_.end();
  auto& record = records_[status.id];
  if (!is_known || record.status.start_time_ms != status.start_time_ms) {
    record.limit = PresumeLimit(status, record.limit, now);
    record.has_said_leaving = false;
  }
  auto announced = status;
  announced.is_leaving = status.is_leaving || record.has_said_leaving;
  const auto is_same = is_known && !record.has_left && !record.is_suspected &&
                       HasSameContent(record.status, announced);
  record.status = announced;
  record.has_left = false;
  record.is_suspected = false;
  record.last_seen = now;
  if (is_same) {
    return announce_result::unchanged;
  }
  Touch(record);
  return announce_result::changed;
}

auto backend_registry::PresumeLimit(const backend_status& status,
                                    const request_limit& former,
                                    mono_time now) const -> request_limit {
  auto presumed = request_limit();
  auto servers = 0;
  const auto count = [&](const request_limit& limit) {
    if (!limit.max_rejections) {
      return;
    }
    ++servers;
    presumed.max_rejections =
        std::min(presumed.max_rejections.value_or(*limit.max_rejections),
                 *limit.max_rejections);
  };
  count(former);
  for (const auto& [id, record] : records_) {
    if (record.status.service == status.service && id != status.id) {
      count(record.limit);
    }
  }
  if (servers < kPresumptionServers) {
    return {};
  }
  presumed.is_presumed = true;
  presumed.observed = now;
  return presumed;
}

auto backend_registry::Leave(const backend_name& id,
                             std::uint64_t start_time_ms,
                             mono_time now) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    // The record makes announcements that are still in flight stale.
    auto& record = records_[id];
    record.status.id = id;
    record.status.start_time_ms = start_time_ms;
    record.has_left = true;
    record.last_seen = now;
    Touch(record);
    return true;
  }
  auto& record = found->second;
  if (record.has_left ||
      (start_time_ms != 0 && start_time_ms < record.status.start_time_ms)) {
    return false;
  }
  record.has_left = true;
  record.last_seen = now;
  Touch(record);
  return true;
}

auto backend_registry::MergeDeparture(const backend_record& record) -> bool {
  const auto start_time_ms = record.status.start_time_ms;
  auto [found, is_new] = records_.try_emplace(record.status.id, record);
  auto& known = found->second;
  if (is_new) {
    known.revision = 0;  // that of the record is of another registry
  }
  if (!is_new &&
      (known.has_left ||
       (start_time_ms != 0 && start_time_ms < known.status.start_time_ms))) {
    return false;
  }
  // The status is kept: a departure may come without address and service.
  known.status.start_time_ms =
      std::max(known.status.start_time_ms, start_time_ms);
  known.has_left = true;
  known.last_seen = record.last_seen;
  Touch(known);
  return true;
}

auto backend_registry::MergeSuspicion(const backend_record& record) -> bool {
  const auto& known = records_.at(record.status.id);
  return record.is_suspected &&
         known.status.start_time_ms == record.status.start_time_ms &&
         Suspect(record.status.id, record.last_seen);
}

auto backend_registry::Merge(const backend_record& record, mono_time now)
    -> bool {
  if (record.has_left) {
    return MergeDeparture(record);
  }
  const auto found = records_.find(record.status.id);
  const auto is_newer =
      found == records_.end() || IsNewer(found->second, record.status, now);
  const auto is_same_start =
      found != records_.end() &&
      found->second.status.start_time_ms == record.status.start_time_ms &&
      found->second.status.sequence <= record.status.sequence;
  const auto is_update_of_same_start =
      is_same_start && !found->second.has_left &&
      (found->second.status != record.status ||
       !IsSameStatement(found->second.limit, record.limit) ||
       record.limit.last_rejection - found->second.limit.last_rejection >=
           kRejectionInterval / 2 ||
       (record.has_said_leaving && !found->second.has_said_leaving) ||
       found->second.is_suspected != record.is_suspected);
  if (!is_newer && !is_update_of_same_start) {
    return MergeSuspicion(record);
  }
  auto& merged = records_[record.status.id];
  const auto known_limit = merged.limit;
  const auto had_said_leaving = merged.has_said_leaving;
  const auto is_same_run =
      merged.status.start_time_ms == record.status.start_time_ms;
  const auto known_revision = merged.revision;
  merged = record;
  merged.revision = known_revision;  // that of `record` is of another registry
  if (is_same_run && known_limit.observed > record.limit.observed) {
    merged.limit = known_limit;
  }
  if (is_same_run && had_said_leaving) {
    merged.has_said_leaving = true;
    merged.status.is_leaving = true;
  }
  Touch(merged);
  return true;
}

auto backend_registry::ObserveLimit(const backend_name& id,
                                    std::uint64_t start_time_ms,
                                    const request_limit& limit) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.has_left ||
      found->second.status.start_time_ms != start_time_ms ||
      found->second.limit.observed >= limit.observed) {
    return false;
  }
  auto& record = found->second;
  const auto is_change = !IsSameStatement(record.limit, limit);
  const auto last_rejection = record.limit.last_rejection;
  record.limit = limit;
  record.limit.last_rejection = std::max(last_rejection, limit.last_rejection);
  if (is_change) {
    Touch(record);
  }
  return is_change;
}

auto backend_registry::ObserveRejection(const backend_name& id,
                                        std::uint64_t start_time_ms,
                                        mono_time now) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end() ||
      found->second.status.start_time_ms != start_time_ms ||
      !found->second.limit.max_rejections ||
      now - found->second.limit.last_rejection < kRejectionInterval) {
    return false;
  }
  found->second.limit.last_rejection = now;
  Touch(found->second);
  return true;
}

auto backend_registry::ObserveLeaving(const backend_name& id,
                                      std::uint64_t start_time_ms) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.has_left ||
      found->second.status.start_time_ms != start_time_ms ||
      found->second.has_said_leaving) {
    return false;
  }
  auto& record = found->second;
  record.has_said_leaving = true;
  record.status.is_leaving = true;
  Touch(record);
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
  Touch(found->second);
}

auto backend_registry::Expire(mono_time now) -> std::vector<backend_name> {
  auto suspected = std::vector<backend_name>();
  for (auto& [id, record] : records_) {
    const auto age = now - record.last_seen;
    if (!record.has_left && !record.is_suspected &&
        age > options_.suspect_after) {
      record.is_suspected = true;
      Touch(record);
      suspected.push_back(id);
    }
  }
  for (auto item = records_.begin(); item != records_.end();) {
    const auto is_expired =
        now - item->second.last_seen > options_.remove_after;
    if (is_expired) {
      by_revision_.erase(item->second.revision);
      item = records_.erase(item);
    } else {
      ++item;
    }
  }
  return suspected;
}

auto backend_registry::Suspect(const backend_name& id, mono_time now) -> bool {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.is_suspected ||
      found->second.has_left) {
    return false;
  }
  found->second.is_suspected = true;
  found->second.last_seen = now;
  Touch(found->second);
  return true;
}

auto backend_registry::Refresh(mono_time now) -> void {
  for (auto& [id, record] : records_) {
    record.last_seen = now;
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
  for (auto item = by_revision_.upper_bound(revision);
       item != by_revision_.end(); ++item) {
    list.push_back(&records_.at(item->second));
  }
  return list;
}

}  // namespace ebony
