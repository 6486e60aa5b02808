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
constexpr auto kLate = milliseconds(500);
constexpr auto kVeryLate = milliseconds(2500);
constexpr auto kOutage = milliseconds(2500);
// The letter's limit from acceptance to being in force everywhere.
constexpr auto kInForceLimit = milliseconds(4000);

enum class config_fault {
  none,
  message_lost,
  message_late,
  message_very_late,
  message_repeated,
  entry_restarts,
  two_entries_restart,
  new_leader,
  voters_dead,
  entry_without_control,
  entry_cut_off,
  three_without_control,
  pair_isolated,
};

const auto kFaults =
    std::vector<config_fault>{config_fault::message_lost,
                              config_fault::message_late,
                              config_fault::message_very_late,
                              config_fault::message_repeated,
                              config_fault::entry_restarts,
                              config_fault::two_entries_restart,
                              config_fault::new_leader,
                              config_fault::voters_dead,
                              config_fault::entry_without_control,
                              config_fault::entry_cut_off,
                              config_fault::three_without_control,
                              config_fault::pair_isolated};

[[noreturn]] auto Breach(const std::string& what) -> void {
  throw std::logic_error(what);
}

// Entries and a control leader that keep a configuration current, over a fake
// network. The log's own safety has a matrix of its own.
class config_world {
  enum class flight_kind { poll, update, ask, confirm };
  struct flight {
    flight_kind kind = flight_kind::poll;
    mono_time arrives;
    std::uint64_t number = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t run = 0;  // of the entry that asked
    std::uint64_t sequence = 0;
    config_version version;
  };
  struct entry {
    std::unique_ptr<config_lease> lease;
    std::uint64_t run = 1;
    config_version version;
    config_version acted_on;  // newest that it ever used for a caller
    std::uint64_t sequence = 0;
    mono_time next_poll;
    mono_time next_ask;
    mono_time no_control_until;
    mono_time cut_until;
    mono_time island_until;  // reaches only others on the island
  };
  struct open_change {
    config_version version;
    std::optional<mono_time> accepted;
  };

  mono_time now_ = At(0);
  std::vector<entry> entries_;
  std::unique_ptr<entry_leases> leases_;
  mono_time leader_back_;
  config_version committed_{1};
  config_version in_force_;
  std::vector<open_change> changes_;
  mono_time next_change_;
  std::vector<flight> network_;
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
      change.accepted.reset();  // A new leader has to see it anew.
    }
  }

  auto HasLeader() const -> bool { return now_ >= leader_back_; }

  auto Send(flight item, duration latency) -> void {
    item.arrives = now_ + latency;
    item.number = next_number_++;
    network_.push_back(std::move(item));
  }

  auto Restart(std::size_t index) -> void {
    auto& item = entries_[index];
    ++item.run;
    item.version = config_version();
    item.lease = std::make_unique<config_lease>(GetName(index), kEntries);
  }

  auto IsOnIsland(std::size_t end) const -> bool {
    return end < kEntries && now_ < entries_[end].island_until;
  }

  auto IsCut(const flight& item) const -> bool {
    if (IsOnIsland(item.from) != IsOnIsland(item.to)) {
      return true;
    }
    const auto is_control =
        item.kind == flight_kind::poll || item.kind == flight_kind::update;
    for (const auto end : {item.from, item.to}) {
      if (end >= kEntries) {
        continue;
      }
      const auto& side = entries_[end];
      if (now_ < side.cut_until ||
          (is_control && now_ < side.no_control_until)) {
        return true;
      }
    }
    return false;
  }

  auto Deliver(const flight& item, config_fault fault) -> void {
    const auto near = std::min(item.from, kEntries - 1);
    switch (fault) {
      case config_fault::message_lost:
        return;
      case config_fault::message_late:
        Send(item, kLate);
        return;
      case config_fault::message_very_late:
        Send(item, kVeryLate);
        return;
      case config_fault::message_repeated:
        Send(item, kLatency);
        Send(item, kLate);
        break;
      case config_fault::entry_restarts:
        Restart(near);
        break;
      case config_fault::two_entries_restart:
        Restart(near);
        Restart((near + 1) % kEntries);
        break;
      case config_fault::new_leader:
        StartLeader();
        break;
      case config_fault::voters_dead:
        leader_back_ = now_ + kOutage;
        StartLeader();
        break;
      case config_fault::entry_without_control:
        entries_[near].no_control_until = now_ + kOutage;
        break;
      case config_fault::entry_cut_off:
        entries_[near].cut_until = now_ + kOutage;
        break;
      case config_fault::three_without_control:
        for (auto i = std::size_t{0}; i < 3; ++i) {
          entries_[(near + i) % kEntries].no_control_until = now_ + kOutage;
        }
        break;
      case config_fault::pair_isolated:
        entries_[near].island_until = now_ + kOutage;
        entries_[(near + 1) % kEntries].island_until = now_ + kOutage;
        break;
      case config_fault::none:
        break;
    }
    if (!IsCut(item)) {
      Receive(item);
    }
  }

  auto Receive(const flight& item) -> void {
    auto reply = item;
    std::swap(reply.from, reply.to);
    switch (item.kind) {
      case flight_kind::poll:
        if (!HasLeader()) {
          return;
        }
        leases_->OnPoll(GetName(item.from), item.version);
        reply.kind = flight_kind::update;
        reply.version = committed_;
        Send(std::move(reply), kLatency);
        break;
      case flight_kind::ask: {
        const auto& peer = entries_[item.to];
        if (peer.lease->is_uninitialised()) {
          return;
        }
        reply.kind = flight_kind::confirm;
        reply.version = std::max(item.version, peer.version);
        Send(std::move(reply), kLatency);
        break;
      }
      case flight_kind::update:
      case flight_kind::confirm: {
        auto& target = entries_[item.to];
        if (target.run != item.run) {
          return;
        }
        target.version = std::max(target.version, item.version);
        if (item.kind == flight_kind::update) {
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
      auto poll = flight();
      poll.from = index;
      poll.to = kEntries;
      poll.run = item.run;
      poll.sequence = ++item.sequence;
      poll.version = item.version;
      item.lease->OnPollSent(poll.sequence, now_);
      Send(std::move(poll), kLatency);
    }
    if (item.lease->NeedsConfirmation(now_) && now_ >= item.next_ask) {
      item.next_ask = now_ + kPoll;
      auto ask = flight();
      ask.kind = flight_kind::ask;
      ask.from = index;
      ask.run = item.run;
      ask.sequence = ++item.sequence;
      ask.version = item.version;
      item.lease->OnConfirmationRequested(ask.sequence, now_);
      for (auto peer = std::size_t{0}; peer < kEntries; ++peer) {
        if (peer != index) {
          ask.to = peer;
          Send(ask, kLatency);
        }
      }
    }
    if (!item.lease->IsCurrent(now_)) {
      return;
    }
    if (item.version < in_force_) {
      Breach("an entry acts on a configuration older than one in force");
    }
    if (item.version < item.acted_on) {
      Breach("an entry reverted to an older configuration");
    }
    item.acted_on = item.version;
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
        Breach("an accepted change is not in force in time");
      }
    }
    std::erase_if(changes_, [this](const open_change& change) {
      return change.version <= in_force_;
    });
  }

 public:
  config_world() {
    entries_.resize(kEntries);
    for (auto i = std::size_t{0}; i < kEntries; ++i) {
      Restart(i);
    }
    StartLeader();
  }

  auto Plan(std::uint64_t steps_from_now, config_fault fault) -> void {
    faults_[steps_ + steps_from_now] = fault;
  }

  auto Run(duration time) -> void {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += kTick;
      for (;;) {
        const auto first = std::min_element(
            network_.begin(), network_.end(), [](const auto& a, const auto& b) {
              return std::pair(a.arrives, a.number) <
                     std::pair(b.arrives, b.number);
            });
        if (first == network_.end() || first->arrives > now_) {
          break;
        }
        const auto item = *first;
        network_.erase(first);
        const auto planned = faults_.find(steps_++);
        Deliver(item, planned == faults_.end() ? config_fault::none
                                               : planned->second);
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
  auto KillVoters() -> void {
    leader_back_ = mono_time::max();
    StartLeader();
  }
  auto RestartEntry(std::size_t index) -> void { Restart(index); }
  auto CutFromControl(std::size_t index) -> void {
    entries_[index].no_control_until = mono_time::max();
  }
  auto CutOff(std::size_t index) -> void {
    entries_[index].cut_until = mono_time::max();
  }
  auto Isolate(std::size_t index) -> void {
    entries_[index].island_until = mono_time::max();
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
        auto world = config_world();
        world.Plan(step, fault);
        if (is_double) {
          world.Plan(step + 1,
                     kFaults[(step + static_cast<std::uint64_t>(cells)) %
                             kFaults.size()]);
        }
        try {
          world.Run(milliseconds(6000));
          BOOST_REQUIRE_EQUAL(world.CountCurrent(), kEntries);
          const auto before = world.get_in_force();
          world.Run(milliseconds(3000));
          BOOST_REQUIRE(world.get_in_force() > before);
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

BOOST_AUTO_TEST_CASE(routing_goes_on_while_all_voters_are_dead) {
  auto world = config_world();
  world.Run(milliseconds(3000));
  world.KillVoters();
  world.Run(milliseconds(10000));
  BOOST_TEST(world.CountCurrent() == kEntries);
}

BOOST_AUTO_TEST_CASE(an_entry_that_restarts_without_voters_stays_out) {
  auto world = config_world();
  world.Run(milliseconds(3000));
  world.KillVoters();
  world.Run(milliseconds(1000));
  world.RestartEntry(0);
  world.Run(milliseconds(5000));
  BOOST_TEST(world.CountCurrent() == kEntries - 1);
}

// In the next three the world itself checks that no entry acts on a
// configuration older than one in force.

BOOST_AUTO_TEST_CASE(a_change_that_most_entries_lack_is_not_in_force) {
  auto world = config_world();
  world.Run(milliseconds(3000));
  for (auto index = std::size_t{0}; index < 3; ++index) {
    world.CutFromControl(index);
  }
  world.Run(milliseconds(200));
  const auto before = world.get_in_force();
  world.Run(milliseconds(6000));
  BOOST_TEST(world.get_in_force().get() <= before.get() + 1);
  BOOST_TEST(world.CountCurrent() == kEntries);
}

BOOST_AUTO_TEST_CASE(a_minority_on_an_island_stops) {
  auto world = config_world();
  world.Run(milliseconds(3000));
  world.Isolate(0);
  world.Isolate(1);
  world.Run(milliseconds(6000));
  BOOST_TEST(world.CountCurrent() == kEntries - 2);
}

BOOST_AUTO_TEST_CASE(a_majority_that_forgot_confirms_nothing) {
  auto world = config_world();
  world.Run(milliseconds(3000));
  world.CutFromControl(0);
  world.CutFromControl(1);
  // Entries 2 to 4 take further changes; 0 and 1 learn them from these.
  world.Run(milliseconds(1000));
  world.Isolate(0);
  world.Isolate(1);
  world.Isolate(3);
  world.Isolate(4);
  world.Run(milliseconds(100));
  world.RestartEntry(3);
  world.RestartEntry(4);
  world.KillVoters();
  world.Run(milliseconds(6000));
  BOOST_TEST(world.CountCurrent() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
