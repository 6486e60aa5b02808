#ifndef EBONY_MAIN_PROXY_SESSION_H_
#define EBONY_MAIN_PROXY_SESSION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/error_kind.h"
#include "core/memory_account.h"
#include "core/metrics.h"
#include "core/peer_gateway.h"
#include "core/request_metadata.h"
#include "core/service_samples.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "entry/admission_policy.h"
#include "entry/attempt_policy.h"
#include "entry/crash_guard.h"
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
#include "entry/stream_assembler.h"
#include "entry/stream_origins.h"
#include "entry/wait_estimator.h"
#include "main/path_monitor.h"
#include "main/run_verifier.h"

namespace ebony {

class proxy_session;

// Requests for one model or adapter since the last sync.
struct demand_count {
  std::uint32_t arrived = 0;
  std::uint32_t unserved = 0;  // no server held the model or adapter
  std::uint64_t prompt_tokens = 0;
  std::uint32_t ended = 0;    // attempts
  std::uint64_t busy_ms = 0;  // sum of the times for which they ran
};
using demand_key = std::tuple<service_name, model_name, adapter_name>;

// Whether a request may go to a server on behalf of its organisation.
enum class caller_verdict {
  accepted,
  unknown_key,
  unsure,  // a newer configuration, or another gateway, may say otherwise
};

// State shared by the sessions of one gateway.
struct proxy_context {
  event_loop& loop;
  http_pool& pool;
  event_log& log;
  metrics& counters;
  server_selector& selector;
  retry_allowance& retries;
  pending_queue<proxy_session>& pending;
  wait_estimator& waits;
  admission_policy& admission;
  std::map<demand_key, demand_count>& demand;
  server_permits& permits;
  server_pauses& pauses;
  server_pace& pace;
  stream_origins& origins;
  crash_guard& guard;
  run_verifier& verifier;
  path_monitor& paths;
  peer_selector& peers;
  quota_leases& quotas;
  first_event_sums& first_events;
  // Returns a random number in [0, bound).
  std::function<std::uint64_t(std::uint64_t)> random;
  // Called when no server holds a requested model or adapter, so that the
  // coordinator learns of it ahead of the regular sync.
  std::function<void()> on_unserved_demand;
  // Called when other gateways should learn soon of a crash or a clearance, or
  // a request waits for a trial.
  std::function<void()> on_suspicion;
  // Called when capacity of a server may have become free.
  std::function<void()> on_capacity_freed;
  // Called when a start of a server says that it is about to stop.
  std::function<void(const backend_name&, std::uint64_t)> on_server_leaving;
  // Returns true if a stream that other gateways may take up can begin at this
  // software version now.
  std::function<bool(const stream_origin&)> may_begin_at;
  // Returns whether the newest configuration lets a request go to a server. The
  // number is that of the configuration under which a request was accepted that
  // another gateway handed over, without its key.
  std::function<caller_verdict(const http_head&,
                               const request_metadata&,
                               std::optional<config_number>)>
      check_caller;
  // Asks for credit for a request whose earlier credit has lapsed.
  std::function<void(const request_metadata&,
                     const route_rule&,
                     quota_gate::decision_hook)>
      await_credit;
  // Returns true if the newest configuration has organisations.
  std::function<bool()> has_organisations;
  // Returns true while new streams are rejected, late in a drain.
  std::function<bool()> rejects_streams;
  std::size_t active_sessions = 0;  // sessions without a final answer
  std::size_t handed_over = 0;      // of these, for other gateways
  std::size_t buffered_bytes = 0;   // of the answers that sessions hold
  std::size_t max_buffered_bytes = std::size_t{48} * 1024 * 1024;
  memory_charge buffered_charge = {};  // for these
};

// Proxies one caller's request from its arrival to its final answer: queues it
// until a server has capacity, sends it, retries where the route allows, and
// forwards the response. Pending calls and timers keep the session alive.
class proxy_session : public std::enable_shared_from_this<proxy_session> {
  proxy_context& context_;
  route_table_pointer route_table_;
  const route_rule& rule_;
  const service_spec& service_;
  incoming_request call_;
  response_pointer answer_;
  request_metadata metadata_;
  request_fingerprint fingerprint_;
  // Set for a request that another gateway handed over: one attempt is made at
  // it, and the answer says what became of it.
  std::optional<handover_terms> terms_;
  mono_time deadline_;
  timer_id deadline_timer_;
  bool is_finished_ = false;

  // Queueing.
  bool orders_by_cost_;  // see objective_ranges
  admission_terms admission_terms_;
  // Set while the request is queued by the admission policy.
  std::optional<queue_order> admission_order_;
  bool yields_ = false;  // there is room, which it leaves to others
  std::optional<queue_position> position_;  // set while the request is queued
  timer_id queue_timer_;
  bool is_overdue_ = false;  // the first wait in the queue has timed out
  server_verdict queue_reason_ = server_verdict::busy;
  duration pause_left_{0};  // of the servers that the request could go to
  bool awaits_credit_ = false;
  bool awaits_slot_ = false;  // of a server that is limited by its slots
  // Servers that the queued request waits for a permit of.
  std::vector<backend_name> awaited_permits_;

  // Attempts.
  int attempts_ = 0;          // servers that received at least one byte
  int connect_failures_ = 0;  // servers that could not be connected to
  int not_run_answers_ = 0;   // servers that stated that they did not run it
  std::set<backend_name> tried_servers_;
  std::set<vm_name> tried_peers_;
  // The peer that the latest attempt was handed over to; empty: none.
  vm_name peer_;
  std::optional<handover_result> peer_result_;  // of the latest attempt
  bool may_have_run_ = false;
  std::unique_ptr<pooled_call> attempt_;  // in flight, or null
  call_path path_;                        // of the latest attempt
  timer_id stall_timer_;
  backend_name server_;  // of the latest attempt
  std::uint64_t server_start_time_ms_ = 0;
  software_version server_software_;
  mono_time sent_at_;
  mono_time last_received_;  // from the latest attempt's server or peer
  // Prompt tokens that count towards the server's load until its first event.
  double prefill_tokens_ = 0;
  // At the latest attempt.
  event_meter meter_;
  bool found_idle_server_ = false;
  bool found_free_slots_ = false;
  double found_requests_ = 0;  // in flight at the server, as known here
  std::optional<call_failure> connection_failure_;
  // The connection was made for this attempt and has not been answered yet.
  bool is_new_connection_ = false;
  http_head response_head_;
  server_answer server_answer_;
  bool is_streaming_ = false;  // the body is forwarded as it arrives
  std::string response_body_;
  // An error response from a server, delivered if no later attempt succeeds.
  struct buffered_response {
    http_head head;
    std::string body;
  };
  std::optional<buffered_response> error_response_;
  std::size_t buffered_bytes_ = 0;  // of both bodies, as counted in the context

  // Crashes of servers under requests like this one.
  request_suspects suspects_;
  attempt_evidence evidence_;  // of the latest attempt
  host_port server_address_;
  mono_time first_body_at_;  // of the latest attempt
  bool is_proven_ = false;   // the latest attempt ran without a crash

  // Forwarding of a stream.
  // What began a resumable stream, once the caller has an event of it.
  std::optional<stream_origin> origin_;
  stream_assembler stream_;
  mono_time last_write_;  // when bytes were last sent to the caller
  // From the request's arrival to the first bytes sent to the caller.
  duration first_event_delay_{0};
  duration longest_gap_{0};  // between consecutive writes to the caller

  auto IsEngine() const -> bool { return service_.engine.has_value(); }
  auto GetTimeLeft() const -> duration;
  auto MakeQuery() -> server_query;
  // Returns true if the request could be retried on another server now.
  auto HasAlternativeServer() -> bool;
  auto ChooseServer() -> server_choice;
  auto TryDispatch() -> void;
  // Returns true unless the request may not be sent on behalf of its
  // organisation any more; it has its final answer then.
  auto PassesKeyCheck() -> bool;
  // Returns true if what the request has used of its organisation's quota still
  // counts. Otherwise, it waits for credit, or has its final answer.
  auto HasCredit() -> bool;
  auto OnCredit(const quota_decision& decision) -> void;
  // Answers a request that has not run.
  auto Refuse(error_kind kind, int status, duration retry_after) -> void;
  // Credits what the request has used of its organisation's quota if it has not
  // run.
  auto CreditBack() -> void;
  auto GetRank() const -> int;
  // The session's configuration, or the newest one, has organisations.
  auto HasOrganisations() const -> bool {
    return !route_table_->get_config().organisations.empty() ||
           context_.has_organisations();
  }
  auto IsHandedOver() const -> bool { return terms_.has_value(); }
  auto GetMaxAttempts() const -> int;
  // Returns true if a peer could be asked to make the next attempt.
  auto CanHandOver() -> bool;
  // Returns true while it is being found out whether any server can be
  // connected to, after an attempt at this request has failed.
  auto MustAwaitPaths() -> bool;
  // Lets a peer make the next attempt.
  auto HandOver() -> void;
  // Ends an attempt whose peer answered with an error of its own.
  auto OnPeerError(const handover_result& result) -> void;
  // Returns true if the latest attempt is over a connection of this gateway.
  auto IsDirect() const -> bool { return peer_ == vm_name(); }
  // Adds to an answer what the gateway that handed the request over needs.
  auto AddResult(http_head head, const handover_result& result) const
      -> http_head;
  auto GetServerResult() const -> handover_result;
  // Returns `Last-Event-Id` of the next attempt; std::nullopt: it begins anew.
  auto GetResumePoint() const -> std::optional<std::string>;
  auto StartAttempt(const host_port& address, const http_head& head) -> void;
  // Queues the request, or rejects it if waiting cannot help.
  auto Enqueue(server_verdict reason) -> void;
  // Returns true if the guard lets the request go to a server. Otherwise, the
  // request is queued or has its final answer.
  auto PassesGuard() -> bool;
  // The same, but a trial is not asked for.
  auto PassesQuarantine() -> bool;
  auto RejectQuarantined(duration quarantine_left) -> void;
  auto GetServerRun() const -> server_run;
  // Records that the latest attempt ran without a crash of its server.
  auto RecordRun() -> void;
  // Records that the server crashed while it may have begun the attempt.
  auto RecordCrash(const attempt_evidence& evidence, server_run run) -> void;
  // A server has ended while it may have begun the attempt.
  auto OnServerEnded(const attempt_evidence& evidence, server_run run) -> void;
  // Returns true if the server has ended since it had to reject too much.
  auto HasFallenForWantOfRoom(const backend_name& server,
                              std::uint64_t start_time_ms) -> bool;
  // Finds out whether the server has crashed, and records it.
  auto CheckForCrash(std::function<void()> on_done) -> void;
  auto GetCallerTimeout() const -> duration;
  auto GetModelLoadTime() const -> duration;
  auto GetQueueTimeout(server_verdict reason) const -> duration;
  auto GetOverloadWait() const -> duration;
  auto GetLateQueueTimeout() const -> duration;
  auto GetQueueKey() const -> wait_estimator::queue_key;
  // Returns true if the request was rejected because it could not be sent
  // before the end of all waits.
  auto RejectIfHopeless(duration limit) -> bool;
  auto OnQueueTimeout() -> void;
  auto EnqueueLate() -> void;
  // Returns true if requests that will miss their objective may still be sent
  // in time for a late answer.
  auto CanQueueLate() const -> bool;
  // Adds the request to the queue. Returns false if the queue is full.
  auto TryEnqueue(const queue_order& order) -> bool;
  auto MakeAdmissionTerms() const -> admission_terms;
  // Returns the order of a request that has to start within `limit`.
  auto GetOrder(int rank, duration limit) const -> queue_order;
  // Returns true if the admission policy decides how long the request waits for
  // room.
  auto IsAdmittedByCost() const -> bool;
  // Returns true if the request leaves the room at a server to others for now.
  auto MustYield(const backend_status& server) const -> bool;
  // Queues or rejects a request for which there is no room, or which leaves it
  // to others.
  auto EnqueueByCost() -> void;
  // The request no longer waits by the admission policy.
  auto ForgetAdmissionOrder() -> void;
  auto AwaitPermits(std::vector<backend_name> servers) -> void;
  auto LeaveQueue() -> void;
  auto Dispatch(const backend_status& server, permit_source permit) -> void;
  auto MakeHooks() -> call_hooks;
  // A new connection to the server was made.
  auto OnConnected() -> void;
  // Returns what became of the latest attempt's connection, for log lines.
  auto GetConnectionText() const -> std::string_view;
  auto OnHead(const http_head& head) -> void;
  // An answer to another request has arrived. Nothing in it is believed.
  auto OnForeignHead(const http_head& head) -> void;
  auto RecordBytes() -> void;
  // Records whether the server says that it is about to stop.
  auto RecordLeaving(const server_answer& answer) -> void;
  // Records whether the server asks for a pause.
  auto RecordPause(const server_answer& answer) -> void;
  // Records what an answer says of the server's limit of requests.
  auto RecordLimit(const server_answer& answer) -> void;
  auto ReportUnreadableLimit(const server_answer& answer) -> void;
  // Records at a server that is limited by its slots how an attempt has ended.
  auto RecordSlot(attempt_outcome outcome) -> void;
  auto OnBody(std::string_view bytes) -> void;
  auto GetPaceSource() -> pace_source;
  // Records the time between events of a stream.
  auto RecordPace(std::uint64_t events) -> void;
  // Records the time of an answer that is no stream.
  auto RecordAnswerTime() -> void;
  // Buffers a part of an answer that is not forwarded as it arrives. Gives the
  // attempt up if the answers that are buffered grow too large.
  auto BufferBody(std::string_view bytes) -> void;
  auto CountBuffered() -> void;
  // Remembers what began the stream before its first bytes go to the caller.
  auto RecordOrigin() -> void;
  auto SendToCaller(std::string_view bytes) -> void;
  auto ForwardEvents(std::string_view bytes) -> void;
  auto RecordWrite() -> void;
  auto OnComplete() -> void;
  // Returns how the latest attempt's answer was framed, for log lines; "none"
  // before its header.
  auto GetFramingText() const -> std::string;
  auto MayRetry(attempt_outcome outcome) -> bool;
  auto OnAttemptEnd(attempt_outcome outcome) -> void;
  // Decides what follows the attempt, once it is known whether its server has
  // crashed.
  auto ConcludeAttempt(attempt_outcome outcome) -> void;
  auto LogAttemptEnd(attempt_outcome outcome, attempt_action action) -> void;
  auto RecordServerOutcome(attempt_outcome outcome) -> void;
  // Records that the server stated that it did not run the latest attempt.
  auto RecordRejection() -> void;
  // Records that no byte of the latest attempt was sent.
  auto RecordUnsent() -> void;
  // The server has turned the request away for want of room.
  auto RecordFullServer() -> void;
  auto ReleaseServer() -> void;
  auto RecordServiceTime() -> void;
  auto ArmStallTimer() -> void;
  auto GetStallTimeout() const -> duration;
  auto OnStalled() -> void;
  auto OnDeadline() -> void;
  auto OnCallerGone() -> void;
  auto Deliver() -> void;
  auto Reject(error_kind kind, duration expected_wait) -> void;
  auto Fail(error_kind kind) -> void;
  // Ends the response so that it does not look complete.
  auto AbortStream(const char* outcome) -> void;
  // Logs and counts the outcome, and cancels the timers.
  auto Finish(const char* outcome, int status) -> void;

 public:
  proxy_session(proxy_context& context,
                route_table_pointer table,
                const route_rule& rule,
                const service_spec& service,
                incoming_request call,
                request_metadata metadata,
                std::optional<stream_origin> origin,
                std::optional<handover_terms> terms,
                response_pointer answer);

  // Starts to process the request. Called once.
  auto Start() -> void;
  // Tries again to dispatch a queued request: capacity may have become free, or
  // a server may have loaded the model.
  auto RetryDispatch() -> void;
  // Rejects the request after the queue has evicted it for a more urgent one.
  auto OnEvicted() -> void;
  // No server can be connected to from here any more.
  auto OnPathsClosed() -> void;
  // Aborts the request because the gateway stops.
  auto Stop() -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_PROXY_SESSION_H_
