#ifndef EBONY_CORE_BACKEND_REGISTRY_H_
#define EBONY_CORE_BACKEND_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "core/request_limit.h"
#include "core/site_config.h"

namespace ebony {

// The registry's entry for one backend server.
struct backend_record {
  backend_status status;
  bool has_left = false;      // deregistered itself
  bool is_suspected = false;  // no announcement for `suspect_after`
  mono_time last_seen;        // time of the last announcement or departure
  // When this registry first heard of the present start. Not comparable between
  // registries.
  mono_time known_since;
  // The present start had left, and has announced itself for so long since then
  // that the departure cannot have been its own.
  bool has_returned = false;
  request_limit limit;  // as named in answers of its present start
  // The present start said in an answer that it is about to stop. Holds
  // whatever its announcements say.
  bool has_said_leaving = false;
  // Registry revision of the last change to this record. Not comparable
  // between registries.
  std::uint64_t revision = 0;
};

// Effect of an announcement on the registry.
enum class announce_result {
  changed,        // accepted with new content
  unchanged,      // accepted with the same content
  superseded,     // this start has said something newer
  earlier_start,  // a later start of the server is known
  has_left,       // this start has said that it has left
};

// A server deregisters.
struct backend_departure {
  backend_name id;
  std::uint64_t start_time_ms = 0;  // 0: does not say which of its starts left
  // Earliest time at which the server may have said so.
  mono_time said_at;
};

// Effect of a departure on the registry.
enum class departure_result {
  recorded,
  known,  // that start has left already, or a later one is known
  // It names no start, and the present one was first heard of after it may have
  // been said. Nothing is changed: the server has to say it again.
  ambiguous,
};

struct backend_registry_options {
  // Time without an announcement after which a server is suspected.
  duration suspect_after = std::chrono::milliseconds(2700);
  // Time without an announcement after which the record is removed.
  duration remove_after = std::chrono::seconds(30);
  // Time after a departure from which on announcements of the start that left
  // show that it is at work. Delayed ones arrive earlier.
  duration trust_departure_for = std::chrono::seconds(30);
};

// Holds the latest announcement of each backend server. Announcements are
// ordered by the server's start time, then by its sequence number. Messages of
// an earlier start are rejected, and so are those of a start that has left,
// until it has gone on for longer than a departing server would.
class backend_registry {
  backend_registry_options options_;
  std::map<backend_name, backend_record> records_;
  // The names of the records by the revision of their last change.
  std::map<std::uint64_t, backend_name> by_revision_;
  std::uint64_t revision_ = 0;

  // Gives a record of this registry the next revision.
  auto Touch(backend_record& record) -> void;

  // Returns what a server that has just started is taken to say of its requests
  // until it answers. `former` is what its former start said.
  auto PresumeLimit(const backend_status& status,
                    const request_limit& former,
                    mono_time now) const -> request_limit;
  // Records a departure if it is of the known start of the server or a later
  // one. Requires a record of the server.
  auto ApplyDeparture(const backend_departure& departure) -> departure_result;
  auto MergeDeparture(const backend_record& record) -> bool;
  auto MergeSuspicion(const backend_record& record) -> bool;
  auto IsNewer(const backend_record& current,
               const backend_status& status,
               mono_time now) const -> bool;
  // Returns why an announcement that is not newer is not accepted.
  auto GetRejection(const backend_record& current,
                    const backend_status& status) const -> announce_result;
  // Returns true if a server that had left is evidently at work.
  auto IsReturning(const backend_record& current,
                   const backend_status& status,
                   mono_time now) const -> bool;

 public:
  explicit backend_registry(backend_registry_options options);

  // Applies an announcement that was said at `said_at`, or later, unless it is
  // stale.
  auto Announce(const backend_status& status, mono_time now, mono_time said_at)
      -> announce_result;
  // Applies an announcement that was said now.
  auto Announce(const backend_status& status, mono_time now)
      -> announce_result {
    return Announce(status, now, now);
  }
  // Marks a server as left.
  auto Leave(const backend_departure& departure) -> departure_result;
  // Applies a record of another daemon's registry if its content is newer.
  // Returns whether it was applied. A departure is always newer than the other
  // records of its start, and of any start if its own is unknown.
  auto Merge(const backend_record& record, mono_time now) -> bool;
  // Records what a start of a server said of its limit of requests, unless
  // something newer is known. Returns true if that changes the limit.
  auto ObserveLimit(const backend_name& id,
                    std::uint64_t start_time_ms,
                    const request_limit& limit) -> bool;
  // Records that a start of a server turned requests away. Returns true if the
  // other daemons should learn of it.
  auto ObserveRejection(const backend_name& id,
                        std::uint64_t start_time_ms,
                        mono_time now) -> bool;
  // Records that a start of a server said in an answer that it is about to
  // stop. Returns true if that was not known.
  auto ObserveLeaving(const backend_name& id, std::uint64_t start_time_ms)
      -> bool;
  // Applies a change that the system itself caused, before the server announces
  // it.
  auto Update(const backend_name& id,
              const std::function<void(backend_status&)>& change) -> void;
  // Marks servers without recent announcements as suspected and removes expired
  // records. Returns the newly suspected servers.
  auto Expire(mono_time now) -> std::vector<backend_name>;
  // Marks a server as suspected, as of `now`. Returns false if it was already,
  // or has left.
  auto Suspect(const backend_name& id, mono_time now) -> bool;
  // Removes a record. Nothing is announced for it.
  auto Remove(const backend_name& id) -> void;
  // Sets the last-seen time of all records to `now`. For use after a time in
  // which announcements could not arrive.
  auto Refresh(mono_time now) -> void;

  // Returns nullptr for an unknown server.
  auto Find(const backend_name& id) const -> const backend_record*;
  // Returns the records that changed after `revision`, oldest change first. Its
  // cost is that of the returned records.
  auto ListSince(std::uint64_t revision) const
      -> std::vector<const backend_record*>;
  auto get_records() const -> const std::map<backend_name, backend_record>& {
    return records_;
  }
  // Revision of the last change to any record.
  auto get_revision() const -> std::uint64_t { return revision_; }
};

}  // namespace ebony

#endif  // EBONY_CORE_BACKEND_REGISTRY_H_
