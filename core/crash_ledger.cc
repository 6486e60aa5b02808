#include "core/crash_ledger.h"

#include <algorithm>

namespace ebony {

namespace {

// Returns the length of the quarantine that a record has brought about.
auto GetQuarantine(const crash_record& record) -> duration {
  constexpr std::uint32_t kMaxDoublings = 16;
  if (!IsProvenCrasher(record)) {
    return duration(0);
  }
  const auto doublings = std::min(CountRoundsAfterProof(record), kMaxDoublings);
  return std::min(crash_ledger::kLongestQuarantine,
                  crash_ledger::kFirstQuarantine * (1 << doublings));
}

}  // namespace

auto crash_ledger::Touch(entry& item, mono_time changed_at) -> void {
  by_revision_.erase(item.revision);
  item.revision = ++revision_;
  item.changed_at = changed_at;
  by_revision_[item.revision] = item.record.key;
}

auto crash_ledger::Remove(suspect_key key) -> void {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return;
  }
  by_revision_.erase(found->second.revision);
  unreported_.erase(key);
  reported_.erase(key);
  entries_.erase(found);
}

// A full table drops the record with the least evidence, the oldest of these.
auto crash_ledger::GetOrAdd(suspect_key key) -> entry& {
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    return found->second;
  }
  if (entries_.size() >= kMaxRecords) {
    const auto least = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          const auto& left = a.second;
          const auto& right = b.second;
          return std::pair(left.record.rounds, left.changed_at) <
                 std::pair(right.record.rounds, right.changed_at);
        });
    Remove(least->first);
  }
  auto& item = entries_[key];
  item.record.key = key;
  return item;
}

auto crash_ledger::Add(const crash_record& record, mono_time now) -> bool {
  return Merge({record, duration(0)}, false, now);
}

auto crash_ledger::Clear(suspect_key key, mono_time now) -> bool {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.record.rounds == 0) {
    return false;
  }
  auto cleared = crash_record();
  cleared.key = key;
  cleared.kind = found->second.record.kind;
  cleared.clearances = found->second.record.clearances + 1;
  return Add(cleared, now);
}

auto crash_ledger::Merge(const crash_report& report,
                         bool from_above,
                         mono_time now) -> bool {
  const auto key = report.record.key;
  auto& item = GetOrAdd(key);
  const auto is_new = item.revision == 0;
  // An older copy that adds something doesn't make the record older.
  const auto changed_at =
      is_new ? now - report.age : std::max(item.changed_at, now - report.age);
  if (!MergeCrashRecord(item.record, report.record) && !is_new) {
    return false;
  }
  Touch(item, changed_at);
  if (!from_above) {
    unreported_.insert(key);
  }
  return true;
}

auto crash_ledger::Find(suspect_key key) const -> const crash_record* {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.record;
}

auto crash_ledger::GetAge(suspect_key key, mono_time now) const -> duration {
  return now - entries_.at(key).changed_at;
}

auto crash_ledger::GetQuarantineLeft(suspect_key key, mono_time now) const
    -> duration {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return duration(0);
  }
  const auto ends =
      found->second.changed_at + GetQuarantine(found->second.record);
  return std::max(duration(0), duration(ends - now));
}

auto crash_ledger::Judge(suspect_key key, mono_time now) const -> suspicion {
  const auto* record = Find(key);
  if (record == nullptr || record->rounds == 0) {
    return suspicion::none;
  }
  return GetQuarantineLeft(key, now) > duration(0) ? suspicion::quarantined
                                                   : suspicion::suspected;
}

auto crash_ledger::Forget(mono_time now) -> void {
  auto expired = std::vector<suspect_key>();
  for (const auto& [key, item] : entries_) {
    if (now - item.changed_at > GetQuarantine(item.record) + kLifetime) {
      expired.push_back(key);
    }
  }
  for (const auto key : expired) {
    Remove(key);
  }
}

auto crash_ledger::GetReport(suspect_key key, mono_time now) const
    -> crash_report {
  const auto& item = entries_.at(key);
  return {item.record, now - item.changed_at};
}

auto crash_ledger::ListSince(std::uint64_t& revision, mono_time now) const
    -> std::vector<crash_report> {
  auto list = std::vector<crash_report>();
  for (auto item = by_revision_.upper_bound(revision);
       item != by_revision_.end() && list.size() < kMaxReports; ++item) {
    list.push_back(GetReport(item->second, now));
    revision = item->first;
  }
  return list;
}

auto crash_ledger::TakeReport(mono_time now) -> std::vector<crash_report> {
  // What the previous report told is told again if it was not answered.
  for (auto next = unreported_.begin();
       next != unreported_.end() && reported_.size() < kMaxReports;) {
    reported_.insert(*next);
    next = unreported_.erase(next);
  }
  auto list = std::vector<crash_report>();
  for (const auto key : reported_) {
    list.push_back(GetReport(key, now));
  }
  return list;
}

auto crash_ledger::OnReportAnswered(bool is_new_source) -> void {
  reported_.clear();
  if (!is_new_source) {
    return;
  }
  for (const auto& [key, item] : entries_) {
    unreported_.insert(key);
  }
}

auto crash_ledger::CountQuarantined(mono_time now) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
        return Judge(item.first, now) == suspicion::quarantined;
      }));
}

}  // namespace ebony
