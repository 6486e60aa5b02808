#include <boost/test/unit_test.hpp>
#include <functional>

#include "tests/order_harness.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// Number of steps at which faults are injected.
constexpr std::uint64_t kSteps = 80;

const auto kFaults = std::vector<order_fault>{
    order_fault::message_lost,       order_fault::message_delayed,
    order_fault::message_duplicated, order_fault::message_reordered,
    order_fault::answer_lost,        order_fault::engine_restart,
    order_fault::leader_crash,       order_fault::deposed_leader_sends,
    order_fault::leader_freeze,
};

struct matrix_cell {
  bool honours_fencing = true;
  order_fault first = order_fault::none;
  std::uint64_t step = 0;
  order_fault second = order_fault::none;
};

auto MakeModels(const std::string& version) -> std::vector<model_spec> {
  return {MakeModel("a", 40, 1, version), MakeModel("b", 30, 1, version),
          MakeModel("c", 20, 1, version)};
}

auto MakeHarness(const matrix_cell& cell) -> order_harness {
  auto options = placement_options();
  options.loads_at_once = 4;
  auto harness = order_harness(cell.honours_fencing, options);
  harness.AddBackend("x", "dc1", {100});
  harness.AddBackend("y", "dc2", {100});
  harness.AddBackend("z", "dc3", {100});
  return harness;
}

auto InjectFaults(order_harness& harness, const matrix_cell& cell) -> void {
  harness.InjectFault(cell.step, cell.first);
  if (cell.second != order_fault::none) {
    harness.InjectFault(cell.step + 1, cell.second);
  }
}

auto Settle(order_harness& harness) -> void {
  harness.Run(milliseconds(8000));
  harness.ClearFaults();
  harness.Run(milliseconds(12000));
}

auto RequireServed(const order_harness& harness, const std::string& version)
    -> void {
  for (const auto* model : {"a", "b", "c"}) {
    BOOST_REQUIRE_GE(harness.CountResident(model, version), 1U);
  }
}

// Models are loaded on empty engines.
auto RunOrders(const matrix_cell& cell) -> void {
  auto harness = MakeHarness(cell);
  InjectFaults(harness, cell);
  harness.Run(milliseconds(200));
  harness.PutRecord(MakeRecord("r", 0, MakeModels("1")));
  Settle(harness);
  RequireServed(harness, "1");
}

// Every model gets a new version; the old version is unloaded once the new one
// serves.
auto RunUpgrade(const matrix_cell& cell) -> void {
  auto harness = MakeHarness(cell);
  harness.PutRecord(MakeRecord("r", 0, MakeModels("1")));
  harness.Run(milliseconds(6000));
  RequireServed(harness, "1");
  InjectFaults(harness, cell);
  harness.PutRecord(MakeRecord("r", 1, MakeModels("2")));
  Settle(harness);
  RequireServed(harness, "2");
  for (const auto* model : {"a", "b", "c"}) {
    BOOST_REQUIRE_EQUAL(harness.CountResident(model, "1"), 0U);
  }
}

// A backend server leaves: its models are loaded elsewhere before it unloads
// them.
auto RunLeave(const matrix_cell& cell) -> void {
  auto harness = MakeHarness(cell);
  harness.PutRecord(MakeRecord("r", 0, MakeModels("1")));
  harness.Run(milliseconds(6000));
  InjectFaults(harness, cell);
  harness.Leave("x");
  Settle(harness);
  RequireServed(harness, "1");
  BOOST_REQUIRE(harness.IsEmpty("x"));
}

// A backend server fails: its models are loaded elsewhere.
auto RunDeath(const matrix_cell& cell) -> void {
  auto harness = MakeHarness(cell);
  harness.PutRecord(MakeRecord("r", 0, MakeModels("1")));
  harness.Run(milliseconds(6000));
  InjectFaults(harness, cell);
  harness.Kill("y");
  Settle(harness);
  RequireServed(harness, "1");
}

// A large model needs capacity that other models have to free by moving.
auto RunMove(const matrix_cell& cell) -> void {
  auto harness = MakeHarness(cell);
  harness.PutRecord(MakeRecord("r", 0, MakeModels("1")));
  harness.Run(milliseconds(6000));
  InjectFaults(harness, cell);
  harness.PutRecord(MakeRecord("s", 0, {MakeModel("d", 90)}));
  Settle(harness);
  RequireServed(harness, "1");
}

using scenario = std::function<void(const matrix_cell& cell)>;

auto RunCell(const scenario& body, const matrix_cell& cell) -> void {
  try {
    body(cell);
  } catch (...) {
    BOOST_TEST_MESSAGE("cell failed: fencing "
                       << cell.honours_fencing << " step " << cell.step
                       << " fault " << static_cast<int>(cell.first)
                       << " second " << static_cast<int>(cell.second) << ": "
                       << GetCurrentError());
    throw;
  }
}

auto RunMatrix(const std::string& name, const scenario& body) -> void {
  auto cells = 0;
  for (const auto honours_fencing : {true, false}) {
    for (const auto fault : kFaults) {
      for (auto step = std::uint64_t{0}; step < kSteps; ++step) {
        RunCell(body, {honours_fencing, fault, step, order_fault::none});
        const auto second = kFaults[(step + static_cast<std::uint64_t>(cells)) %
                                    kFaults.size()];
        RunCell(body, {honours_fencing, fault, step, second});
        cells += 2;
      }
    }
  }
  BOOST_TEST_MESSAGE(name << ": " << cells << " cells");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(order_fault_matrix)

BOOST_AUTO_TEST_CASE(orders) {
  RunMatrix("orders", RunOrders);
}

BOOST_AUTO_TEST_CASE(model_upgrade) {
  RunMatrix("model upgrade", RunUpgrade);
}

BOOST_AUTO_TEST_CASE(backend_leave) {
  RunMatrix("backend server leave", RunLeave);
}

BOOST_AUTO_TEST_CASE(backend_death) {
  RunMatrix("backend server death", RunDeath);
}

BOOST_AUTO_TEST_CASE(move) {
  RunMatrix("move", RunMove);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
