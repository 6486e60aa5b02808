#include "tests/order_harness.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kTick = milliseconds(10);
constexpr auto kLatency = milliseconds(5);
constexpr auto kLoadTime = milliseconds(150);
constexpr auto kAnnounceInterval = milliseconds(50);
constexpr auto kMaxDeliveryDelay = milliseconds(2000);
constexpr auto kRetryInterval = milliseconds(200);
constexpr auto kOrderTimeout = milliseconds(300);
constexpr auto kSuspectTimeout = milliseconds(400);
constexpr auto kPlacementInterval = milliseconds(50);
constexpr auto kFreezeTime = milliseconds(900);
// For engines that ignore fencing numbers, a late copy arrives within the
// documented maximum delivery delay. Engines that check them must tolerate any
// delay.
constexpr auto kLateDelay = milliseconds(1500);
constexpr auto kVeryLateDelay = milliseconds(6000);

[[noreturn]] auto ThrowViolation(const std::string& what) -> void {
  throw std::logic_error(what);
}

}  // namespace

order_harness::order_harness(bool honours_fencing, placement_options options)
    : honours_fencing_(honours_fencing),
      max_delivery_delay_(kMaxDeliveryDelay),
      now_(At(0)),
      placement_(options) {
  StartLeader();
}

auto order_harness::Apply(const control_command& command) -> void {
  state_.ApplyCommand(command, config_version(++version_));
}

auto order_harness::StartLeader() -> void {
  ++generation_;
  dispatcher_ = std::make_unique<order_dispatcher>(
      order_dispatcher_options{kRetryInterval, kOrderTimeout,
                               max_delivery_delay_},
      now_);
  failure_detector_ = std::make_unique<failure_detector>(
      failure_detector_options{kSuspectTimeout, 1}, now_);
  reports_.clear();
}

auto order_harness::AddBackend(const std::string& name,
                               const std::string& site,
                               std::vector<std::uint64_t> capacities) -> void {
  auto& engine = engines_[backend_name(name)];
  engine.info = MakeBackend(name, 1, capacities, site);
  engine.info.checks_fencing = honours_fencing_;
  engine.info.sequence = 0;
  for (const auto capacity : capacities) {
    auto accelerator = fake_accelerator();
    accelerator.capacity = capacity;
    engine.accelerators.push_back(std::move(accelerator));
  }
}

auto order_harness::PutRecord(const record_content& content) -> void {
  const auto id = change_id("put" + std::to_string(version_));
  Apply(put_record_command{id, content});
  if (!state_.GetOutcome(id)->applied) {
    ThrowViolation("the record was rejected: " +
                   state_.GetOutcome(id)->message);
  }
}

auto order_harness::Leave(const std::string& name) -> void {
  engines_.at(backend_name(name)).info.leaving = true;
}

auto order_harness::Kill(const std::string& name) -> void {
  engines_.at(backend_name(name)).is_dead = true;
  checks_availability_ = false;
}

auto order_harness::Send(message item, duration latency) -> void {
  item.arrives = now_ + latency;
  item.sequence = next_sequence_++;
  in_flight_.push_back(std::move(item));
}

auto order_harness::Announce(fake_backend& engine) -> void {
  engine.next_announcement = now_ + kAnnounceInterval;
  ++engine.info.sequence;
  auto item = message();
  item.kind = message_kind::report;
  item.report = engine.info;
  item.report.accelerators.clear();
  for (const auto& accelerator : engine.accelerators) {
    item.report.accelerators.push_back({mebibytes(accelerator.capacity),
                                        accelerator.residents,
                                        accelerator.applied});
  }
  Send(std::move(item), kLatency);
}

auto order_harness::PopDueMessage() -> std::optional<message> {
  const auto first = std::min_element(
      in_flight_.begin(), in_flight_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.arrives, a.sequence) <
               std::pair(b.arrives, b.sequence);
      });
  if (first == in_flight_.end() || first->arrives > now_) {
    return std::nullopt;
  }
  auto item = std::move(*first);
  in_flight_.erase(first);
  return item;
}

auto order_harness::Restart(const backend_name& name) -> void {
  auto& engine = engines_.at(name);
  engine.info.run = incarnation(engine.info.run.get() + 1);
  engine.info.sequence = 0;
  for (auto& accelerator : engine.accelerators) {
    const auto capacity = accelerator.capacity;
    accelerator = fake_accelerator();
    accelerator.capacity = capacity;
  }
  checks_availability_ = false;
}

auto order_harness::ReceiveOrder(const message& item) -> void {
  auto& engine = engines_.at(item.body.backend);
  if (engine.is_dead) {
    return;
  }
  auto& accelerator = engine.accelerators[item.body.accelerator.get()];
  const auto is_rejected =
      honours_fencing_ && item.body.id < accelerator.highest;
  const auto is_known =
      accelerator.applied == item.body.id ||
      (accelerator.loading && accelerator.loading->id == item.body.id);
  if (!is_rejected && !is_known) {
    accelerator.highest = std::max(accelerator.highest, item.body.id);
    accelerator.loading = item.body;
    accelerator.loading_until = now_ + kLoadTime;
  }
  auto answer = message();
  answer.kind = message_kind::answer;
  answer.leader = item.leader;
  answer.body = item.body;
  Send(std::move(answer), kLatency);
}

auto order_harness::ReceiveReport(const backend_announcement& report) -> void {
  failure_detector_->OnEntryPoll(vm_name("e"), now_);
  failure_detector_->OnReachable(vm_name("e"), report.name, report.run, now_);
  auto& newest = reports_[report.name];
  if (std::pair(report.run, report.sequence) <
      std::pair(newest.run, newest.sequence)) {
    return;
  }
  newest = report;
  const auto& backends = state_.get_data().backends;
  const auto known = backends.find(report.name);
  const auto is_changed = known == backends.end() || known->second.suspected ||
                          known->second.info.run < report.run ||
                          known->second.info.leaving != report.leaving;
  if (is_changed) {
    Apply(put_backend_command{report});
  }
}

// Reports to the sender, after the timeout, that an exchange failed.
auto order_harness::FailExchange(const message& item) -> void {
  auto failed = message();
  failed.kind = message_kind::answer;
  failed.leader = item.leader;
  failed.body = item.body;
  failed.is_answered = false;
  Send(std::move(failed), kOrderTimeout);
}

auto order_harness::Deliver(message item, order_fault fault) -> void {
  const auto is_order = item.kind == message_kind::order;
  switch (fault) {
    case order_fault::message_lost:
    case order_fault::answer_lost:
      if (is_order && fault == order_fault::answer_lost) {
        ReceiveOrder(item);
        in_flight_.pop_back();
      }
      if (is_order) {
        FailExchange(item);
      }
      return;
    case order_fault::message_delayed: {
      if (is_order) {
        FailExchange(item);
      }
      const auto late =
          honours_fencing_ || !is_order ? kVeryLateDelay : kLateDelay;
      Send(std::move(item), late);
      return;
    }
    case order_fault::message_reordered:
      Send(std::move(item), 4 * kLatency);
      return;
    case order_fault::message_duplicated: {
      // TCP delivers an order to an engine at most once, so orders are
      // duplicated only at engines that check fencing numbers. Reports always
      // can be.
      if (honours_fencing_ || !is_order) {
        Send(item, kLatency);
        Send(item, kVeryLateDelay);
      }
      break;
    }
    case order_fault::engine_restart:
      if (is_order) {
        Restart(item.body.backend);
      } else if (item.kind == message_kind::report) {
        Restart(item.report.name);
        return;
      }
      break;
    case order_fault::leader_crash:
      StartLeader();
      break;
    case order_fault::deposed_leader_sends: {
      // The former leader checked its leadership, paused, and sends after it
      // was deposed.
      if (is_order) {
        Send(item, honours_fencing_ ? kVeryLateDelay : kLateDelay);
      }
      StartLeader();
      break;
    }
    case order_fault::leader_freeze:
      frozen_until_ = now_ + kFreezeTime;
      break;
    case order_fault::none:
      break;
  }
  switch (item.kind) {
    case message_kind::order:
      ReceiveOrder(item);
      break;
    case message_kind::report:
      ReceiveReport(item.report);
      break;
    case message_kind::answer:
      if (item.leader != generation_) {
        break;
      }
      if (item.is_answered) {
        dispatcher_->OnAnswered(item.body.id);
      } else {
        dispatcher_->OnFailed(item.body.id, now_);
      }
      break;
  }
}

auto order_harness::RunEngines() -> void {
  for (auto& [name, engine] : engines_) {
    for (auto& accelerator : engine.accelerators) {
      if (accelerator.loading && now_ >= accelerator.loading_until) {
        accelerator.residents = accelerator.loading->target;
        accelerator.applied = accelerator.loading->id;
        accelerator.loading.reset();
      }
    }
    if (!engine.is_dead && now_ >= engine.next_announcement) {
      Announce(engine);
    }
    if (engine.is_dead) {
      failure_detector_->OnUnreachable(vm_name("e"), name, engine.info.run,
                                       now_);
    }
  }
}

auto order_harness::RunLeader() -> void {
  if (now_ < frozen_until_) {
    return;
  }
  failure_detector_->OnEntryPoll(vm_name("e"), now_);
  for (const auto& suspect :
       failure_detector_->FindSuspects(state_.get_data(), now_)) {
    Apply(suspect);
  }
  for (const auto& [name, report] : reports_) {
    for (const auto& resolution :
         dispatcher_->FindResolutions(state_.get_data(), report, now_)) {
      Apply(resolution);
    }
  }
  if (now_ >= next_placement_) {
    next_placement_ = now_ + kPlacementInterval;
    for (const auto& issue :
         placement_.Plan(state_.get_data(), {}, SIZE_MAX / 2).orders) {
      Apply(issue);
      ++orders_;
    }
  }
  for (const auto& send : dispatcher_->StartDueSends(state_.get_data(), now_)) {
    auto item = message();
    item.kind = message_kind::order;
    item.leader = generation_;
    item.body = send.body;
    Send(std::move(item), kLatency);
  }
  dispatcher_->PruneClosed(state_.get_data());
}

auto order_harness::CheckMemory() const -> void {
  for (const auto& [name, engine] : engines_) {
    for (const auto& accelerator : engine.accelerators) {
      auto held = accelerator.residents;
      if (accelerator.loading) {
        held = MergeResidents(held, accelerator.loading->target);
      }
      if (SumMemory(held).get() > accelerator.capacity) {
        ThrowViolation("an accelerator of " + name.get() +
                       " exceeds its capacity");
      }
    }
  }
  for (const auto& [name, backend] : state_.get_data().backends) {
    for (const auto& ledger : backend.accelerators) {
      if (ledger.GetWorstCase() > ledger.get_capacity()) {
        ThrowViolation("the ledger of " + name.get() +
                       " reserves more than the capacity");
      }
    }
  }
}

auto order_harness::CheckAvailability() -> void {
  for (const auto& [record, entry] : state_.get_data().records) {
    for (const auto& model : entry.effective.models) {
      const auto& name = model.key.model;
      auto is_available = false;
      for (const auto& [backend, known] : state_.get_data().backends) {
        if (!known.is_usable() && !known.is_leaving()) {
          continue;
        }
        for (auto i = std::size_t{0}; i < known.accelerators.size(); ++i) {
          const auto& actual = engines_.at(backend).accelerators[i].residents;
          for (const auto& item : known.accelerators[i].GetGuaranteed()) {
            const auto is_resident = std::any_of(
                actual.begin(), actual.end(),
                [&item](const auto& other) { return other.key == item.key; });
            is_available =
                is_available || (is_resident && item.key.model == name);
          }
        }
      }
      if (is_available) {
        available_models_.insert(name);
      } else if (checks_availability_ && available_models_.contains(name)) {
        ThrowViolation("no replica of model " + name.get() + " is available");
      }
    }
  }
}

auto order_harness::Run(duration time) -> void {
  const auto end = now_ + time;
  while (now_ < end) {
    now_ += kTick;
    while (auto item = PopDueMessage()) {
      const auto planned = faults_.find(steps_++);
      Deliver(std::move(*item),
              planned == faults_.end() ? order_fault::none : planned->second);
      CheckMemory();
      CheckAvailability();
    }
    RunEngines();
    RunLeader();
    CheckMemory();
    CheckAvailability();
  }
}

auto order_harness::InjectFault(std::uint64_t steps_from_now, order_fault fault)
    -> void {
  faults_[steps_ + steps_from_now] = fault;
}

auto order_harness::CountResident(const std::string& model,
                                  const std::string& version) const
    -> std::size_t {
  const auto key = replica_key{model_name(model), version_name(version)};
  auto count = std::size_t{0};
  for (const auto& [name, engine] : engines_) {
    if (engine.is_dead) {
      continue;
    }
    for (const auto& accelerator : engine.accelerators) {
      count += static_cast<std::size_t>(std::count_if(
          accelerator.residents.begin(), accelerator.residents.end(),
          [&key](const auto& item) { return item.key == key; }));
    }
  }
  return count;
}

auto order_harness::IsEmpty(const std::string& backend) const -> bool {
  const auto& engine = engines_.at(backend_name(backend));
  return std::all_of(
      engine.accelerators.begin(), engine.accelerators.end(),
      [](const auto& accelerator) { return accelerator.residents.empty(); });
}

}  // namespace ebony::testing
