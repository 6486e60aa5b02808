#ifndef EBONY_ENTRY_REQUEST_COORDINATOR_H_
#define EBONY_ENTRY_REQUEST_COORDINATOR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/domain.h"
#include "core/error_kind.h"
#include "entry/admission_queue.h"
#include "entry/claim_coordinator.h"
#include "entry/crash_watch.h"
#include "entry/retry_budget.h"
#include "entry/router.h"
#include "entry/routing_table.h"

namespace ebony {

using attempt_number = strong_type<struct attempt_tag, std::uint32_t>;

// The attributes of a request that the coordinator decides on. The daemon keeps
// the body.
struct caller_request {
  request_id id;
  caller_name caller;
  model_name model;      // empty when `service` is set
  adapter_name adapter;  // empty: the model without an adapter
  service_name service;
  // std::nullopt: the priority declared for the model.
  std::optional<priority_class> priority;
  mono_time deadline;
  bool is_stream = false;
  // The request may be executed more than once.
  bool is_retryable = true;
  // When not empty, the request is executed at most once under this key.
  request_key key;
  std::uint64_t fingerprint = 0;  // hash of the method, path and body
  std::uint64_t prefix_hash = 0;  // of the start of the prompt; 0: none
};

// Sends one attempt to a backend server.
struct dispatch_action {
  request_id id;
  attempt_number attempt;
  backend_name backend;
  host_port address;
  duration time_left{0};
  priority_class priority = priority_class::interactive;
  std::uint64_t resume_after = 0;  // events delivered to the caller
  bool is_retryable = true;
};

// Cancels an attempt. Its answer is ignored from then on.
struct cancel_action {
  request_id id;
  attempt_number attempt;
};

// Forwards the complete answer of an attempt to the caller.
struct deliver_action {
  request_id id;
  attempt_number attempt;
};

// Ends the request with an error.
struct refuse_action {
  request_id id;
  error_kind kind = error_kind::internal;
  ran_state ran = ran_state::unknown;
  std::string message;
  std::chrono::seconds retry_after{0};
};

// Answers the request with the recorded outcome of the same key.
struct replay_action {
  request_id id;
  claim_outcome outcome;
};

using coordinator_action = std::variant<dispatch_action,
                                        cancel_action,
                                        deliver_action,
                                        refuse_action,
                                        replay_action>;

// End of an attempt as observed by the daemon.
enum class attempt_end {
  complete,     // the whole answer was received
  not_sent,     // no byte was sent, so the request cannot have been executed
  interrupted,  // the connection ended or stalled after bytes were sent
};

struct attempt_result {
  attempt_end end = attempt_end::interrupted;
  int status = 0;                      // HTTP status, 0 when none was received
  std::uint64_t events_delivered = 0;  // of a stream, over all attempts
  bool has_replay_mismatch = false;    // a replayed event differed
  claim_outcome outcome;               // of a complete request with a key
};

struct coordinator_options {
  std::size_t max_queue = 512;         // requests
  std::size_t max_in_flight = 2048;    // requests
  unsigned retry_budget_percent = 20;  // retries per 100 requests
  int max_attempts = 3;                // per request
  // An attempt without progress for this long is cancelled.
  duration stall = std::chrono::milliseconds(3000);
  duration claim_timeout = std::chrono::milliseconds(500);
  // Upper bound of the random delay before the second and later retries.
  duration backoff = std::chrono::milliseconds(20);
  std::size_t entry_count = 1;  // entries that share the limit of each caller
};

// Decides on each request: admission, claims, routing, retries and the final
// answer. It has no thread, socket or clock: the daemon reports events and
// executes the actions returned by `TakeActions`.
class request_coordinator {
 public:
  using random_source = router::random_source;
  using counter_callback = std::function<void(const std::string& series)>;

 private:
  enum class phase { claiming, waiting, backing_off, running };

  struct active_request {
    caller_request request;
    phase state = phase::waiting;
    priority_class priority = priority_class::interactive;
    mono_time arrived;
    mono_time phase_began;
    mono_time retry_at;
    int attempts = 0;
    attempt_number attempt;
    backend_name backend;
    mono_time sent;
    mono_time progressed;
    std::uint64_t events_delivered = 0;
    software_version software;  // of the latest attempt's server
    // What began the stream, once the caller has an event of it.
    std::optional<software_version> origin;
    std::set<backend_name> tried;
    request_suspects suspects;
    attempt_evidence evidence;  // of the latest attempt
    incarnation backend_run;    // of the latest attempt's server
    int interrupted_attempts = 0;
    // Whether a backend server has or may have executed the request so far.
    ran_state ran = ran_state::no;
  };

  coordinator_options options_;
  const routing_table& table_;
  router& router_;
  claim_coordinator& claims_;
  random_source random_;
  counter_callback count_;
  admission_queue queue_;
  retry_budget budget_;
  crash_watch crashes_;
  std::map<request_id, active_request> active_;
  std::map<request_key, request_id> claiming_;
  std::map<std::pair<caller_name, model_name>, std::uint32_t> per_caller_;
  std::vector<coordinator_action> actions_;

  auto FindCandidates(const caller_request& request) const
      -> const std::vector<const backend_route*>*;
  auto CheckRequest(const caller_request& request) const -> void;
  auto EnforceCallerLimit(const caller_request& request) const -> void;
  auto Proceed(active_request& active, mono_time now) -> void;
  auto TryDispatch(active_request& active, mono_time now) -> route_verdict;
  auto Dispatch(active_request& active,
                const backend_route& backend,
                mono_time now) -> void;
  auto Enqueue(active_request& active, mono_time now) -> void;
  auto EstimateWait(const active_request& active) -> duration;
  auto GetServiceTime(const active_request& active) -> duration;
  auto TickOne(active_request& active, mono_time now) -> void;
  auto TickRunning(active_request& active, mono_time now) -> void;
  auto RefuseExpired(active_request& active, mono_time now) -> void;
  auto RunQueue(mono_time now) -> void;
  auto OnClaimDecided(active_request& active,
                      const claim_decision& decision,
                      mono_time now) -> void;
  // Tells the crash watch how an attempt has ended.
  auto WatchAttempt(const active_request& active,
                    const attempt_result& result,
                    mono_time now) -> void;
  // Returns true if the request was refused because it crashes servers.
  auto RefuseIfQuarantined(active_request& active, mono_time now) -> bool;
  auto OnAttemptFailed(active_request& active,
                       const attempt_result& result,
                       mono_time now) -> void;
  auto MayRetry(const active_request& active, mono_time now) -> bool;
  auto Refuse(active_request& active,
              error_kind kind,
              ran_state ran,
              const std::string& message,
              mono_time now) -> void;
  auto Erase(request_id id) -> void;
  auto CountOutcome(const active_request& active, bool is_good) -> void;
  auto GetRetryAfter(const active_request& active, error_kind kind)
      -> std::chrono::seconds;

 public:
  request_coordinator(coordinator_options options,
                      const routing_table& table,
                      router& backend_router,
                      claim_coordinator& claims,
                      random_source random,
                      counter_callback count);

  // Events. Those of unknown requests and of earlier attempts are ignored.
  auto OnRequest(const caller_request& request, mono_time now) -> void;
  auto OnProgress(request_id id,
                  attempt_number attempt,
                  std::uint64_t events_delivered,
                  mono_time now) -> void;
  auto OnAttemptEnd(request_id id,
                    attempt_number attempt,
                    const attempt_result& result,
                    mono_time now) -> void;
  auto OnClaimReply(const request_key& key,
                    std::uint64_t attempt,
                    const vm_name& holder,
                    const claim_reply& reply,
                    mono_time now) -> void;
  auto OnCallerDisconnected(request_id id, mono_time now) -> void;
  // Handles timeouts and dispatches queued requests. Must be called regularly.
  auto Tick(mono_time now) -> void;

  // Returns and clears the actions that have to be executed, in order.
  auto TakeActions() -> std::vector<coordinator_action>;

  auto get_crashes() -> crash_watch& { return crashes_; }
  auto IsActive(request_id id) const -> bool { return active_.contains(id); }
  auto get_active() const -> std::size_t { return active_.size(); }
  auto get_waiting() const -> std::size_t { return queue_.get_size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_REQUEST_COORDINATOR_H_
