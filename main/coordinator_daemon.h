#ifndef EBONY_MAIN_COORDINATOR_DAEMON_H_
#define EBONY_MAIN_COORDINATOR_DAEMON_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/pending_proposals.h"
#include "control/caller_directory.h"
#include "control/drain_acks.h"
#include "control/gateway_registry.h"
#include "control/load_totals.h"
#include "control/peer_choice.h"
#include "control/permit_allocator.h"
#include "control/software_census.h"
#include "control/transfer_limiter.h"
#include "core/backend_index.h"
#include "core/backend_registry.h"
#include "core/metrics.h"
#include "core/site_settings.h"
#include "core/version_times.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "entry/stream_origins.h"
#include "main/crash_desk.h"
#include "main/durable_facts.h"
#include "main/order_executor.h"
#include "main/quota_desk.h"
#include "main/raft_node.h"
#include "main/sync_relay.h"
#include "platform/control_codec.h"
#include "schema/site.pb.h"

namespace ebony {

// A coordinator: a member of the control group. It replicates the
// configuration, receives the announcements of backend servers, and serves both
// to gateways. Callers' resolvers read the directory of gateways from it.
class coordinator_daemon {
  site_settings settings_;
  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  http_pool pool_;
  stored_config config_;
  software_versions software_;  // replicated
  version_times software_times_;
  std::unique_ptr<site_config> decoded_config_;
  raft_node raft_;
  backend_registry registry_;
  backend_index backend_index_;
  gateway_registry gateways_;
  caller_directory directory_;
  peer_lists peer_lists_;
  load_totals load_totals_;
  permit_allocator permit_allocator_;
  transfer_limiter registry_transfers_;
  // What began each stream, as reported by all gateways to the leader, or by
  // the gateways that a relay serves.
  stream_origins origins_;
  crash_desk crash_desk_;
  quota_desk quota_desk_;
  config_number quotas_number_;  // of the configuration whose quotas it has
  std::string reported_leader_;  // that was sent all origins
  // The leader's list of streams whose copies this follower keeps.
  std::uint64_t stream_source_ = 0;
  std::uint64_t stream_revision_ = 0;
  durable_facts facts_;
  software_census census_;
  mono_time census_taken_;
  bool is_census_due_ = false;     // before its regular time
  bool has_all_software_ = false;  // `software_` has all of the registry
  // The latest change of `software_`, until it is applied.
  std::optional<log_index> software_proposal_;
  // Revision of the registry whose limits the allocator has.
  std::uint64_t limits_revision_ = 0;
  drain_acks drain_acks_;
  order_executor order_executor_;
  pending_proposals pending_puts_;
  // Identifies the registry of one leadership: its revisions and backend
  // indexes are comparable only within the same epoch.
  std::string registry_epoch_;
  // A coordinator that is not the leader and may relay syncs of gateways.
  struct follower {
    host_port link;
    data_centre_name data_centre;
    mono_time last_seen;
    bool keeps_streams = false;
  };
  std::map<vm_name, follower> followers_;
  sync_relay relay_;
  // When this follower last requested the list of gateways from the leader.
  mono_time last_gateway_request_;
  bool was_leader_ = false;
  bool stopping_ = false;
  mono_time leader_sync_started_;
  std::unique_ptr<pooled_call> leader_sync_call_;
  std::shared_ptr<caller_guard> caller_guard_;
  std::unique_ptr<http_listener> operator_listener_;
  std::unique_ptr<http_listener> directory_listener_;
  std::unique_ptr<http_listener> link_listener_;

  auto MakeStateMachine() -> replicated_state_machine;
  auto ApplyEntry(const log_entry& entry) -> void;
  auto SetConfig(const schema::site_snapshot& message) -> void;
  auto ApplySoftware(const schema::site_snapshot& message) -> void;
  auto GetDecodedConfig() -> const site_config*;
  // Answers the operator once it is known whether the proposal at `index` is
  // committed.
  auto AwaitCommit(log_index index,
                   config_number number,
                   const response_pointer& answer) -> void;

  // Calls of operators, backend servers and callers' resolvers.
  auto OnControlCall(incoming_request call, const response_pointer& answer)
      -> void;
  auto OnDirectoryCall(const incoming_request& call,
                       const response_pointer& answer) -> void;
  auto OnPutConfig(config_number number,
                   const std::string& target,
                   const std::string& body,
                   const response_pointer& answer) -> void;
  auto OnReadConfig(const std::string& target, const response_pointer& answer)
      -> void;
  auto OnResolve(const platform::resolve_call& call,
                 const response_pointer& answer) -> void;
  // Logs what could not be read of a message of another daemon. Returns false
  // if that is all.
  auto CheckRows(const char* path,
                 std::size_t bytes,
                 std::optional<std::size_t> unreadable_rows) -> bool;
  auto RedirectToLeader(const std::string& target,
                        const response_pointer& answer) -> void;
  // Answers a call that cannot be decoded.
  auto RefuseCall(const http_head& head,
                  const ebony_error& error,
                  const response_pointer& answer) -> void;
  auto Respond(const response_pointer& answer, int status, std::string body)
      -> void;

  // Calls of backend servers, here or at another coordinator. What they say was
  // said at `said_at` or later.
  struct announce_outcome;
  auto OnAnnounce(const backend_status& status,
                  mono_time said_at,
                  const response_pointer& answer) -> void;
  auto OnLeave(const platform::leave_call& call,
               mono_time said_at,
               const response_pointer& answer) -> void;
  auto OnAnnounceBatch(const incoming_request& call,
                       const response_pointer& answer) -> void;
  auto RecordAnnouncement(backend_status status, mono_time said_at)
      -> announce_result;
  auto ApplyAnnouncement(const backend_status& status,
                         mono_time said_at,
                         announce_outcome& outcome) -> void;
  auto ApplyDeparture(const backend_departure& departure,
                      announce_outcome& outcome) -> void;
  // Calls `done` once it is known whether all live gateways have what the
  // servers `ids` have said.
  auto FinishAnnouncements(const std::vector<backend_name>& ids,
                           announce_outcome outcome,
                           std::function<void(const announce_outcome&)> done)
      -> void;
  // Calls `done` with true once every live gateway has the departure of a
  // backend server, with false when that takes too long. Calls it immediately
  // when the server is not departing.
  auto AwaitPropagation(const backend_name& id, std::function<void(bool)> done)
      -> void;
  auto ForwardToLeader(const backend_record& record,
                       const response_pointer& answer) -> void;
  auto RespondToServer(const announce_outcome& outcome,
                       const response_pointer& answer) -> void;
  auto RespondToAnnouncement(const response_pointer& answer) -> void;

  // Calls of coordinators and gateways.
  auto OnLinkCall(const incoming_request& call, const response_pointer& answer)
      -> void;
  auto OnSync(const incoming_request& call, const response_pointer& answer)
      -> void;
  auto RecordLoads(const schema::sync_request& request) -> void;
  // Records the servers that said in answers that they are about to stop.
  auto RecordLeaving(const schema::sync_request& request) -> void;
  // Records the limits and the requests for permits that a daemon reports.
  auto RecordPermitRequests(const schema::sync_request& request,
                            mono_time said_at) -> void;
  // Passes the limits in the registry on to the permit allocator.
  auto UpdateLimits() -> void;
  // Looks at the software versions of all servers and proposes the changes of
  // the replicated ones that are due. Done once a second, and when an
  // announcement brings a version that is not replicated.
  auto TakeCensus() -> void;
  // Returns the software versions if all that the registry lists are replicated
  // and this coordinator is sure to lead, nullptr otherwise.
  auto GetCurrentSoftware() const -> const software_versions*;
  // Returns true if the gateway has to get the whole registry from a relay.
  auto IsLeftToRelay(const schema::sync_request& request,
                     const schema::sync_answer& reply) -> bool;
  // Answers such a gateway with the configuration and the relays.
  auto FillRelayHint(const schema::sync_request& request,
                     schema::sync_answer& reply) -> void;
  auto FillPermits(const vm_name& vm, schema::sync_answer& reply) -> void;
  auto GetDeskRole() -> desk_role;
  // As the leader, keeps to the quotas of the newest configuration.
  auto UpdateQuotas() -> void;
  auto HandleCrashes(const schema::sync_request& request,
                     schema::sync_answer& reply) -> void;
  auto RecordBegunStreams(const schema::sync_request& request) -> void;
  // Fills in what is known of the streams that the request asks for.
  auto FillOrigins(const schema::sync_request& request,
                   schema::sync_answer& reply) -> void;
  // Returns true if the follower on `vm` is one of those that keep copies of
  // what began each stream.
  auto IsStreamKeeper(const vm_name& vm) const -> bool;
  auto FillStreamCopies(const schema::sync_request& request,
                        schema::sync_answer& reply) -> void;
  auto RequestStreamCopies(schema::sync_request& request) const -> void;
  auto FillRegistry(const schema::sync_request& request,
                    schema::sync_answer& reply) -> void;
  auto FillGatewayAnswer(const schema::sync_request& request,
                         mono_time said_at,
                         schema::sync_answer& reply) -> void;
  auto FillConfig(const schema::sync_request& request,
                  schema::sync_answer& reply) const -> void;
  auto FillFollowerAnswer(const schema::sync_request& request,
                          mono_time said_at,
                          schema::sync_answer& reply) -> void;
  // Fills in the gateways to which the requesting one can hand requests over.
  auto FillPeers(const schema::sync_request& request,
                 schema::sync_answer& reply) -> void;
  auto FillRelayedAnswer(const schema::sync_request& request,
                         mono_time said_at,
                         schema::sync_answer& reply) -> void;
  auto FillGateways(schema::sync_answer& reply) const -> void;
  auto FillRelays(schema::sync_answer& reply) const -> void;
  auto RecordRelayedGateways(const schema::sync_request& request,
                             mono_time said_at) -> void;
  auto GetLeaderSyncInterval() const -> duration;

  auto GetKnownFacts() const -> known_facts;
  auto LoadFacts() -> void;

  auto Tick() -> void;
  auto UpdateLeadership() -> void;
  auto ExecuteOrders() -> void;
  auto SyncWithLeader() -> void;
  auto OnLeaderSyncAnswer(const std::string& body) -> void;

 public:
  coordinator_daemon(site_settings settings,
                     event_loop& loop,
                     event_log& log,
                     metrics& counters,
                     disk_write write = ::write);

  // Opens the disk. Throws ebony_error while it does not work.
  auto Open() -> void;
  // Starts to listen and to run the timers. Requires an open disk.
  auto Start() -> void;
  // Marks the daemon as stopping. Its owner ends the event loop.
  auto Stop() -> void { stopping_ = true; }
  // Takes over the seeds of new settings. All other changes are ignored.
  auto Reload(const site_settings& settings) -> void;
  auto is_stopping() const -> bool { return stopping_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_COORDINATOR_DAEMON_H_
