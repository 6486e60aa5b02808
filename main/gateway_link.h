#ifndef EBONY_MAIN_GATEWAY_LINK_H_
#define EBONY_MAIN_GATEWAY_LINK_H_

#include <functional>
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

// The exchange of a gateway with the leading coordinator, or with a relay of it
// in the same data centre where the leader names any: finds the leader from the
// seeds and from what coordinators say, and goes on to the next one when there
// is no answer.
class gateway_link {
 public:
  struct hooks {
    std::function<schema::sync_request()> make_request;
    std::function<void(const schema::sync_answer&)> on_answer;
    // Returns a number in [0, bound).
    std::function<std::uint64_t(std::uint64_t)> draw;
  };

 private:
  const site_settings& settings_;
  event_loop& loop_;
  http_pool& pool_;
  event_log& log_;
  metrics& metrics_;
  hooks hooks_;
  std::vector<host_port> known_;  // the first one is tried next
  std::unique_ptr<pooled_call> call_;
  timer_id timeout_;
  timer_id next_;
  mono_time began_;
  bool has_leader_ = false;

  auto Exchange() -> void;
  auto OnAnswer(const host_port& from, const std::string& body) -> void;
  auto OnFailure(const host_port& to) -> void;
  // Returns a relay of those that the leader names, or an empty address.
  auto ChooseRelay(const schema::sync_answer& answer) const -> host_port;
  auto PutFirst(const host_port& address) -> void;
  auto PutLast(const host_port& address) -> void;
  auto ScheduleNext(duration delay) -> void;

 public:
  gateway_link(const site_settings& settings,
               event_loop& loop,
               http_pool& pool,
               event_log& log,
               metrics& counters,
               hooks actions);

  auto Start() -> void;
  // Exchanges soon, for news that should not wait.
  auto Hurry() -> void;
  auto AddSeeds(const std::vector<host_port>& seeds) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_GATEWAY_LINK_H_
