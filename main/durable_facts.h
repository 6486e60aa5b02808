#ifndef EBONY_MAIN_DURABLE_FACTS_H_
#define EBONY_MAIN_DURABLE_FACTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "core/backend_registry.h"
#include "core/crash_ledger.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/stream_origin_table.h"
#include "drivers/event_log.h"
#include "drivers/fact_journal.h"
#include "schema/site.pb.h"

namespace ebony {

// Time of day. Used only for the age of what an earlier run has written.
using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

// Returns the time of day.
auto GetWallTime() -> wall_time;

// Identifies a list of the streams of some services, so that a reader's
// revision of another list is not taken for one of this. 0 if there are no
// services.
auto GetStreamSource(const std::string& epoch,
                     const std::set<service_name>& services) -> std::uint64_t;

// What a coordinator knows at a moment.
struct known_facts {
  const crash_ledger& crashes;
  const stream_origin_table& streams;
  // Services whose streams are kept: those with several software versions.
  std::set<service_name> services;
  // Of all backend servers; only departures are kept.
  const backend_registry& registry;
  std::string registry_epoch;  // identifies the registry's revisions
};

// Called for each fact that an earlier run of this coordinator has written. The
// receiver merges it with what it knows.
struct fact_receivers {
  std::function<void(const crash_report&)> on_crash_record;
  std::function<void(stream_key, const stream_origin&)> on_stream;
  // The record has no more than the server's id and start time.
  std::function<void(const backend_record&)> on_departure;
};

// Keeps on the disk of this coordinator what daemons have told each other, and
// would otherwise be lost when all processes that know it end at once. Nothing
// waits for the disk, and no two copies need to agree: all facts merge in any
// order. What cannot be written is counted and logged; the next file begins
// with all that still counts.
class durable_facts {
  fact_journal journal_;
  event_log& log_;
  metrics& metrics_;
  std::string node_;  // identity of the disk
  mono_time last_write_;
  mono_time file_begun_;
  mono_time next_retry_;
  bool must_rewrite_ = false;  // a write has failed
  std::uint64_t crash_revision_ = 0;
  std::uint64_t stream_source_ = 0;
  std::uint64_t stream_revision_ = 0;
  std::string registry_epoch_;
  std::uint64_t registry_revision_ = 0;

  auto Restore(const schema::fact_batch& batch,
               const fact_receivers& receivers,
               mono_time now,
               wall_time wall) -> void;
  // Fills in what is new. The first batch of a file has all that the file
  // before need not keep any more.
  auto FillBatch(const known_facts& facts,
                 bool rotates,
                 mono_time now,
                 schema::fact_batch& batch) -> void;
  auto AddCrashes(const known_facts& facts,
                  mono_time now,
                  schema::fact_batch& batch) -> void;
  auto AddDepartures(const known_facts& facts,
                     mono_time now,
                     schema::fact_batch& batch) -> void;
  auto AddStreams(const known_facts& facts, schema::fact_batch& batch) -> void;
  auto Write(const schema::fact_batch& batch, bool rotates, mono_time now)
      -> void;

 public:
  // Facts are written together, at this interval.
  static constexpr duration kWriteInterval = std::chrono::milliseconds(200);
  // A file is in use for this long: then the other one has only streams that
  // nobody can take up any more.
  static constexpr duration kFileTime = stream_origin_table::kLifetime;
  // Time between attempts to write on a disk that does not work.
  static constexpr duration kRetryInterval = std::chrono::seconds(2);
  // Streams in one batch.
  static constexpr std::size_t kMaxStreams = 4096;

  durable_facts(fact_journal::options options,
                event_log& log,
                metrics& counters);

  // Reads what earlier runs on the disk `node` have written. What is damaged,
  // out of date or of another disk is left out and logged.
  auto Load(const node_id& node,
            const fact_receivers& receivers,
            mono_time now,
            wall_time wall) -> void;
  // What `Load` told is on the disk already.
  auto OnRestored(const known_facts& facts) -> void;
  // Writes what is new since the last call, if that is due.
  auto Tick(const known_facts& facts, mono_time now, wall_time wall) -> void;
  // Blocks until the disk has what was written.
  auto Flush() -> void { journal_.Flush(); }
};

}  // namespace ebony

#endif  // EBONY_MAIN_DURABLE_FACTS_H_
