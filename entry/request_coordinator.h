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
#include "entry/retry_budget.h"
#include "entry/router.h"
#include "entry/routing_table.h"

namespace ebony {

using attempt_number = strong_type<struct attempt_tag, std::uint32_t>;

// A caller's request as the decisions need it; its body stays with the shell.
struct caller_request {
  request_id id;
  caller_name caller;
  model_name model;      // or a service
  adapter_name adapter;  // empty: the model itself
  service_name service;
  std::optional<priority_class> priority;  // nothing: the model's own
  mono_time deadline;
  bool is_stream = false;
  // True when running it twice does no harm.
  bool is_retryable = true;
  request_key key;  // not empty: runs at most once under this key
  std::uint64_t fingerprint = 0;
  std::uint64_t prefix_hash = 0;
};

// Sends one attempt to a backend server.
struct dispatch_action {
  request_id id;
  attempt_number attempt;
  backend_name backend;
  host_port address;
  duration time_left{0};
  priority_class priority = priority_class::interactive;
  std::uint64_t resume_after = 0;  // events that the caller has seen
  bool is_retryable = true;
};

// Ends the attempt behind; its answer no longer counts.
struct cancel_action {
  request_id id;
  attempt_number attempt;
};

// Passes the attempt's answer, which is whole, to the caller.
struct deliver_action {
  request_id id;
  attempt_number attempt;
};

// Gives the caller its final answer at once.
struct refuse_action {
  request_id id;
  error_kind kind = error_kind::internal;
  ran_state ran = ran_state::unknown;
  std::string message;
  std::chrono::seconds retry_after{0};
};

// Gives the caller the recorded answer of the same key.
struct replay_action {
  request_id id;
  claim_outcome outcome;
};

using coordinator_action = std::variant<dispatch_action,
                                        cancel_action,
                                        deliver_action,
                                        refuse_action,
                                        replay_action>;

// How an attempt ended, as the shell saw it.
enum class attempt_end {
  complete,     // the answer arrived to its end
  not_sent,     // no byte left this process: it cannot run
  interrupted,  // the connection ended or stalled after that
};

struct attempt_result {
  attempt_end end = attempt_end::interrupted;
  int status = 0;                      // HTTP status, 0 when none arrived
  std::uint64_t events_delivered = 0;  // of a stream, over all attempts
  bool has_replay_mismatch = false;    // a replay differed from what was shown
  claim_outcome outcome;               // for a keyed request, when whole
};

struct coordinator_options {
  std::size_t max_queue = 512;
  std::size_t max_in_flight = 2048;
  unsigned retry_budget_percent = 20;
  int max_attempts = 3;
  duration stall = std::chrono::milliseconds(3000);
  duration claim_timeout = std::chrono::milliseconds(500);
  duration backoff = std::chrono::milliseconds(20);
  std::size_t entry_count = 1;  // entries that share each caller's limit
};

// Decides what happens to each request: admission, claims, routing, retries
// and the final answer. It has no thread, socket or clock; events go in and
// `TakeActions` returns what is to be done.
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
    std::set<backend_name> tried;
    // What may have happened at backend servers so far.
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
                      router& choice,
                      claim_coordinator& claims,
                      random_source random,
                      counter_callback count);

  // Events.
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
  auto Tick(mono_time now) -> void;

  auto TakeActions() -> std::vector<coordinator_action>;

  auto IsActive(request_id id) const -> bool { return active_.contains(id); }
  auto get_active() const -> std::size_t { return active_.size(); }
  auto get_waiting() const -> std::size_t { return queue_.get_size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_REQUEST_COORDINATOR_H_
