#ifndef EBONY_MAIN_COORDINATOR_DAEMON_H_
#define EBONY_MAIN_COORDINATOR_DAEMON_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/drain_acks.h"
#include "control/gateway_registry.h"
#include "control/load_totals.h"
#include "core/backend_numbers.h"
#include "core/backend_registry.h"
#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/compression.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "main/order_desk.h"
#include "main/quorum_node.h"
#include "main/sync_relay.h"
#include "platform/control_codec.h"
#include "schema/site.pb.h"

namespace ebony {

// A coordinator: a member of the control group that keeps the configuration,
// hears backend servers, and tells gateways and callers' resolvers.
class coordinator_daemon {
  struct held_config {
    config_number number;
    deflated_bytes body;  // as the operator sent it
  };
  struct waiting_put {
    config_number number;
    answer_pointer answer;
  };

  site_settings settings_;
  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  http_pool pool_;
  held_config config_;
  std::unique_ptr<site_config> decoded_;
  quorum_node quorum_;
  backend_registry registry_;
  backend_numbers numbers_;
  gateway_registry gateways_;
  load_totals loads_;
  drain_acks departures_;
  order_desk orders_;
  std::multimap<log_index, waiting_put> puts_;
  std::string roster_source_;
  // A coordinator that follows, as a relay for gateways.
  struct follower {
    host_port link;
    data_centre_name data_centre;
    mono_time heard;
  };
  std::map<vm_name, follower> followers_;
  sync_relay relay_;
  mono_time listed_;  // when the gateways were last asked for
  bool was_leader_ = false;
  bool stopping_ = false;
  mono_time follow_began_;
  std::unique_ptr<http_call> follow_call_;
  std::unique_ptr<http_listener> operators_;
  std::unique_ptr<http_listener> directory_;
  std::unique_ptr<http_listener> links_;

  auto MakeState() -> replicated_state;
  auto ApplyEntry(const log_entry& entry) -> void;
  auto SetConfig(const schema::site_snapshot& message) -> void;
  auto GetDecoded() -> const site_config*;
  auto AnswerPuts(log_index applied) -> void;

  // Calls from outside.
  auto OnControlCall(http_call_in call, const answer_pointer& answer) -> void;
  auto OnDirectoryCall(const http_call_in& call, const answer_pointer& answer)
      -> void;
  auto NoteAnnouncement(backend_status status) -> announce_verdict;
  auto OnAnnounce(const backend_status& status, const answer_pointer& answer)
      -> void;
  auto OnLeave(const platform::leave_call& call, const answer_pointer& answer)
      -> void;
  auto OnPutConfig(config_number number,
                   const std::string& target,
                   const std::string& body,
                   const answer_pointer& answer) -> void;
  auto OnReadConfig(const std::string& target, const answer_pointer& answer)
      -> void;
  auto OnResolve(const answer_pointer& answer) -> void;
  auto PassToLeader(const schema::backend_status_row& row,
                    const answer_pointer& answer) -> void;
  auto RedirectToLeader(const std::string& target, const answer_pointer& answer)
      -> void;
  auto AcknowledgeKnown(const backend_name& id, std::function<void(bool)> done)
      -> void;
  auto AnswerAnnounced(const answer_pointer& answer) -> void;
  auto Answer(const answer_pointer& answer, int status, std::string body)
      -> void;

  // Calls from other daemons.
  auto OnLinkCall(const http_call_in& call, const answer_pointer& answer)
      -> void;
  auto OnSync(const std::string& body, const answer_pointer& answer) -> void;
  auto OnAnnounceBatch(const std::string& body, const answer_pointer& answer)
      -> void;
  auto NoteLoads(const schema::sync_request& request) -> void;
  auto FillLoads(schema::backend_loads& rows) const -> void;
  auto FillRoster(const schema::sync_request& request,
                  schema::sync_answer& reply) -> void;
  auto FillGatewayAnswer(const schema::sync_request& request,
                         schema::sync_answer& reply) -> void;
  auto FillConfig(const schema::sync_request& request,
                  schema::sync_answer& reply) const -> void;
  auto FillFollowerAnswer(const schema::sync_request& request,
                          schema::sync_answer& reply) -> void;
  auto FillRelayedAnswer(const schema::sync_request& request,
                         schema::sync_answer& reply) -> void;
  auto FillGateways(schema::sync_answer& reply) const -> void;
  auto FillRelays(schema::sync_answer& reply) const -> void;
  auto NoteRelayed(const schema::sync_request& request) -> void;
  auto GetFollowInterval() const -> duration;

  auto Tick() -> void;
  auto TickLeader() -> void;
  auto TickOrders() -> void;
  auto FollowLeader() -> void;
  auto OnFollowed(const std::string& body) -> void;

 public:
  coordinator_daemon(site_settings settings,
                     event_loop& loop,
                     event_log& log,
                     metrics& counters);

  // Opens the disk; throws ebony_error while it does not work.
  auto Open() -> void;
  auto Start() -> void;
  auto Stop() -> void { stopping_ = true; }
  auto Reload(const site_settings& settings) -> void;
  auto is_stopping() const -> bool { return stopping_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_COORDINATOR_DAEMON_H_
