#ifndef EBONY_MAIN_GATEWAY_LINK_H_
#define EBONY_MAIN_GATEWAY_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_pool.h"
#include "schema/site.pb.h"

namespace ebony {

// Syncs a gateway periodically with the leading coordinator, or with one of the
// relays that the leader lists, preferring those in the gateway's data centre.
// Finds the leader through the seeds and the addresses in coordinators'
// answers, and tries the next coordinator when a sync fails.
class gateway_link {
 public:
  struct hooks {
    std::function<schema::sync_request()> make_request;
    std::function<void(const schema::sync_answer&)> on_answer;
    // Called when a coordinator took a connection without answering in time, or
    // named a leader.
    std::function<void()> on_contact;
    // Called when a sync was not answered by a leader or relay.
    std::function<void()> on_unanswered;
    // Returns a random number in [0, bound).
    std::function<std::uint64_t(std::uint64_t)> random;
  };

 private:
  const site_settings& settings_;
  event_loop& loop_;
  http_pool& pool_;
  event_log& log_;
  metrics& metrics_;
  hooks hooks_;
  // The next sync goes to the first that has not failed lately.
  std::vector<host_port> coordinators_;
  // When a sync with a coordinator was last left unanswered.
  std::map<host_port, mono_time> failed_at_;
  std::unique_ptr<pooled_call> sync_call_;
  timer_id timeout_timer_;
  timer_id next_sync_timer_;
  mono_time sync_start_;
  bool is_connected_ = false;  // a connection was made for the current sync
  bool is_synced_ = false;     // the last sync was answered
  // Of the answer that is handled, or of the last one.
  host_port answered_by_;
  mono_time answered_at_;
  duration silence_{0};  // before that answer

  auto Sync() -> void;
  auto OnAnswer(const host_port& from, const std::string& body) -> void;
  auto OnFailure(const host_port& to) -> void;
  // Returns a random relay of those listed in `answer`, from this gateway's
  // data centre if there is one there, or an empty address if none is listed.
  auto ChooseRelay(const schema::sync_answer& answer) const -> host_port;
  auto HasFailedLately(const host_port& address) const -> bool;
  // Returns the first coordinator that has not failed lately, or the first one
  // if all have.
  auto ChooseCoordinator() const -> host_port;
  auto MoveToFront(const host_port& address) -> void;
  auto MoveToBack(const host_port& address) -> void;
  auto ScheduleSync(duration delay) -> void;

 public:
  gateway_link(const site_settings& settings,
               event_loop& loop,
               http_pool& pool,
               event_log& log,
               metrics& counters,
               hooks actions);

  // Starts to sync with the seeds of the settings.
  auto Start() -> void;
  // Schedules a sync ahead of the regular interval, for urgent changes.
  auto SyncSoon() -> void;
  // Returns when the current or latest sync was sent.
  auto get_sync_start() const -> mono_time { return sync_start_; }
  // Returns the coordinator that answered last, as the leader or as a relay.
  auto get_peer() const -> const host_port& { return answered_by_; }
  // Returns the time between that answer and the one before.
  auto GetSilence() const -> duration { return silence_; }
  // Adds the link addresses of seeds that are not known yet.
  auto AddSeeds(const std::vector<host_port>& seeds) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_GATEWAY_LINK_H_
