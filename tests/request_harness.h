#ifndef EBONY_TESTS_REQUEST_HARNESS_H_
#define EBONY_TESTS_REQUEST_HARNESS_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry/claim_coordinator.h"
#include "entry/claim_table.h"
#include "entry/request_coordinator.h"
#include "entry/router.h"
#include "entry/routing_table.h"

namespace ebony::testing {

enum class request_fault {
  none,
  message_lost,
  message_delayed,
  message_duplicated,
  message_reordered,
  engine_crashes_before_accepting,
  engine_crashes_after_accepting,
  stream_interrupted,
  engine_stalls,
  engine_error,
  answer_delayed,
  owner_crashes,
  holder_restarts,
  two_holders_restart,
  caller_disconnects,
};

// Simulation of three entries with fake engines, callers and network. Each
// message delivery is a step at which a fault can be injected. A caller resends
// a keyed request to another entry until it receives a final answer. The
// harness counts the executions at the engines and throws std::logic_error on
// any violation of the guarantees.
class request_harness {
 public:
  enum class call_kind { keyed, retryable, stream, single };

  struct call_record {
    std::string key;  // identifies the call; sent only by keyed calls
    call_kind kind = call_kind::keyed;
    bool has_complete_answer = false;
    int sends = 0;
    std::size_t last_entry = 0;
    std::optional<mono_time> resend_at;
  };

 private:
  enum class message_kind {
    claim_request,
    claim_reply,
    claim_completion,
    request,
    head,
    event,
    end,
  };
  struct message {
    message_kind kind = message_kind::claim_request;
    mono_time arrives;
    std::uint64_t number = 0;
    std::size_t entry = 0;  // the entry that sends or receives it
    std::uint64_t entry_run = 0;
    claim_request claim;
    claim_completion completion;
    claim_reply reply;
    vm_name holder;
    request_id id;
    attempt_number attempt;
    std::size_t engine = 0;
    std::uint64_t resume_after = 0;
    attempt_result result;
    std::uint64_t event = 0;
  };
  struct engine {
    backend_route route;
    bool is_down = false;
    mono_time stalled_until;
    int errors_left = 0;
  };
  // State of one request that a daemon keeps outside the coordinator.
  struct session {
    std::size_t call = 0;  // index into calls_
    attempt_number current;
    std::uint64_t events_delivered = 0;  // to the caller
    mono_time deadline;
  };
  // One request of a call, as sent to one run of an entry.
  struct send_id {
    std::uint64_t run = 0;
    request_id id;

    friend auto operator<=>(const send_id&, const send_id&)
        -> std::strong_ordering = default;
  };
  struct entry {
    vm_name name;
    std::uint64_t run = 0;
    std::unique_ptr<router> backend_router;
    std::unique_ptr<claim_table> table;
    std::unique_ptr<claim_coordinator> claims;
    std::unique_ptr<request_coordinator> coordinator;
    std::uint64_t next_id = 1;
    std::map<request_id, session> sessions;
    mono_time down_until;
  };

  std::mt19937_64 random_;
  mono_time now_;
  routing_table table_;
  std::vector<engine> engines_;
  std::vector<entry> entries_;
  std::vector<call_record> calls_;
  std::vector<message> network_;
  std::uint64_t next_number_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, request_fault> faults_;
  std::map<std::string, int> executions_;
  std::set<send_id> refused_not_run_;
  std::set<send_id> executed_;
  std::uint64_t next_run_ = 1;

  auto StartEntry(std::size_t index, mono_time claims_since) -> void;
  auto StopEntry(std::size_t index) -> void;
  auto Send(message item, duration latency) -> void;
  auto TakeDueMessage() -> std::optional<message>;
  auto ApplyFault(const message& item, request_fault fault) -> bool;
  auto Deliver(const message& item, request_fault fault) -> void;
  auto Receive(const message& item) -> void;
  auto ExecuteOnEngine(const message& item, request_fault fault) -> void;
  auto EndAttempt(const message& item,
                  attempt_end end,
                  int status,
                  duration latency) -> void;
  auto TickEntry(std::size_t index) -> void;
  auto Execute(std::size_t index, const dispatch_action& action) -> void;
  auto Execute(std::size_t index, const cancel_action& action) -> void;
  auto Execute(std::size_t index, const deliver_action& action) -> void;
  auto Execute(std::size_t index, const refuse_action& action) -> void;
  auto Execute(std::size_t index, const replay_action& action) -> void;
  auto FinishCall(std::size_t index, request_id id, bool is_complete) -> void;
  auto Resend() -> void;
  auto InterruptAnswers(std::size_t engine) -> void;
  auto InterruptAttempt(const message& item) -> void;
  auto DelayAttempt(const message& item, duration delay) -> void;
  auto CheckDeadlines() const -> void;

 public:
  explicit request_harness(std::uint64_t seed);

  // Sends a request of this kind to the entry.
  auto Call(call_kind kind, std::size_t entry) -> void;
  // Advances the simulated time.
  auto Run(duration time) -> void;
  auto ScheduleFault(std::uint64_t steps_from_now, request_fault fault) -> void;
  // Throws unless every request has received its final answer.
  auto CheckAllAnswered() const -> void;

  auto get_calls() const -> const std::vector<call_record>& { return calls_; }
  auto get_executions() const -> const std::map<std::string, int>& {
    return executions_;
  }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_REQUEST_HARNESS_H_
