#ifndef EBONY_MAIN_RUN_VERIFIER_H_
#define EBONY_MAIN_RUN_VERIFIER_H_

#include <functional>
#include <map>
#include <set>
#include <unordered_set>
#include <vector>

#include "core/crash_record.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"

namespace ebony {

// Finds out whether a server's run has ended when a connection to it broke: a
// server that is alive accepts another one. A refusal says so only if this VM
// reaches other servers, since a partition refuses connections as well.
// Requests that break off together share one check.
class run_verifier {
 public:
  using done_callback = std::function<void(bool has_ended)>;
  // Finds out whether this VM reaches other servers than those named.
  using confirmation = std::function<void(const std::set<backend_name>& except,
                                          std::function<void(bool)> on_done)>;

 private:
  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  confirmation confirm_;
  std::unordered_set<server_run> ended_;
  // Servers that ended lately. None of them can confirm that another one has.
  std::map<backend_name, mono_time> ended_servers_;
  std::map<server_run, std::vector<done_callback>> checks_;

  auto OnRefused(const backend_name& id, server_run run) -> void;
  auto OnChecked(const backend_name& id, server_run run, bool has_ended)
      -> void;

 public:
  run_verifier(event_loop& loop,
               event_log& log,
               metrics& counters,
               confirmation confirm);

  // Calls `on_done` once, later or at once.
  auto Verify(const backend_name& id,
              const host_port& address,
              server_run run,
              done_callback on_done) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_RUN_VERIFIER_H_
