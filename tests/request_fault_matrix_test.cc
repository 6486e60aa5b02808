#include <boost/test/unit_test.hpp>

#include "tests/request_harness.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using call_kind = request_harness::call_kind;

constexpr std::uint64_t kSteps = 60;

const auto kFaults = std::vector<request_fault>{
    request_fault::message_lost,
    request_fault::message_late,
    request_fault::message_repeated,
    request_fault::message_reordered,
    request_fault::engine_dies_before_accepting,
    request_fault::engine_dies_after_accepting,
    request_fault::stream_cut,
    request_fault::engine_stalls,
    request_fault::engine_errs,
    request_fault::answer_too_late,
    request_fault::owner_dies,
    request_fault::holder_restarts,
    request_fault::two_holders_restart,
    request_fault::caller_leaves,
};

struct matrix_cell {
  call_kind kind = call_kind::keyed;
  request_fault first = request_fault::none;
  std::uint64_t step = 0;
  request_fault second = request_fault::none;
};

// Two callers send to two entries. The world checks every promise on the way.
auto RunCell(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto world = request_harness(seed);
  world.Plan(cell.step, cell.first);
  if (cell.second != request_fault::none) {
    world.Plan(cell.step + 1, cell.second);
  }
  world.Call(cell.kind, 0);
  world.Call(cell.kind, 1);
  world.Run(milliseconds(300));
  world.Call(cell.kind, 2);
  world.Run(milliseconds(14000));
  world.CheckSettled();
  BOOST_REQUIRE_EQUAL(world.get_calls().size(), 3U);
  for (const auto& [key, runs] : world.get_runs()) {
    if (cell.kind == call_kind::keyed || cell.kind == call_kind::single) {
      BOOST_REQUIRE_LE(runs, 1);
    }
  }
}

auto RunMatrix(const std::string& name, call_kind kind) -> void {
  auto cells = 0;
  for (const auto fault : kFaults) {
    for (auto step = std::uint64_t{0}; step < kSteps; ++step) {
      for (const auto is_double : {false, true}) {
        const auto second =
            is_double ? kFaults[(step + static_cast<std::uint64_t>(cells)) %
                                kFaults.size()]
                      : request_fault::none;
        const auto cell = matrix_cell{kind, fault, step, second};
        try {
          RunCell(cell, step + 1);
        } catch (...) {
          BOOST_TEST_MESSAGE("cell failed: seed "
                             << step + 1 << " step " << step << " fault "
                             << static_cast<int>(fault) << " second "
                             << static_cast<int>(second) << ": "
                             << GetCurrentError());
          throw;
        }
        ++cells;
      }
    }
  }
  BOOST_TEST_MESSAGE(name << ": " << cells << " cells");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_fault_matrix)

BOOST_AUTO_TEST_CASE(keyed_request) {
  RunMatrix("keyed request", call_kind::keyed);
}

BOOST_AUTO_TEST_CASE(repeatable_request) {
  RunMatrix("repeatable request", call_kind::repeatable);
}

BOOST_AUTO_TEST_CASE(stream) {
  RunMatrix("stream", call_kind::stream);
}

BOOST_AUTO_TEST_CASE(unrepeatable_request_without_a_key) {
  RunMatrix("unrepeatable request", call_kind::single);
}

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered) {
  for (const auto kind : {call_kind::keyed, call_kind::repeatable,
                          call_kind::stream, call_kind::single}) {
    auto world = request_harness(1);
    for (auto entry = std::size_t{0}; entry < 3; ++entry) {
      world.Call(kind, entry);
    }
    world.Run(milliseconds(2000));
    for (const auto& call : world.get_calls()) {
      BOOST_TEST(call.has_whole);
      BOOST_TEST(call.tries == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
