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
  message_delayed,
  message_duplicated,
  message_reordered,
  answer_lost,
  engine_restart,
  leader_crash,
  deposed_leader_sends,
  leader_freeze,
};

// A control leader with the real state, dispatcher, placement and failure
// detector on top of simulated engines and a simulated network. A command is
// committed and applied immediately, since the replicated log has a fault
// matrix of its own. Each message delivery is a step at which a fault can be
// injected. The invariants on memory and availability are checked after every
// step, and a violation throws std::logic_error.
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
    bool is_dead = false;
  };
  enum class message_kind { order, answer, report };
  struct message {
    message_kind kind = message_kind::order;
    mono_time arrives;
    std::uint64_t sequence = 0;
    std::uint64_t leader = 0;  // generation of the sender or the receiver
    order body;
    bool is_answered = true;  // of an answer; false when the exchange failed
    backend_announcement report;
  };

  bool honours_fencing_;
  duration max_delivery_delay_;
  mono_time now_;
  control_state state_{0};
  std::uint64_t version_ = 0;
  std::uint64_t generation_ = 0;
  std::unique_ptr<order_dispatcher> dispatcher_;
  std::unique_ptr<failure_detector> failure_detector_;
  std::map<backend_name, backend_announcement> reports_;
  placement placement_;
  mono_time next_placement_;
  mono_time frozen_until_;
  std::map<backend_name, fake_backend> engines_;
  std::vector<message> in_flight_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, order_fault> faults_;
  std::set<model_name> available_models_;
  bool checks_availability_ = true;
  std::uint64_t orders_ = 0;

  auto Apply(const control_command& command) -> void;
  auto StartLeader() -> void;
  auto Announce(fake_backend& engine) -> void;
  auto Send(message item, duration latency) -> void;
  auto PopDueMessage() -> std::optional<message>;
  auto Deliver(message item, order_fault fault) -> void;
  auto ReceiveOrder(const message& item) -> void;
  auto FailExchange(const message& item) -> void;
  auto ReceiveReport(const backend_announcement& report) -> void;
  auto RunEngines() -> void;
  auto RunLeader() -> void;
  auto Restart(const backend_name& name) -> void;
  auto CheckMemory() const -> void;
  auto CheckAvailability() -> void;

 public:
  order_harness(bool honours_fencing, placement_options options);

  auto AddBackend(const std::string& name,
                  const std::string& site,
                  std::vector<std::uint64_t> capacities) -> void;
  auto PutRecord(const record_content& content) -> void;
  // Makes a backend server announce that it is leaving.
  auto Leave(const std::string& name) -> void;
  // Stops a backend server without an announcement.
  auto Kill(const std::string& name) -> void;
  auto Run(duration time) -> void;
  // Injects a fault at the given number of steps from now.
  auto InjectFault(std::uint64_t steps_from_now, order_fault fault) -> void;
  auto ClearFaults() -> void { faults_.clear(); }

  // Counts the accelerators of live engines that hold the version now.
  auto CountResident(const std::string& model, const std::string& version) const
      -> std::size_t;
  // True when no accelerator of the backend server holds a model.
  auto IsEmpty(const std::string& backend) const -> bool;
  auto get_orders() const -> std::uint64_t { return orders_; }
  auto get_steps() const -> std::uint64_t { return steps_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_ORDER_HARNESS_H_
