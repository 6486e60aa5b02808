#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <sstream>

#include "tests/raft_harness.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSteps = 120;
constexpr int kRecords = 6;

const auto kFaults = std::vector<raft_fault>{
    raft_fault::message_lost,
    raft_fault::message_late,
    raft_fault::message_repeated,
    raft_fault::message_reordered,
    raft_fault::crash_before_sync,
    raft_fault::crash_after_sync,
    raft_fault::restart_at_once,
    raft_fault::cut_one_way,
    raft_fault::cut_both_ways,
    raft_fault::clock_jump,
    raft_fault::freeze,
};

struct matrix_cell {
  raft_fault first = raft_fault::none;
  std::uint64_t step = 0;
  raft_fault second = raft_fault::none;  // right after the first
};

// Operators who race under equal revisions and resend until answered.
class operator_pair {
  raft_harness& world_;
  std::vector<change_outcome> answered_;

  static auto MakeChange(int round, const std::string& who)
      -> put_record_command {
    return {change_id(who + std::to_string(round)),
            MakeRecord("r", static_cast<std::uint64_t>(round),
                       {MakeModel("model-" + who, 1)})};
  }

 public:
  explicit operator_pair(raft_harness& world) : world_(world) {}

  auto Race(int round) -> void {
    for (auto tries = 0; tries < 40; ++tries) {
      const auto a = world_.FindOutcome(MakeChange(round, "a").id);
      const auto b = world_.FindOutcome(MakeChange(round, "b").id);
      if (a && b) {
        answered_.push_back(*a);
        answered_.push_back(*b);
        BOOST_REQUIRE(a->applied != b->applied);
        return;
      }
      world_.Propose(MakeChange(round, "a"));
      world_.Propose(MakeChange(round, "b"));
      world_.Run(milliseconds(100));
    }
    BOOST_REQUIRE_MESSAGE(false, "no answer in time");
  }

  // Every answer that was given still stands.
  auto CheckAnswers() const -> void {
    for (const auto& outcome : answered_) {
      const auto now = world_.FindOutcome(outcome.id);
      BOOST_REQUIRE(now.has_value());
      BOOST_REQUIRE(now->applied == outcome.applied);
      BOOST_REQUIRE(now->version == outcome.version);
    }
  }
};

auto PlanCell(raft_harness& world, const matrix_cell& cell) -> void {
  world.Plan(cell.step, cell.first);
  if (cell.second != raft_fault::none) {
    world.Plan(cell.step + 1, cell.second);
  }
}

auto Settle(raft_harness& world) -> void {
  world.Run(milliseconds(2500));
  world.Heal();
  world.Run(milliseconds(2500));
  BOOST_REQUIRE(world.FindLeader().has_value());
}

auto RunElection(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto world = raft_harness(3, seed);
  auto operators = operator_pair(world);
  PlanCell(world, cell);
  Settle(world);
  operators.Race(0);
  operators.CheckAnswers();
}

auto RunRecordChange(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto world = raft_harness(3, seed);
  auto operators = operator_pair(world);
  world.Run(milliseconds(1000));
  PlanCell(world, cell);
  for (auto round = 0; round < kRecords; ++round) {
    operators.Race(round);
  }
  Settle(world);
  operators.Race(kRecords);
  operators.CheckAnswers();
}

auto RunSnapshotInstall(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto world = raft_harness(3, seed);
  auto operators = operator_pair(world);
  world.Run(milliseconds(1000));
  operators.Race(0);
  const auto leader = *world.FindLeader();
  // One voter loses its disk while the others drop the log that it lacks.
  const auto lost =
      leader == node_id("c1.first") ? node_id("c2.first") : node_id("c1.first");
  world.Kill(lost);
  operators.Race(1);
  operators.Race(2);
  world.Compact();
  world.ReplaceDisk(lost, node_id(lost.get().substr(0, 2) + ".second"));
  PlanCell(world, cell);
  operators.Race(3);
  Settle(world);
  operators.Race(4);
  operators.CheckAnswers();
}

auto RunVoterReplacement(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto world = raft_harness(3, seed);
  auto operators = operator_pair(world);
  world.Run(milliseconds(1000));
  operators.Race(0);
  const auto lost = *world.FindLeader();
  const auto fresh = node_id(lost.get().substr(0, 2) + ".second");
  world.ReplaceDisk(lost, fresh);
  PlanCell(world, cell);
  world.Run(milliseconds(1500));
  operators.Race(1);
  Settle(world);
  operators.Race(2);
  const auto group = world.GetGroup();
  BOOST_REQUIRE_EQUAL(group.voters.size(), 3U);
  // A second VM is lost right after the repair: every answer stands.
  for (const auto& id : group.voters) {
    if (id != fresh) {
      world.Kill(id);
      break;
    }
  }
  world.Run(milliseconds(2500));
  operators.Race(3);
  operators.CheckAnswers();
}

using scenario =
    std::function<void(const matrix_cell& cell, std::uint64_t seed)>;

auto RunCell(const scenario& body, const matrix_cell& cell, std::uint64_t seed)
    -> void {
  try {
    body(cell, seed);
  } catch (...) {
    BOOST_TEST_MESSAGE("cell failed: seed "
                       << seed << " step " << cell.step << " fault "
                       << static_cast<int>(cell.first) << " second "
                       << static_cast<int>(cell.second) << ": "
                       << GetCurrentError());
    throw;
  }
}

auto RunMatrix(const std::string& name, const scenario& body) -> void {
  auto cells = 0;
  for (const auto fault : kFaults) {
    for (auto step = std::uint64_t{0}; step < kSteps; ++step) {
      RunCell(body, {fault, step, raft_fault::none}, step + 1);
      ++cells;
      // A second fault right after the first, rotating over all kinds.
      const auto second = kFaults[(step + cells) % kFaults.size()];
      RunCell(body, {fault, step, second}, step + 1);
      ++cells;
    }
  }
  BOOST_TEST_MESSAGE(name << ": " << cells << " cells");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(raft_fault_matrix)

BOOST_AUTO_TEST_CASE(election) {
  RunMatrix("election", RunElection);
}

BOOST_AUTO_TEST_CASE(record_change) {
  RunMatrix("record change", RunRecordChange);
}

BOOST_AUTO_TEST_CASE(snapshot_install) {
  RunMatrix("snapshot install", RunSnapshotInstall);
}

BOOST_AUTO_TEST_CASE(voter_replacement) {
  RunMatrix("voter replacement", RunVoterReplacement);
}

// Several faults at random steps of an election, where votes cross.
BOOST_AUTO_TEST_CASE(crossing_votes) {
  constexpr auto kSeeds = std::uint64_t{12000};
  constexpr auto kFaultsPerRun = 4;
  constexpr auto kFirstSteps = std::uint64_t{24};
  for (auto seed = std::uint64_t{1}; seed <= kSeeds; ++seed) {
    auto random = std::mt19937_64(seed);
    auto world = raft_harness(3, seed);
    for (auto i = 0; i < kFaultsPerRun; ++i) {
      world.Plan(random() % kFirstSteps, kFaults[random() % kFaults.size()]);
    }
    try {
      world.Run(milliseconds(2500));
    } catch (...) {
      BOOST_TEST_MESSAGE("cell failed: seed " << seed << ": "
                                              << GetCurrentError());
      throw;
    }
    BOOST_REQUIRE_GT(world.get_steps(), 0U);
  }
  BOOST_TEST_MESSAGE("crossing votes: " << kSeeds << " cells");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
