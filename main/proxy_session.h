#ifndef EBONY_MAIN_PROXY_SESSION_H_
#define EBONY_MAIN_PROXY_SESSION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/caller_terms.h"
#include "core/error_kind.h"
#include "core/metrics.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "entry/attempt_policy.h"
#include "entry/pending_queue.h"
#include "entry/retry_allowance.h"
#include "entry/route_table.h"
#include "entry/server_selector.h"
#include "entry/sse_reader.h"

namespace ebony {

class proxy_session;

// Requests of a model or adapter since the last sync.
struct demand_count {
  std::uint32_t arrived = 0;
  std::uint32_t missed = 0;  // found no server that holds it
  std::uint64_t prompt_tokens = 0;
};
using demand_key = std::tuple<service_name, model_name, adapter_name>;

// What the sessions of one gateway share.
struct proxy_context {
  event_loop& loop;
  http_pool& pool;
  event_log& log;
  metrics& counters;
  server_selector& board;
  retry_allowance& repeats;
  pending_queue<proxy_session>& waiting;
  std::map<demand_key, demand_count>& demand;
  // Returns a number in [0, bound).
  std::function<std::uint64_t(std::uint64_t)> random;
  // A model or adapter is missing: tells the coordinator soon.
  std::function<void()> on_missing;
  // Room may have come free.
  std::function<void()> on_room;
  // True when this gateway takes no new long requests.
  std::function<bool()> refuses_streams;
  std::size_t active = 0;  // sessions without a final answer
};

// One caller's request from its arrival to its final answer. It keeps itself
// alive through the calls and timers that it waits for.
class proxy_session : public std::enable_shared_from_this<proxy_session> {
  proxy_context& context_;
  route_table_pointer table_;
  const route_rule& rule_;
  const service_spec& service_;
  incoming_request call_;
  response_pointer answer_;
  caller_terms terms_;
  mono_time deadline_;
  timer_id deadline_timer_;
  bool is_done_ = false;

  // Waiting.
  std::optional<queue_position> place_;
  timer_id wait_timer_;
  bool has_waited_ = false;
  server_verdict wait_reason_ = server_verdict::busy;

  // The attempt under way.
  int attempts_ = 0;   // servers that got at least a byte of it
  int unreached_ = 0;  // servers that could not be connected to
  std::set<backend_name> tried_;
  bool has_run_maybe_ = false;
  std::unique_ptr<pooled_call> attempt_;
  timer_id stall_timer_;
  backend_name server_;
  mono_time sent_;
  double prefill_tokens_ = 0;  // counted at the server until its first event
  http_head head_;
  server_answer server_answer_;
  bool is_streaming_ = false;
  std::string body_;
  // A server's failure, delivered when no other attempt does better.
  struct http_answer_copy {
    http_head head;
    std::string body;
  };
  std::optional<http_answer_copy> spare_;

  // A stream that is being shown.
  sse_reader reader_;
  std::string last_event_;     // id of the newest event that the caller has
  mono_time shown_;            // when the newest bytes were passed on
  duration first_event_{0};    // from the call to the first bytes
  duration longest_pause_{0};  // between two pieces passed on

  auto IsEngine() const -> bool { return service_.engine.has_value(); }
  auto GetTimeLeft() const -> duration;
  auto MakeQuery() const -> server_query;
  // True when another server could take the request over now.
  auto HasAlternative() -> bool;
  auto TryDispatch() -> void;
  auto Wait(server_verdict reason) -> void;
  auto GetPatience() const -> duration;
  auto GetLoadTime() const -> duration;
  auto GetWaitLimit(server_verdict reason) const -> duration;
  auto OnWaited() -> void;
  auto WaitLate() -> void;
  // Takes a place among the waiting requests, if there is one.
  auto TakePlace(int rank, duration limit) -> bool;
  auto StopWaiting() -> void;
  auto Dispatch(const backend_status& server) -> void;
  auto MakeHooks() -> call_hooks;
  auto OnHead(const http_head& head) -> bool;
  auto OnBody(std::string_view bytes) -> void;
  auto ShowEvents(std::string_view bytes) -> void;
  auto NotePause() -> void;
  auto OnWhole() -> void;
  auto MayGoOn(attempt_outcome end) -> bool;
  auto OnAttemptEnd(attempt_outcome end) -> void;
  auto ReleaseServer() -> void;
  auto ArmStall() -> void;
  auto GetStallLimit() const -> duration;
  auto OnStalled() -> void;
  auto OnDeadline() -> void;
  auto OnCallerGone() -> void;
  auto Deliver() -> void;
  auto Refuse(error_kind kind, duration expected_wait) -> void;
  auto Fail(error_kind kind) -> void;
  auto BreakOff(const char* why) -> void;
  auto Finish(const char* outcome, int status) -> void;

 public:
  proxy_session(proxy_context& context,
                route_table_pointer table,
                const route_rule& rule,
                const service_spec& service,
                incoming_request call,
                caller_terms terms,
                response_pointer answer);

  auto Start() -> void;
  // Room may have come free, or a model may have arrived.
  auto Retry() -> void;
  // Makes way for a more urgent request.
  auto Displace() -> void;
  // The gateway ends: whatever is under way is broken off.
  auto Stop() -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_PROXY_SESSION_H_
