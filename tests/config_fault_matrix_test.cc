#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>

#include "control/entry_leases.h"
#include "entry/config_lease.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntries = 5;
constexpr std::uint64_t kSteps = 120;
constexpr auto kTick = milliseconds(10);
constexpr auto kLatency = milliseconds(10);
constexpr auto kPoll = milliseconds(100);
constexpr auto kLease = milliseconds(800);
constexpr auto kChangeInterval = milliseconds(600);
constexpr auto kDelay = milliseconds(500);
constexpr auto kLongDelay = milliseconds(2500);
constexpr auto kOutage = milliseconds(2500);
// Limit from the acceptance of a change until it is in force at every entry.
constexpr auto kInForceLimit = milliseconds(4000);

enum class config_fault {
  none,
  message_lost,
  message_delayed,
  message_long_delayed,
  message_duplicated,
  entry_restarts,
  two_entries_restart,
  new_leader,
  no_voters,
  entry_without_control,
  entry_partitioned,
  three_without_control,
  pair_partitioned,
};

const auto kFaults =
    std::vector<config_fault>{config_fault::message_lost,
                              config_fault::message_delayed,
                              config_fault::message_long_delayed,
                              config_fault::message_duplicated,
                              config_fault::entry_restarts,
                              config_fault::two_entries_restart,
                              config_fault::new_leader,
                              config_fault::no_voters,
                              config_fault::entry_without_control,
                              config_fault::entry_partitioned,
                              config_fault::three_without_control,
                              config_fault::pair_partitioned};

[[noreturn]] auto FailInvariant(const std::string& message) -> void {
  throw std::logic_error(message);
}

// Runs entries and a control leader that propagate configuration changes, over
// a simulated network. Each message delivery is a step at which a fault can be
// injected. A violated invariant throws std::logic_error. Replication of the
// log is tested by raft_fault_matrix.
class config_harness {
  enum class message_kind { poll, update, confirmation_request, confirmation };
  struct in_flight_message {
    message_kind kind = message_kind::poll;
    mono_time arrives_at;
    std::uint64_t number = 0;  // orders equal arrival times
    std::size_t from = 0;      // index of an entry, kEntries for the leader
    std::size_t to = 0;
    std::uint64_t run = 0;  // incarnation of the requesting entry
    std::uint64_t sequence = 0;
    config_version version;
  };
  struct entry {
    std::unique_ptr<config_lease> lease;
    std::uint64_t run = 1;  // incarnation
    config_version version;
    config_version last_used;  // newest version used while it had a lease
    std::uint64_t sequence = 0;
    mono_time next_poll;
    mono_time next_confirmation;
    mono_time no_control_until;
    mono_time partitioned_until;
    // Until then, the entry reaches only entries for which this is also set.
    mono_time minority_until;
  };
  struct pending_change {
    config_version version;
    std::optional<mono_time> accepted;
  };

  mono_time now_ = At(0);
  std::vector<entry> entries_;
  std::unique_ptr<entry_leases> leases_;
  mono_time leader_starts_at_;
  config_version committed_{1};
  config_version in_force_;
  std::vector<pending_change> changes_;
  mono_time next_change_;
  std::vector<in_flight_message> network_;
  std::uint64_t next_number_ = 0;
  std::uint64_t steps_ = 0;
  std::map<std::uint64_t, config_fault> faults_;

  static auto GetName(std::size_t index) -> vm_name {
    return vm_name("e" + std::to_string(index));
  }

  auto StartLeader() -> void {
    auto names = std::vector<vm_name>();
    for (auto i = std::size_t{0}; i < kEntries; ++i) {
      names.push_back(GetName(i));
    }
    leases_ =
        std::make_unique<entry_leases>(entry_lease_options{kLease, 10}, names);
    for (auto& change : changes_) {
      change.accepted.reset();  // A new leader collects the acks again.
    }
  }

  auto HasLeader() const -> bool { return now_ >= leader_starts_at_; }

  auto Send(in_flight_message item, duration latency) -> void {
    item.arrives_at = now_ + latency;
    item.number = next_number_++;
    network_.push_back(std::move(item));
  }

  auto Restart(std::size_t index) -> void {
    auto& item = entries_[index];
    ++item.run;
    item.version = config_version();
    item.lease = std::make_unique<config_lease>(GetName(index), kEntries);
  }

  auto IsInMinority(std::size_t node) const -> bool {
    return node < kEntries && now_ < entries_[node].minority_until;
  }

  auto IsPartitioned(const in_flight_message& item) const -> bool {
    if (IsInMinority(item.from) != IsInMinority(item.to)) {
      return true;
    }
    const auto is_control =
        item.kind == message_kind::poll || item.kind == message_kind::update;
    for (const auto node : {item.from, item.to}) {
      if (node >= kEntries) {
        continue;
      }
      const auto& endpoint = entries_[node];
      if (now_ < endpoint.partitioned_until ||
          (is_control && now_ < endpoint.no_control_until)) {
        return true;
      }
    }
    return false;
  }

  auto Deliver(const in_flight_message& item, config_fault fault) -> void {
    const auto affected = std::min(item.from, kEntries - 1);
    switch (fault) {
      case config_fault::message_lost:
        return;
      case config_fault::message_delayed:
        Send(item, kDelay);
        return;
      case config_fault::message_long_delayed:
        Send(item, kLongDelay);
        return;
      case config_fault::message_duplicated:
        Send(item, kLatency);
        Send(item, kDelay);
        break;
      case config_fault::entry_restarts:
        Restart(affected);
        break;
      case config_fault::two_entries_restart:
        Restart(affected);
        Restart((affected + 1) % kEntries);
        break;
      case config_fault::new_leader:
        StartLeader();
        break;
      case config_fault::no_voters:
        leader_starts_at_ = now_ + kOutage;
        StartLeader();
        break;
      case config_fault::entry_without_control:
        entries_[affected].no_control_until = now_ + kOutage;
        break;
      case config_fault::entry_partitioned:
        entries_[affected].partitioned_until = now_ + kOutage;
        break;
      case config_fault::three_without_control:
        for (auto i = std::size_t{0}; i < 3; ++i) {
          entries_[(affected + i) % kEntries].no_control_until = now_ + kOutage;
        }
        break;
      case config_fault::pair_partitioned:
        entries_[affected].minority_until = now_ + kOutage;
        entries_[(affected + 1) % kEntries].minority_until = now_ + kOutage;
        break;
      case config_fault::none:
        break;
    }
    if (!IsPartitioned(item)) {
      Receive(item);
    }
  }

  auto Receive(const in_flight_message& item) -> void {
    auto reply = item;
    std::swap(reply.from, reply.to);
    switch (item.kind) {
      case message_kind::poll:
        if (!HasLeader()) {
          return;
        }
        leases_->OnPoll(GetName(item.from), item.version);
        reply.kind = message_kind::update;
        reply.version = committed_;
        Send(std::move(reply), kLatency);
        break;
      case message_kind::confirmation_request: {
        const auto& peer = entries_[item.to];
        if (peer.lease->is_uninitialised()) {
          return;
        }
        reply.kind = message_kind::confirmation;
        reply.version = std::max(item.version, peer.version);
        Send(std::move(reply), kLatency);
        break;
      }
      case message_kind::update:
      case message_kind::confirmation: {
        auto& target = entries_[item.to];
        if (target.run != item.run) {
          return;
        }
        target.version = std::max(target.version, item.version);
        if (item.kind == message_kind::update) {
          target.lease->OnLeaderLease(item.sequence, kLease);
        } else {
          target.lease->OnConfirmed(item.sequence, GetName(item.from));
        }
        break;
      }
    }
  }

  auto RunEntry(std::size_t index) -> void {
    auto& item = entries_[index];
    if (now_ >= item.next_poll) {
      item.next_poll = now_ + kPoll;
      auto poll = in_flight_message();
      poll.from = index;
      poll.to = kEntries;
      poll.run = item.run;
      poll.sequence = ++item.sequence;
      poll.version = item.version;
      item.lease->OnPollSent(poll.sequence, now_);
      Send(std::move(poll), kLatency);
    }
    if (item.lease->NeedsConfirmation(now_) && now_ >= item.next_confirmation) {
      item.next_confirmation = now_ + kPoll;
      auto request = in_flight_message();
      request.kind = message_kind::confirmation_request;
      request.from = index;
      request.run = item.run;
      request.sequence = ++item.sequence;
      request.version = item.version;
      item.lease->OnConfirmationRequested(request.sequence, now_);
      for (auto peer = std::size_t{0}; peer < kEntries; ++peer) {
        if (peer != index) {
          request.to = peer;
          Send(request, kLatency);
        }
      }
    }
    if (!item.lease->IsCurrent(now_)) {
      return;
    }
    if (item.version < in_force_) {
      FailInvariant("entry uses a configuration older than the one in force");
    }
    if (item.version < item.last_used) {
      FailInvariant("entry reverted to an older configuration");
    }
    item.last_used = item.version;
  }

  auto RunLeader() -> void {
    if (!HasLeader()) {
      return;
    }
    if (now_ >= next_change_) {
      next_change_ = now_ + kChangeInterval;
      committed_ = config_version(committed_.get() + 1);
      changes_.push_back({committed_, std::nullopt});
    }
    for (auto& change : changes_) {
      if (!change.accepted && leases_->IsAccepted(change.version)) {
        change.accepted = now_;
      }
      if (change.accepted &&
          leases_->IsInForce(change.version, *change.accepted, now_)) {
        in_force_ = std::max(in_force_, change.version);
      } else if (change.accepted && now_ > *change.accepted + kInForceLimit) {
        FailInvariant("accepted change is not in force within the limit");
      }
    }
    std::erase_if(changes_, [this](const pending_change& change) {
      return change.version <= in_force_;
    });
  }

 public:
  config_harness() {
    entries_.resize(kEntries);
    for (auto i = std::size_t{0}; i < kEntries; ++i) {
      Restart(i);
    }
    StartLeader();
  }

  // Injects a fault at the delivery `steps_from_now` deliveries ahead.
  auto InjectFault(std::uint64_t steps_from_now, config_fault fault) -> void {
    faults_[steps_ + steps_from_now] = fault;
  }

  auto Run(duration time) -> void {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += kTick;
      for (;;) {
        const auto first = std::min_element(
            network_.begin(), network_.end(), [](const auto& a, const auto& b) {
              return std::pair(a.arrives_at, a.number) <
                     std::pair(b.arrives_at, b.number);
            });
        if (first == network_.end() || first->arrives_at > now_) {
          break;
        }
        const auto item = *first;
        network_.erase(first);
        const auto injected = faults_.find(steps_++);
        Deliver(item, injected == faults_.end() ? config_fault::none
                                                : injected->second);
      }
      RunLeader();
      for (auto i = std::size_t{0}; i < kEntries; ++i) {
        RunEntry(i);
      }
    }
  }

  auto CountCurrent() const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [this](const entry& item) { return item.lease->IsCurrent(now_); }));
  }
  // Stops the control leader for the rest of the run.
  auto StopVoters() -> void {
    leader_starts_at_ = mono_time::max();
    StartLeader();
  }
  auto RestartEntry(std::size_t index) -> void { Restart(index); }
  auto PartitionFromControl(std::size_t index) -> void {
    entries_[index].no_control_until = mono_time::max();
  }
  auto PartitionFromAll(std::size_t index) -> void {
    entries_[index].partitioned_until = mono_time::max();
  }
  // Lets the entry reach only other entries that were isolated.
  auto Isolate(std::size_t index) -> void {
    entries_[index].minority_until = mono_time::max();
  }
  auto get_in_force() const -> config_version { return in_force_; }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(config_fault_matrix)

BOOST_AUTO_TEST_CASE(configuration) {
  auto cells = 0;
  for (const auto fault : kFaults) {
    for (auto step = std::uint64_t{0}; step < kSteps; ++step) {
      for (const auto is_double : {false, true}) {
        auto harness = config_harness();
        harness.InjectFault(step, fault);
        if (is_double) {
          harness.InjectFault(
              step + 1, kFaults[(step + static_cast<std::uint64_t>(cells)) %
                                kFaults.size()]);
        }
        try {
          harness.Run(milliseconds(6000));
          BOOST_REQUIRE_EQUAL(harness.CountCurrent(), kEntries);
          const auto before = harness.get_in_force();
          harness.Run(milliseconds(3000));
          BOOST_REQUIRE(harness.get_in_force() > before);
        } catch (...) {
          BOOST_TEST_MESSAGE("cell failed: step "
                             << step << " fault " << static_cast<int>(fault)
                             << " double " << is_double << ": "
                             << GetCurrentError());
          throw;
        }
        ++cells;
      }
    }
  }
  BOOST_TEST_MESSAGE("configuration: " << cells << " cells");
}

BOOST_AUTO_TEST_CASE(entries_stay_current_without_voters) {
  auto harness = config_harness();
  harness.Run(milliseconds(3000));
  harness.StopVoters();
  harness.Run(milliseconds(10000));
  BOOST_TEST(harness.CountCurrent() == kEntries);
}

BOOST_AUTO_TEST_CASE(restarted_entry_is_not_current_without_voters) {
  auto harness = config_harness();
  harness.Run(milliseconds(3000));
  harness.StopVoters();
  harness.Run(milliseconds(1000));
  harness.RestartEntry(0);
  harness.Run(milliseconds(5000));
  BOOST_TEST(harness.CountCurrent() == kEntries - 1);
}

// In the next three tests the harness checks that no entry uses a configuration
// older than the one in force.

BOOST_AUTO_TEST_CASE(change_missing_at_a_majority_is_not_in_force) {
  auto harness = config_harness();
  harness.Run(milliseconds(3000));
  for (auto index = std::size_t{0}; index < 3; ++index) {
    harness.PartitionFromControl(index);
  }
  harness.Run(milliseconds(200));
  const auto before = harness.get_in_force();
  harness.Run(milliseconds(6000));
  BOOST_TEST(harness.get_in_force().get() <= before.get() + 1);
  BOOST_TEST(harness.CountCurrent() == kEntries);
}

BOOST_AUTO_TEST_CASE(partitioned_minority_is_not_current) {
  auto harness = config_harness();
  harness.Run(milliseconds(3000));
  harness.Isolate(0);
  harness.Isolate(1);
  harness.Run(milliseconds(6000));
  BOOST_TEST(harness.CountCurrent() == kEntries - 2);
}

BOOST_AUTO_TEST_CASE(restarted_majority_does_not_confirm) {
  auto harness = config_harness();
  harness.Run(milliseconds(3000));
  harness.PartitionFromControl(0);
  harness.PartitionFromControl(1);
  // Entries 2 to 4 receive further changes from the leader, 0 and 1 from them.
  harness.Run(milliseconds(1000));
  harness.Isolate(0);
  harness.Isolate(1);
  harness.Isolate(3);
  harness.Isolate(4);
  harness.Run(milliseconds(100));
  harness.RestartEntry(3);
  harness.RestartEntry(4);
  harness.StopVoters();
  harness.Run(milliseconds(6000));
  BOOST_TEST(harness.CountCurrent() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
