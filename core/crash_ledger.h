#ifndef EBONY_CORE_CRASH_LEDGER_H_
#define EBONY_CORE_CRASH_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/crash_record.h"
#include "core/ids.h"

namespace ebony {

// What a ledger says of a key.
enum class suspicion {
  none,         // nothing is known against it
  suspected,    // has crashed servers, or its quarantine is over
  quarantined,  // proven, and its quarantine lasts
};

// A record as one daemon passes it on to another.
struct crash_report {
  crash_record record;
  duration age{0};  // since the record changed last
};

// The crash records that one daemon knows: its own and those of others. Used by
// gateways, relays and the leader.
class crash_ledger {
  struct entry {
    crash_record record;
    mono_time changed_at;
    std::uint64_t revision = 0;
  };

  std::map<suspect_key, entry> entries_;
  std::map<std::uint64_t, suspect_key> by_revision_;
  std::uint64_t revision_ = 0;
  // Changes that the next daemon up is not known to have.
  std::set<suspect_key> unreported_;
  std::set<suspect_key> reported_;  // in the latest report, not answered yet

  auto Touch(entry& item, mono_time changed_at) -> void;
  auto GetOrAdd(suspect_key key) -> entry&;
  auto Remove(suspect_key key) -> void;
  auto GetReport(suspect_key key, mono_time now) const -> crash_report;

 public:
  // Larger than the number of keys that can be suspected at once by chance.
  static constexpr std::size_t kMaxRecords = 1024;
  // Records in one message.
  static constexpr std::size_t kMaxReports = 128;
  // First quarantine of a key. It doubles with each crash after the quarantine
  // was over, up to the longest.
  static constexpr duration kFirstQuarantine = std::chrono::minutes(5);
  static constexpr duration kLongestQuarantine = std::chrono::hours(24);
  // Records that nothing was added to for this long after their quarantine, if
  // any, are forgotten.
  static constexpr duration kLifetime = std::chrono::minutes(10);

  // Adds evidence against a key, or a clearance. Returns true if the record has
  // changed.
  auto Add(const crash_record& record, mono_time now) -> bool;
  // A request with the key ran without a crash. Returns true if there was
  // anything to clear.
  auto Clear(suspect_key key, mono_time now) -> bool;
  // Takes the record of another daemon. `from_above`: it need not be reported.
  auto Merge(const crash_report& report, bool from_above, mono_time now)
      -> bool;
  // Returns nullptr for an unknown key.
  auto Find(suspect_key key) const -> const crash_record*;
  // Returns the time since the record of a known key changed last.
  auto GetAge(suspect_key key, mono_time now) const -> duration;
  auto Judge(suspect_key key, mono_time now) const -> suspicion;
  // Returns the time until the quarantine of a key ends; 0 if it has none.
  auto GetQuarantineLeft(suspect_key key, mono_time now) const -> duration;
  auto Forget(mono_time now) -> void;

  // Returns up to `kMaxReports` records that changed after `revision`, oldest
  // change first, and sets `revision` to that of the last one.
  auto ListSince(std::uint64_t& revision, mono_time now) const
      -> std::vector<crash_report>;
  // Returns the next report for the daemon above: what it does not have yet.
  auto TakeReport(mono_time now) -> std::vector<crash_report>;
  // The latest report was answered. `is_new_source` tells that it was the first
  // one to this leader or relay, which has to be told everything.
  auto OnReportAnswered(bool is_new_source) -> void;
  auto HasUnreported() const -> bool { return !unreported_.empty(); }

  auto get_size() const -> std::size_t { return entries_.size(); }
  auto get_revision() const -> std::uint64_t { return revision_; }
  auto CountQuarantined(mono_time now) const -> std::size_t;
};

}  // namespace ebony

#endif  // EBONY_CORE_CRASH_LEDGER_H_
