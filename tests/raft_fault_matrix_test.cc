#include <algorithm>
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
    raft_fault::message_lost,        raft_fault::message_delayed,
    raft_fault::message_duplicated,  raft_fault::message_reordered,
    raft_fault::crash_before_sync,   raft_fault::crash_after_sync,
    raft_fault::restart_immediately, raft_fault::partition_one_way,
    raft_fault::partition_both_ways, raft_fault::clock_jump,
    raft_fault::process_pause,
};

struct matrix_cell {
  raft_fault first = raft_fault::none;
  std::uint64_t step = 0;
  raft_fault second = raft_fault::none;  // at the step after the first
};

// Two operators that change the same revision concurrently and retry until both
// changes have an outcome.
class competing_operators {
  raft_harness& harness_;
  std::vector<change_outcome> outcomes_;

  static auto MakeChange(int round, const std::string& operator_name)
      -> put_record_command {
    return {change_id(operator_name + std::to_string(round)),
            MakeRecord("r", static_cast<std::uint64_t>(round),
                       {MakeModel("model-" + operator_name, 1)})};
  }

 public:
  explicit competing_operators(raft_harness& harness) : harness_(harness) {}

  auto SubmitConcurrently(int round) -> void {
    for (auto tries = 0; tries < 40; ++tries) {
      const auto a = harness_.FindOutcome(MakeChange(round, "a").id);
      const auto b = harness_.FindOutcome(MakeChange(round, "b").id);
      if (a && b) {
        outcomes_.push_back(*a);
        outcomes_.push_back(*b);
        BOOST_REQUIRE(a->applied != b->applied);
        return;
      }
      harness_.Propose(MakeChange(round, "a"));
      harness_.Propose(MakeChange(round, "b"));
      harness_.Run(milliseconds(100));
    }
    BOOST_REQUIRE_MESSAGE(false,
                          "the changes have no outcome after all retries");
  }

  // Checks that each outcome that was observed is unchanged.
  auto CheckOutcomes() const -> void {
    for (const auto& outcome : outcomes_) {
      const auto current = harness_.FindOutcome(outcome.id);
      BOOST_REQUIRE(current.has_value());
      BOOST_REQUIRE(current->applied == outcome.applied);
      BOOST_REQUIRE(current->version == outcome.version);
    }
  }
};

auto InjectCellFaults(raft_harness& harness, const matrix_cell& cell) -> void {
  harness.InjectFault(cell.step, cell.first);
  if (cell.second != raft_fault::none) {
    harness.InjectFault(cell.step + 1, cell.second);
  }
}

auto HealAndSettle(raft_harness& harness) -> void {
  harness.Run(milliseconds(2500));
  harness.Heal();
  harness.Run(milliseconds(2500));
  BOOST_REQUIRE(harness.FindLeader().has_value());
}

auto RunElection(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto harness = raft_harness(3, seed);
  auto operators = competing_operators(harness);
  InjectCellFaults(harness, cell);
  HealAndSettle(harness);
  operators.SubmitConcurrently(0);
  operators.CheckOutcomes();
}

auto RunRecordChange(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto harness = raft_harness(3, seed);
  auto operators = competing_operators(harness);
  harness.Run(milliseconds(1000));
  InjectCellFaults(harness, cell);
  for (auto round = 0; round < kRecords; ++round) {
    operators.SubmitConcurrently(round);
  }
  HealAndSettle(harness);
  operators.SubmitConcurrently(kRecords);
  operators.CheckOutcomes();
}

auto RunSnapshotInstall(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto harness = raft_harness(3, seed);
  auto operators = competing_operators(harness);
  harness.Run(milliseconds(1000));
  operators.SubmitConcurrently(0);
  const auto leader = *harness.FindLeader();
  // One voter loses its disk and the others compact the entries that it lacks,
  // so it has to receive a snapshot.
  const auto lost =
      leader == node_id("c1.first") ? node_id("c2.first") : node_id("c1.first");
  harness.Kill(lost);
  operators.SubmitConcurrently(1);
  operators.SubmitConcurrently(2);
  harness.Compact();
  harness.ReplaceDisk(lost, node_id(lost.get().substr(0, 2) + ".second"));
  InjectCellFaults(harness, cell);
  operators.SubmitConcurrently(3);
  HealAndSettle(harness);
  operators.SubmitConcurrently(4);
  operators.CheckOutcomes();
}

auto RunVoterReplacement(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto harness = raft_harness(3, seed);
  auto operators = competing_operators(harness);
  harness.Run(milliseconds(1000));
  operators.SubmitConcurrently(0);
  const auto lost = *harness.FindLeader();
  const auto replacement = node_id(lost.get().substr(0, 2) + ".second");
  harness.ReplaceDisk(lost, replacement);
  InjectCellFaults(harness, cell);
  harness.Run(milliseconds(1500));
  operators.SubmitConcurrently(1);
  HealAndSettle(harness);
  operators.SubmitConcurrently(2);
  const auto group = harness.GetGroup();
  BOOST_REQUIRE_EQUAL(group.voters.size(), 3U);
  BOOST_REQUIRE_EQUAL(
      std::count(group.voters.begin(), group.voters.end(), lost), 0);
  // A second VM is lost directly after the repair; no outcome may be lost.
  for (const auto& id : group.voters) {
    if (id != replacement) {
      harness.Kill(id);
      break;
    }
  }
  harness.Run(milliseconds(2500));
  operators.SubmitConcurrently(3);
  operators.CheckOutcomes();
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
      // A second fault at the next step, rotating over all kinds.
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

// Injects several faults at random steps of an election, where vote requests of
// concurrent candidates cross.
BOOST_AUTO_TEST_CASE(crossing_votes) {
  constexpr auto kSeeds = std::uint64_t{12000};
  constexpr auto kFaultsPerRun = 4;
  constexpr auto kFirstSteps = std::uint64_t{24};
  for (auto seed = std::uint64_t{1}; seed <= kSeeds; ++seed) {
    auto random = std::mt19937_64(seed);
    auto harness = raft_harness(3, seed);
    for (auto i = 0; i < kFaultsPerRun; ++i) {
      harness.InjectFault(random() % kFirstSteps,
                          kFaults[random() % kFaults.size()]);
    }
    try {
      harness.Run(milliseconds(2500));
    } catch (...) {
      BOOST_TEST_MESSAGE("cell failed: seed " << seed << ": "
                                              << GetCurrentError());
      throw;
    }
    BOOST_REQUIRE_GT(harness.get_steps(), 0U);
  }
  BOOST_TEST_MESSAGE("crossing votes: " << kSeeds << " cells");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
