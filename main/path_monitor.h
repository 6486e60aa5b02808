#ifndef EBONY_MAIN_PATH_MONITOR_H_
#define EBONY_MAIN_PATH_MONITOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/backend_registry.h"
#include "core/metrics.h"
#include "drivers/connection_check.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "entry/server_paths.h"

namespace ebony {

// Finds out by calls of its own whether this VM reaches the backend servers, as
// `server_paths` decides, and tells when that changes.
class path_monitor {
 public:
  struct hooks {
    std::function<void()> on_closed;
    std::function<void()> on_opened;
    // A doubt has turned out wrong.
    std::function<void()> on_confirmed;
    // Returns true if a peer could send requests in this VM's place.
    std::function<bool()> has_peers;
    // Returns the complete request that a server answers without running
    // anything. Empty while none is known: a connection then has to do.
    std::function<std::string(const backend_status&)> make_probe;
    // Returns true if a server answers its probe however busy it is.
    std::function<bool(const backend_status&)> answers_when_busy;
    // Returns a random number in [0, bound).
    std::function<std::uint64_t(std::uint64_t)> random;
  };
  // Called with true if another server could be connected to.
  using confirm_callback = std::function<void(bool reaches_other)>;

 private:
  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  const backend_registry& registry_;
  hooks hooks_;
  server_paths paths_;
  path_state known_state_ = path_state::open;  // that the hooks were told of
  bool has_tried_ = false;                     // since the start
  // Attempts at servers over connections of this VM.
  std::size_t attempts_ = 0;
  mono_time attempts_since_;   // when the number was last 0
  mono_time last_bytes_;       // when any server sent something
  mono_time silence_checked_;  // when silence last led to a round

  // Returns up to `kRoundSize` servers that should be alive, chosen at random
  // among those that answer when busy, then among the others.
  auto ChooseServers(const std::set<backend_name>& except) const
      -> std::vector<const backend_record*>;
  // Finds out whether a server accepts connections.
  auto Connect(const backend_record& record,
               std::function<void(path_answer)> on_done) -> void;
  // Finds out whether a server answers.
  auto Probe(const backend_record& record,
             std::function<void(path_answer)> on_done) -> void;
  auto RunRound() -> void;
  auto ReportState() -> void;
  auto Tick() -> void;

 public:
  path_monitor(event_loop& loop,
               event_log& log,
               metrics& counters,
               const backend_registry& registry,
               hooks actions);

  // Starts to look at the paths.
  auto Start() -> void;
  // An attempt over a connection of this VM starts or ends.
  auto OnAttemptStarted() -> void;
  auto OnAttemptEnded() -> void;
  // A server sent something.
  auto OnBytes() -> void { last_bytes_ = loop_.get_now(); }
  // A server answered on a new connection.
  auto OnAnswered() -> void;
  // A connection to a server failed or broke, or it has been silent for long.
  auto OnServerFailed(const backend_name& server) -> void;
  // Finds out whether a server that can't be connected to is alone in this.
  // True also if there is no other one to try.
  auto ConfirmWithOthers(const std::set<backend_name>& except,
                         confirm_callback on_done) -> void;

  auto is_in_doubt() const -> bool {
    return paths_.get_state() == path_state::in_doubt;
  }
  auto is_closed() const -> bool { return paths_.is_closed(); }
  // While closed: true if the attempts under way get no answer either.
  auto is_hanging() const -> bool { return paths_.is_hanging(); }
  auto get_last_bytes() const -> mono_time { return last_bytes_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_PATH_MONITOR_H_
