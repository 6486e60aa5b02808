#include "core/crash_record.h"

#include "core/hashing.h"

namespace ebony {

namespace {

// Servers that have to crash when an answer had just begun until a segment is
// proven. Three can be chance on a day on which servers crash for other
// reasons.
constexpr std::size_t kProvingCrashes = 4;
// Requests under which they have to: one request that comes again and again
// proves nothing about what it shares with others.
constexpr std::size_t kProvingRequests = 3;
// Rounds in which they have to: servers that crash together may have a cause in
// common that is none of the requests.
constexpr std::uint32_t kProvingRounds = 2;
// Rounds that prove a segment though the servers crash before they answer, or
// later. Many requests are in that state when a server crashes, so that chance
// is more likely.
constexpr std::uint32_t kProvingSilentRounds = 6;

// Servers that one request has to crash until it is proven. Chance is less
// likely than with a segment: each time, the same request was running.
constexpr std::size_t kProvingCrashesOfRequest = 3;

auto IsProvenRequest(const crash_record& record) -> bool {
  return record.rounds >= kProvingRounds &&
         record.runs.get_values().size() >= kProvingCrashesOfRequest;
}

auto IsProvenByBegun(const crash_record& record) -> bool {
  return record.begun_rounds >= kProvingRounds &&
         record.runs.get_values().size() >= kProvingCrashes;
}

auto IsProvenBySilent(const crash_record& record) -> bool {
  return record.rounds >= kProvingSilentRounds;
}

template <typename Value>
auto AddAll(smallest_values<Value>& set, const smallest_values<Value>& other)
    -> bool {
  auto has_changed = false;
  for (const auto& value : other.get_values()) {
    has_changed = set.Add(value) || has_changed;
  }
  return has_changed;
}

}  // namespace

auto GetKeyText(suspect_key key) -> std::string {
  return FormatHexadecimal(key.get());
}

auto MergeCrashRecord(crash_record& record, const crash_record& other) -> bool {
  record.kind = other.kind;
  if (other.clearances < record.clearances) {
    return false;
  }
  if (other.clearances > record.clearances) {
    record = other;
    return true;
  }
  auto has_changed = other.rounds > record.rounds;
  record.rounds = std::max(record.rounds, other.rounds);
  has_changed = has_changed || other.begun_rounds > record.begun_rounds;
  record.begun_rounds = std::max(record.begun_rounds, other.begun_rounds);
  has_changed = AddAll(record.runs, other.runs) || has_changed;
  has_changed = AddAll(record.requests, other.requests) || has_changed;
  has_changed =
      AddAll(record.organisations, other.organisations) || has_changed;
  has_changed = has_changed || (other.is_isolated && !record.is_isolated);
  record.is_isolated = record.is_isolated || other.is_isolated;
  return has_changed;
}

auto IsProvenCrasher(const crash_record& record) -> bool {
  if (record.kind == suspect_kind::request) {
    return IsProvenRequest(record);
  }
  return record.requests.get_values().size() >= kProvingRequests &&
         (IsProvenByBegun(record) || IsProvenBySilent(record));
}

auto CountRoundsAfterProof(const crash_record& record) -> std::uint32_t {
  if (record.kind == suspect_kind::request) {
    constexpr auto kMost = static_cast<std::uint32_t>(kProvingCrashesOfRequest);
    return record.rounds - std::min(record.rounds, kMost);
  }
  constexpr auto kMostRounds = static_cast<std::uint32_t>(kProvingCrashes);
  if (IsProvenByBegun(record)) {
    return record.begun_rounds - std::min(record.begun_rounds, kMostRounds);
  }
  return record.rounds - std::min(record.rounds, kProvingSilentRounds);
}

}  // namespace ebony
