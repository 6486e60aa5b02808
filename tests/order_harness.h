#ifndef EBONY_TESTS_ORDER_HARNESS_H_
#define EBONY_TESTS_ORDER_HARNESS_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/control_state.h"
#include "control/failure_detector.h"
#include "control/order_dispatcher.h"
#include "control/placement.h"

namespace ebony::testing {

enum class order_fault {
  none,
  message_lost,
  message_late,
  message_repeated,
  message_reordered,
  answer_lost,
  engine_restart,
  leader_crash,
  deposed_leader_sends,
  leader_freeze,
};

// A control leader with the real state, dispatcher, placement and watch, over
// fake engines and a fake network. A committed command is applied at once: the
// log itself has a matrix of its own. Every delivery is a step at which a fault
// can be placed; the promises are checked after every step, and any breach
// throws std::logic_error.
class order_harness {
  struct fake_accelerator {
    std::uint64_t capacity = 0;
    std::vector<resident> residents;
    order_id applied;
    order_id highest;
    std::optional<order> loading;
    mono_time loading_until;
  };
  struct fake_backend {
    backend_announcement info;
    std::vector<fake_accelerator> accelerators;
    mono_time next_announcement;
    bool is_silent = false;
  };
  enum class flight_kind { order, answer, report };
  struct flight {
    flight_kind kind = flight_kind::order;
    mono_time arrives;
    std::uint64_t number = 0;
    std::uint64_t leader = 0;  // generation that sent or awaits it
    order body;
    bool is_answered = true;  // of an answer: false when the exchange failed
    backend_announcement report;
  };

  bool honours_fencing_;
  duration hold_;
  mono_time now_;
  control_state state_{0};
  std::uint64_t version_ = 0;
  std::uint64_t generation_ = 0;
  std::unique_ptr<order_dispatcher> dispatcher_;
  std::unique_ptr<failure_detector> watch_;
  std::map<backend_name, backend_announcement> reports_;
  placement placement_;
  mono_time next_placement_;
  mono_time frozen_until_;
  std::map<backend_name, fake_backend> engines_;
  std::vector<flight> network_;
  std::uint64_t next_number_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, order_fault> faults_;
  std::set<model_name> reached_;
  bool checks_reach_ = true;
  std::uint64_t orders_ = 0;

  auto Apply(const control_command& command) -> void;
  auto StartLeader() -> void;
  auto Announce(fake_backend& engine) -> void;
  auto Send(flight item, duration latency) -> void;
  auto TakeDue() -> std::optional<flight>;
  auto Deliver(flight item, order_fault fault) -> void;
  auto TakeOrder(const flight& item) -> void;
  auto FailExchange(const flight& item) -> void;
  auto TakeReport(const backend_announcement& report) -> void;
  auto RunEngines() -> void;
  auto RunLeader() -> void;
  auto Restart(const backend_name& name) -> void;
  auto CheckMemory() const -> void;
  auto CheckReach() -> void;

 public:
  order_harness(bool honours_fencing, placement_options options);

  auto AddBackend(const std::string& name,
                  const std::string& site,
                  std::vector<std::uint64_t> capacities) -> void;
  auto PutRecord(const record_content& content) -> void;
  auto Leave(const std::string& name) -> void;
  // The backend server dies silently.
  auto Kill(const std::string& name) -> void;
  auto Run(duration time) -> void;
  auto Plan(std::uint64_t steps_from_now, order_fault fault) -> void;
  auto Heal() -> void { faults_.clear(); }

  // Counts engines that hold the version now.
  auto CountResident(const std::string& model, const std::string& version) const
      -> std::size_t;
  auto IsEmpty(const std::string& backend) const -> bool;
  auto get_orders() const -> std::uint64_t { return orders_; }
  auto get_steps() const -> std::uint64_t { return steps_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_ORDER_HARNESS_H_
