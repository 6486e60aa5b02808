#ifndef EBONY_MAIN_CRASH_UPLINK_H_
#define EBONY_MAIN_CRASH_UPLINK_H_

#include <cstdint>
#include <functional>

#include "core/crash_ledger.h"
#include "drivers/event_log.h"
#include "schema/site.pb.h"

namespace ebony {

// Exchanges the records of a daemon's crash ledger with the daemon that it
// syncs with: the leader, or a relay for it.
class crash_uplink {
 public:
  // Called for each record that an answer changed.
  using change_hook = std::function<void(const crash_record&)>;

 private:
  crash_ledger& ledger_;
  std::uint64_t source_ = 0;    // ledger that issued `revision_`
  std::uint64_t revision_ = 0;  // of that ledger

 public:
  explicit crash_uplink(crash_ledger& ledger);

  // Adds what the other daemon does not have yet.
  auto FillRequest(schema::sync_request& request, mono_time now) -> void;
  // Takes the answer to the latest request.
  auto ApplyAnswer(const schema::sync_answer& answer,
                   const change_hook& on_change,
                   mono_time now) -> void;
};

// Logs a record that another daemon told.
auto LogCrashRecord(event_log& log, const crash_record& record) -> void;

}  // namespace ebony

#endif  // EBONY_MAIN_CRASH_UPLINK_H_
