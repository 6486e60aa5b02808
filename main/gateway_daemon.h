#ifndef EBONY_MAIN_GATEWAY_DAEMON_H_
#define EBONY_MAIN_GATEWAY_DAEMON_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/site_settings.h"
#include "core/software_history.h"
#include "drivers/caller_guard.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "entry/admission_policy.h"
#include "entry/config_freshness.h"
#include "entry/crash_guard.h"
#include "entry/organisation_keys.h"
#include "entry/peer_selector.h"
#include "entry/pending_queue.h"
#include "entry/quota_gate.h"
#include "entry/quota_leases.h"
#include "entry/retry_allowance.h"
#include "entry/route_table.h"
#include "entry/server_pace.h"
#include "entry/server_pauses.h"
#include "entry/server_permits.h"
#include "entry/server_selector.h"
#include "entry/stream_origins.h"
#include "main/crash_uplink.h"
#include "main/gateway_link.h"
#include "main/path_monitor.h"
#include "main/proxy_session.h"
#include "main/registry_replica.h"
#include "main/run_verifier.h"
#include "main/software_replica.h"
#include "main/speed_report.h"

namespace ebony {

// A gateway: accepts callers' requests and proxies them to backend servers. One
// thread handles all requests; log lines are written by a thread of their own.
class gateway_daemon {
  // Time to come back of requests that can't be routed yet.
  static constexpr duration kNoConfigRetryAfter =
      std::chrono::milliseconds(500);

  site_settings settings_;
  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  std::mt19937_64 random_;
  http_pool pool_;
  registry_replica registry_;
  server_permits permits_;
  server_pauses pauses_;
  server_pace pace_{server_pace_options()};
  speed_report speeds_shown_;
  quota_leases quotas_;
  quota_gate quota_gate_;
  bool is_quota_sync_scheduled_ = false;
  stream_origins origins_;
  crash_guard guard_;
  crash_uplink crash_uplink_;
  path_monitor paths_;
  run_verifier verifier_;
  peer_selector peers_;
  std::uint32_t peers_digest_ = 0;  // of the peers that the coordinator listed
  software_history software_;
  software_replica versions_;
  server_selector selector_;
  retry_allowance retries_;
  pending_queue<proxy_session> pending_;
  wait_estimator waits_;
  admission_policy admission_;
  std::map<demand_key, demand_count> demand_;
  first_event_sums first_events_;  // since the latest sync
  route_table_pointer route_table_;
  std::shared_ptr<const organisation_keys> keys_;  // of the same configuration
  config_freshness freshness_;
  config_standing logged_standing_ = config_standing::current;
  incarnation incarnation_;
  proxy_context context_;
  gateway_link link_;
  std::set<std::weak_ptr<proxy_session>,
           std::owner_less<std::weak_ptr<proxy_session>>>
      sessions_;
  struct deferred_call {
    incoming_request call;
    response_pointer answer;
    mono_time expires_at;  // rejected if it cannot be routed by then
  };
  std::vector<deferred_call> deferred_;
  // A timer that dispatches the queued requests is pending.
  bool is_dispatch_scheduled_ = false;
  bool is_draining_ = false;
  mono_time drain_start_;
  bool is_drained_ = false;
  std::shared_ptr<caller_guard> caller_guard_;
  std::unique_ptr<http_listener> caller_listener_;
  std::unique_ptr<http_listener> readiness_listener_;
  std::unique_ptr<http_listener> peer_listener_;

  auto MakePathHooks() -> path_monitor::hooks;
  // Returns nullptr if the configuration has no such service.
  auto FindService(const backend_status& server) const -> const service_spec*;
  // Returns the request by which a server shows that it can be reached.
  auto MakeProbe(const backend_status& server) const -> std::string;
  auto MakeContext() -> proxy_context;
  auto MakeRequest() -> schema::sync_request;
  auto OnSyncAnswer(const schema::sync_answer& answer) -> void;
  auto ApplyConfig(const schema::sync_answer& answer) -> void;
  // Records whether the answer confirms the configuration at hand.
  auto RecordConfirmation(const schema::sync_answer& answer) -> void;
  // Reads the clock, since a request may have been sent after the start of the
  // current round of events.
  auto GetConfigStanding() -> config_standing;
  // Returns true if requests may be routed by the configuration at hand.
  auto HasUsableConfig() -> bool;
  // Returns true if the answer is the first of another leader or relay.
  auto ApplyRegistry(const schema::sync_answer& answer) -> bool;
  auto ApplyPermits(const schema::sync_answer& answer) -> void;
  auto ApplyPeers(const schema::sync_answer& answer) -> void;
  auto ApplyCrashes(const schema::sync_answer& answer) -> void;
  auto OnBackendChanged(const backend_record& record, mono_time now) -> void;
  // A server said in an answer that it is about to stop.
  auto OnServerLeaving(const backend_name& id, std::uint64_t start_time_ms)
      -> void;
  auto OnCall(incoming_request call, const response_pointer& answer) -> void;
  // Finds the organisation of a request by its key. Returns false if the
  // request has got its answer.
  auto Authenticate(const route_rule& rule,
                    const http_head& head,
                    request_metadata& metadata,
                    const response_pointer& answer) -> bool;
  // Returns whether the newest configuration lets a request go to a server.
  // `accepted_under` is set for one that another gateway handed over.
  auto CheckCaller(const http_head& head,
                   const request_metadata& metadata,
                   std::optional<config_number> accepted_under)
      -> caller_verdict;
  // Asks for credit for a request. Returns the id under which it waits, or
  // std::nullopt if it was decided on at once.
  auto RequestCredit(const request_metadata& metadata,
                     const route_rule& rule,
                     quota_gate::decision_hook on_decided)
      -> std::optional<quota_gate::waiter_id>;
  auto LogOverQuota(const caller_request_id& id,
                    const organisation_name& name,
                    const quota_decision& decision) -> void;
  // Starts a request once its organisation has credit for it.
  auto AwaitQuota(const route_rule& rule,
                  incoming_request call,
                  request_metadata metadata,
                  const response_pointer& answer) -> void;
  auto OnQuotaDecided(const quota_decision& decision,
                      incoming_request call,
                      request_metadata metadata,
                      const response_pointer& answer) -> void;
  auto ApplyQuotas(const schema::sync_answer& answer) -> void;
  // Asks for credit soon if requests wait for it.
  auto ScheduleQuotaSync() -> void;
  auto StartSession(incoming_request call,
                    request_metadata metadata,
                    const response_pointer& answer) -> void;
  auto StartAdmitted(incoming_request call,
                     request_metadata metadata,
                     const response_pointer& answer) -> void;
  // Starts a request that takes up a stream, once it is known what began it.
  auto TakeUpStream(const route_rule& rule,
                    incoming_request call,
                    request_metadata metadata,
                    const response_pointer& answer) -> void;
  // Returns true if the caller has left; what the request has used of a quota
  // is credited then.
  auto IsAbandoned(const request_metadata& metadata,
                   const response_pointer& answer) -> bool;
  auto AskForOrigin(incoming_request call,
                    request_metadata metadata,
                    const response_pointer& answer) -> void;
  // Starts a request at the service that began its stream, if it has one.
  auto StartRouted(incoming_request call,
                   request_metadata metadata,
                   std::optional<stream_origin> origin,
                   const response_pointer& answer) -> void;
  auto AddSession(const route_rule& rule,
                  const service_spec& service,
                  incoming_request call,
                  request_metadata metadata,
                  std::optional<stream_origin> origin,
                  std::optional<handover_terms> terms,
                  const response_pointer& answer) -> void;
  // A request that another gateway hands over, because it cannot connect to the
  // servers.
  auto OnPeerCall(incoming_request call, const response_pointer& answer)
      -> void;
  // Tells the other gateway that the request has not run and that another one
  // may serve it.
  auto DeclineHandover(const request_metadata& metadata,
                       error_kind kind,
                       const response_pointer& answer) -> void;
  auto MakeCallerOptions() -> http_listener::options;
  auto OnPathsClosed() -> void;
  auto OnPathsOpened() -> void;
  // Returns what began a stream, as far as this gateway is sure of it.
  auto FindOrigin(const route_rule& rule, const request_metadata& metadata)
      -> std::optional<stream_origin>;
  // Returns the only software version that the present servers of the rule's
  // only service have, and those that have gone lately.
  auto FindOnlySoftware(const route_rule& rule) const
      -> std::optional<stream_origin>;
  // Starts a request whose stream nobody knows the origin of, if there is only
  // one version that can have begun it, or rejects it.
  auto StartUnknown(incoming_request call,
                    request_metadata metadata,
                    const response_pointer& answer) -> void;
  auto ApplyOrigins(const schema::sync_answer& answer, bool is_new_source)
      -> void;
  // Holds a request for a short time that arrives before the first
  // configuration, or while a newer one may be in force.
  auto DeferCall(incoming_request call, const response_pointer& answer) -> void;
  // Starts the deferred requests, or rejects those whose time is up if there is
  // still no configuration to route them by.
  auto RunDeferredCalls() -> void;
  // Answers a request that gets no session, and counts it as rejected.
  auto RejectCall(const request_metadata& metadata,
                  error_kind kind,
                  int status,
                  const response_pointer& answer,
                  duration retry_after = kNoConfigRetryAfter) -> void;
  // Answers a request that has no route, if the configuration is current.
  auto RejectUnrouted(const request_metadata& metadata,
                      const response_pointer& answer) -> void;
  auto ScheduleDispatch() -> void;
  auto DispatchPending() -> void;
  // Returns false late in a drain.
  auto TakesRequests() const -> bool;
  auto CheckDrain() -> void;
  auto StopSessions() -> void;
  auto GetUnsentBytes() -> std::size_t;
  auto is_ready() const -> bool;

 public:
  gateway_daemon(site_settings settings,
                 event_loop& loop,
                 event_log& log,
                 metrics& counters);

  // Listens for callers and starts to sync. Throws `ebony_error` if an address
  // cannot be bound.
  auto Start() -> void;
  // Starts a graceful stop: reports not ready at once, keeps serving while
  // callers may still use its address, and finishes the requests in flight.
  auto Drain() -> void;
  // Adds new seeds. Other settings change only with a restart.
  auto Reload(const site_settings& settings) -> void;
  // Returns the keys that have crashed servers, as far as this gateway knows.
  auto CountSuspects() const -> std::size_t;
  // Returns true once the stop is complete and the program may exit.
  auto is_drained() const -> bool { return is_drained_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_GATEWAY_DAEMON_H_
