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
  message_late,
  message_repeated,
  message_reordered,
  engine_dies_before_accepting,
  engine_dies_after_accepting,
  stream_cut,
  engine_stalls,
  engine_errs,
  answer_too_late,
  owner_dies,
  holder_restarts,
  two_holders_restart,
  caller_leaves,
};

// Three entries with the real decisions over fake engines, callers and a fake
// network. Every delivery is a step at which a fault can be placed. A caller
// resends a keyed request to another entry until it has an answer that settles
// it. The engines' counts are the judge; a breach throws std::logic_error.
class request_harness {
 public:
  enum class call_kind { keyed, repeatable, stream, single };

  struct call_record {
    std::string key;  // names the call, also where it is not keyed
    call_kind kind = call_kind::keyed;
    bool has_whole = false;
    int tries = 0;
    std::size_t last_entry = 0;
    std::optional<mono_time> resend_at;
  };

 private:
  enum class flight_kind {
    ask,
    reply,
    finish,
    request,
    head,
    event,
    end,
  };
  struct flight {
    flight_kind kind = flight_kind::ask;
    mono_time arrives;
    std::uint64_t number = 0;
    std::size_t entry = 0;  // entry it belongs to
    std::uint64_t entry_run = 0;
    claim_request ask;
    claim_completion finish;
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
    bool is_dead = false;
    mono_time stalled_until;
    int errors_left = 0;
  };
  // What the shell of an entry keeps of one request.
  struct session {
    std::size_t call = 0;  // index into calls_
    attempt_number current;
    std::uint64_t shown = 0;  // events that the caller has seen
    mono_time deadline;
  };
  // One try of a call at one run of an entry.
  struct try_id {
    std::uint64_t run = 0;
    request_id id;

    friend auto operator<=>(const try_id&, const try_id&)
        -> std::strong_ordering = default;
  };
  struct entry {
    vm_name name;
    std::uint64_t run = 0;
    std::unique_ptr<router> choice;
    std::unique_ptr<claim_table> table;
    std::unique_ptr<claim_coordinator> book;
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
  std::vector<flight> network_;
  std::uint64_t next_number_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, request_fault> faults_;
  std::map<std::string, int> runs_;
  std::set<try_id> told_not_run_;
  std::set<try_id> ran_;
  std::uint64_t next_run_ = 1;

  auto StartEntry(std::size_t index, mono_time claims_since) -> void;
  auto StopEntry(std::size_t index) -> void;
  auto Send(flight item, duration latency) -> void;
  auto TakeDue() -> std::optional<flight>;
  auto Disturb(const flight& item, request_fault fault) -> bool;
  auto Deliver(const flight& item, request_fault fault) -> void;
  auto Receive(const flight& item) -> void;
  auto RunEngine(const flight& item, request_fault fault) -> void;
  auto EndAttempt(const flight& item,
                  attempt_end end,
                  int status,
                  duration latency) -> void;
  auto RunEntry(std::size_t index) -> void;
  auto Run(std::size_t index, const dispatch_action& action) -> void;
  auto Run(std::size_t index, const cancel_action& action) -> void;
  auto Run(std::size_t index, const deliver_action& action) -> void;
  auto Run(std::size_t index, const refuse_action& action) -> void;
  auto Run(std::size_t index, const replay_action& action) -> void;
  auto Settle(std::size_t index, request_id id, bool is_whole) -> void;
  auto Resend() -> void;
  auto CutFlights(std::size_t engine) -> void;
  auto CutAttempt(const flight& item) -> void;
  auto DelayAttempt(const flight& item, duration delay) -> void;
  auto CheckAnswersInTime() const -> void;

 public:
  explicit request_harness(std::uint64_t seed);

  // A caller sends a request of this kind to the entry.
  auto Call(call_kind kind, std::size_t entry) -> void;
  auto Run(duration time) -> void;
  auto Plan(std::uint64_t steps_from_now, request_fault fault) -> void;
  // Requires that no request is left without a final answer.
  auto CheckSettled() const -> void;

  auto get_calls() const -> const std::vector<call_record>& { return calls_; }
  auto get_runs() const -> const std::map<std::string, int>& { return runs_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_REQUEST_HARNESS_H_
