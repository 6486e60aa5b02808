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

// Returns true if a start that had left may have said `status` afterwards. The
// sequence numbers of starts that name no time cannot be compared.
auto IsLaterWord(const backend_status& status, const backend_status& known)
    -> bool {
  return status.start_time_ms != known.start_time_ms ||
         status.start_time_ms == 0 || status.sequence > known.sequence;
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

auto backend_registry::GetRejection(const backend_record& current,
                                    const backend_status& status) const
    -> announce_result {
  if (status.start_time_ms < current.status.start_time_ms) {
    return announce_result::earlier_start;
  }
  return current.has_left ? announce_result::has_left
                          : announce_result::superseded;
}

auto backend_registry::IsReturning(const backend_record& current,
                                   const backend_status& status,
                                   mono_time now) const -> bool {
  return current.has_left && !status.is_leaving &&
         IsLaterWord(status, current.status) &&
         now - current.last_seen > options_.trust_departure_for;
}

auto backend_registry::Announce(const backend_status& status,
                                mono_time now,
                                mono_time said_at) -> announce_result {
  const auto found = records_.find(status.id);
  const auto is_known = found != records_.end();
  const auto is_returning = is_known && IsReturning(found->second, status, now);
  if (is_known && !is_returning && !IsNewer(found->second, status, now)) {
    return GetRejection(found->second, status);
  }
  auto& record = records_[status.id];
  if (!is_known || record.status.start_time_ms != status.start_time_ms) {
    record.limit = PresumeLimit(status, record.limit, now);
    record.has_said_leaving = false;
    record.has_returned = false;
    record.known_since = now;
  } else if (status.sequence < record.status.sequence) {
    record.known_since = now;  // a restart that names no start time
  }
  auto announced = status;
  announced.is_leaving = status.is_leaving || record.has_said_leaving;
  const auto is_same = is_known && !record.has_left && !record.is_suspected &&
                       HasSameContent(record.status, announced);
  record.status = announced;
  record.has_left = false;
  record.has_returned = record.has_returned || is_returning;
  record.last_seen = std::max(record.last_seen, said_at);
  record.is_suspected = now - record.last_seen > options_.suspect_after;
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

auto backend_registry::ApplyDeparture(const backend_departure& departure)
    -> departure_result {
  auto& record = records_.at(departure.id);
  const auto known_start = record.status.start_time_ms;
  const auto names_start = departure.start_time_ms != 0;
  const auto is_earlier_start =
      names_start && departure.start_time_ms < known_start;
  const auto is_later_start =
      names_start && departure.start_time_ms > known_start;
  if (is_earlier_start || (record.has_left && !is_later_start)) {
    return departure_result::known;
  }
  if (!names_start && departure.said_at < record.known_since) {
    return departure_result::ambiguous;
  }
  // The status is kept: a departure comes without address and service.
  record.status.start_time_ms = std::max(known_start, departure.start_time_ms);
  record.has_left = true;
  record.has_returned = false;
  record.last_seen = departure.said_at;
  Touch(record);
  return departure_result::recorded;
}

auto backend_registry::Leave(const backend_departure& departure)
    -> departure_result {
  const auto [found, is_new] = records_.try_emplace(departure.id);
  if (is_new) {
    // The record makes announcements that are still in flight stale.
    found->second.status.id = departure.id;
    found->second.known_since = departure.said_at;
  }
  return ApplyDeparture(departure);
}

auto backend_registry::MergeDeparture(const backend_record& record) -> bool {
  const auto departure = backend_departure{
      record.status.id, record.status.start_time_ms, record.last_seen};
  const auto [found, is_new] = records_.try_emplace(record.status.id, record);
  if (is_new) {
    auto& known = found->second;
    known.revision = 0;  // that of the record is of another registry
    known.has_left = false;
    known.known_since = record.last_seen;
  }
  return ApplyDeparture(departure) == departure_result::recorded;
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
  const auto is_returning = found != records_.end() && record.has_returned &&
                            found->second.has_left &&
                            IsLaterWord(record.status, found->second.status);
  const auto is_newer = found == records_.end() || is_returning ||
                        IsNewer(found->second, record.status, now);
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
  const auto is_known = merged.known_since != mono_time();
  const auto known_since = is_same_run && is_known ? merged.known_since : now;
  merged = record;
  // Those of `record` are of another registry.
  merged.revision = known_revision;
  merged.known_since = known_since;
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
    // A departure is kept until a server that is at work has announced itself
    // after the time for which it is trusted.
    const auto kept_for = item->second.has_left ? options_.trust_departure_for +
                                                      options_.remove_after
                                                : options_.remove_after;
    const auto is_expired = now - item->second.last_seen > kept_for;
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
