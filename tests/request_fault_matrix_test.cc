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
    request_fault::message_delayed,
    request_fault::message_duplicated,
    request_fault::message_reordered,
    request_fault::engine_crashes_before_accepting,
    request_fault::engine_crashes_after_accepting,
    request_fault::stream_interrupted,
    request_fault::engine_stalls,
    request_fault::engine_error,
    request_fault::answer_delayed,
    request_fault::owner_crashes,
    request_fault::holder_restarts,
    request_fault::two_holders_restart,
    request_fault::caller_disconnects,
};

struct matrix_cell {
  call_kind kind = call_kind::keyed;
  request_fault first = request_fault::none;
  std::uint64_t step = 0;
  request_fault second = request_fault::none;
};

// Runs three calls at three entries with one or two faults. The harness checks
// the guarantees throughout.
auto RunCell(const matrix_cell& cell, std::uint64_t seed) -> void {
  auto harness = request_harness(seed);
  harness.ScheduleFault(cell.step, cell.first);
  if (cell.second != request_fault::none) {
    harness.ScheduleFault(cell.step + 1, cell.second);
  }
  harness.Call(cell.kind, 0);
  harness.Call(cell.kind, 1);
  harness.Run(milliseconds(300));
  harness.Call(cell.kind, 2);
  harness.Run(milliseconds(14000));
  harness.CheckAllAnswered();
  BOOST_REQUIRE_EQUAL(harness.get_calls().size(), 3U);
  for (const auto& [key, executions] : harness.get_executions()) {
    if (cell.kind == call_kind::keyed || cell.kind == call_kind::single) {
      BOOST_REQUIRE_LE(executions, 1);
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
  RunMatrix("repeatable request", call_kind::retryable);
}

BOOST_AUTO_TEST_CASE(stream) {
  RunMatrix("stream", call_kind::stream);
}

BOOST_AUTO_TEST_CASE(unrepeatable_request_without_a_key) {
  RunMatrix("unrepeatable request", call_kind::single);
}

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered) {
  for (const auto kind : {call_kind::keyed, call_kind::retryable,
                          call_kind::stream, call_kind::single}) {
    auto harness = request_harness(1);
    for (auto entry = std::size_t{0}; entry < 3; ++entry) {
      harness.Call(kind, entry);
    }
    harness.Run(milliseconds(2000));
    for (const auto& call : harness.get_calls()) {
      BOOST_TEST(call.has_complete_answer);
      BOOST_TEST(call.sends == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
