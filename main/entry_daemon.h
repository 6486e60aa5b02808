#ifndef EBONY_MAIN_ENTRY_DAEMON_H_
#define EBONY_MAIN_ENTRY_DAEMON_H_

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/bounded_queue.h"
#include "core/metrics.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/link.h"
#include "drivers/wakeup_event.h"
#include "drivers/worker_thread.h"
#include "entry/claim_coordinator.h"
#include "entry/claim_table.h"
#include "entry/config_lease.h"
#include "entry/entry_directory.h"
#include "entry/request_coordinator.h"
#include "entry/router.h"
#include "entry/routing_table.h"
#include "main/address_list.h"
#include "main/backend_announcements.h"
#include "main/caller_session.h"
#include "main/request_parser.h"
#include "schema/settings.pb.h"

namespace ebony {

// The caller-facing daemon. Connects the request coordinator to callers,
// backend servers, the other entries and the control group. All decisions are
// made on one thread, which receives events from the HTTP and link threads.
class entry_daemon {
  // Time between the state reports to the other entries.
  static constexpr auto kGossipInterval = std::chrono::milliseconds(500);

  using session_pointer = std::shared_ptr<caller_session>;

  // Events for the core thread.
  struct request_arrival {
    session_pointer session;
  };
  struct caller_disconnected {
    request_id id;
  };
  struct attempt_progress {
    request_id id;
    attempt_number attempt;
    std::uint64_t events_delivered = 0;
  };
  struct attempt_ended {
    request_id id;
    attempt_number attempt;
    backend_name backend;
    attempt_result result;
    std::optional<engine_load> load;
  };
  // A response states the limit of the server that it came from.
  struct limit_stated {
    backend_name backend;
    limit_statement statement;
  };
  struct received_announcement {
    backend_announcement state;
    exchange_pointer exchange;
  };
  struct query {
    std::string path;
    exchange_pointer exchange;
  };
  using event = std::variant<request_arrival,
                             caller_disconnected,
                             attempt_progress,
                             attempt_ended,
                             limit_stated,
                             received_announcement,
                             query,
                             inbound_frame>;

  schema::entry_settings settings_;
  metrics& metrics_;
  std::vector<entry_peer> peers_;
  std::vector<link_peer> voters_;
  std::vector<api_key> caller_keys_;
  std::vector<api_key> backend_keys_;
  vm_name self_;
  incarnation run_;
  request_limits limits_;
  std::mt19937_64 random_;

  routing_table table_;
  // Latest version of each row received, to bring peers up to date.
  std::map<std::string, schema::backend_row> backend_rows_;
  std::map<std::string, schema::record_row> record_rows_;
  config_lease lease_;
  router router_;
  claim_table claim_table_;
  claim_coordinator claim_coordinator_;
  entry_directory directory_;
  backend_announcements announcements_;
  request_coordinator coordinator_;

  std::map<request_id, session_pointer> sessions_;
  std::map<request_id, transfer_id> transfers_;
  std::map<model_name, std::uint32_t> demand_;
  std::uint64_t next_request_ = 1;
  std::uint64_t poll_sequence_ = 0;
  std::uint64_t last_answered_poll_ = 0;
  std::uint64_t confirm_sequence_ = 0;
  std::string leader_;
  std::uint64_t leader_term_ = 0;
  std::size_t next_voter_ = 0;
  mono_time next_poll_;
  mono_time next_gossip_;
  mono_time next_tick_;
  mono_time next_confirm_;
  bool was_current_ = false;
  bool has_gossiped_draining_ = false;

  // A server names a limit, so responses that name none matter too.
  std::atomic<bool> has_limits_{false};
  // The same for pauses.
  std::atomic<bool> has_pauses_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> rejecting_{false};
  std::atomic<bool> drained_{false};
  std::atomic<bool> stopping_{false};
  mono_time drain_started_;
  wakeup_event wakeup_event_;
  bounded_queue<event> events_;
  link link_;
  http_server http_;
  http_client client_;
  worker_thread core_thread_;

  // These run on the HTTP threads.
  auto OnHttp(http_request request, const exchange_pointer& exchange) -> void;
  auto OnAnnouncementCall(const http_request& request,
                          const exchange_pointer& exchange) -> void;
  auto OnCallerCall(http_request request, const exchange_pointer& exchange)
      -> void;

  // These run on the core thread.
  auto RunCore() -> void;
  auto Handle(event item) -> void;
  auto OnArrival(const session_pointer& session) -> void;
  auto OnAnnouncement(const received_announcement& item) -> void;
  auto OnQuery(const query& item) -> void;
  auto OnAttemptEnded(const attempt_ended& item) -> void;
  // Records whether the server asks for a pause.
  auto RecordPause(const backend_route& backend,
                   const limit_statement& statement) -> void;
  auto OnLimitStated(const limit_stated& item) -> void;
  auto OnFrame(const inbound_frame& inbound) -> void;
  auto OnUpdate(const schema::entry_update& update, const vm_name& from)
      -> void;
  auto OnConfirmationRequest(const inbound_frame& inbound) -> void;
  auto OnGossip(const schema::backend_gossip& gossip) -> void;
  auto AddLimits(schema::backend_gossip& gossip, mono_time now) -> void;
  auto OnClaimRequest(const inbound_frame& inbound) -> void;
  auto OnClaimAnswer(const schema::claim_answer& answer) -> void;
  auto MergeRows(const schema::entry_update& update) -> void;
  auto RunTimers(mono_time now) -> void;
  auto Poll(mono_time now) -> void;
  auto Gossip(mono_time now) -> void;
  auto RequestConfirmation(mono_time now) -> void;
  auto AdvanceDrain(mono_time now) -> void;
  auto ExecuteActions() -> void;
  auto SendClaimMessages() -> void;
  auto Execute(const dispatch_action& action) -> void;
  auto Execute(const cancel_action& action) -> void;
  auto Execute(const deliver_action& action) -> void;
  auto Execute(const refuse_action& action) -> void;
  auto Execute(const replay_action& action) -> void;
  auto RemoveSession(request_id id) -> void;
  auto RenderDirectory() -> std::string;
  auto RenderModels() -> std::string;
  auto IsServing(mono_time now) const -> bool;

 public:
  // Throws settings_error when the settings are invalid or a key file cannot be
  // read.
  entry_daemon(schema::entry_settings settings, metrics& counters);
  ~entry_daemon();

  auto Start() -> void;
  // Starts a planned shutdown. The entry leaves the directory, accepts requests
  // until directory answers that list it have expired, and then completes the
  // requests in flight.
  auto Drain() -> void;
  // Returns true once the drain has completed or timed out.
  auto is_drained() const -> bool { return drained_; }
  // Stops the threads without waiting for requests in flight.
  auto Stop() -> void;
  // Detects callers that closed their connection. Must be called about ten
  // times a second.
  auto DropDisconnectedCallers() -> void { http_.DropDisconnectedCallers(); }
};

}  // namespace ebony

#endif  // EBONY_MAIN_ENTRY_DAEMON_H_
