#include <boost/test/unit_test.hpp>

#include "tests/coordinator_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kOk = 200;

}  // namespace

BOOST_AUTO_TEST_SUITE(config_acknowledgement)

BOOST_AUTO_TEST_CASE(a_committed_configuration_is_acknowledged) {
  auto harness = coordinator_harness();
  harness.AwaitLeadership();
  const auto answer = harness.PutConfig(5);
  harness.RunUntil([&] { return answer->status != 0; });
  BOOST_TEST(answer->status == kOk);
}

// Another leader's entry takes the index of the proposal.
BOOST_AUTO_TEST_CASE(an_overwritten_configuration_is_not_acknowledged) {
  auto harness = coordinator_harness();
  harness.AwaitLeadership();
  harness.SetAccepting(false);
  const auto answer = harness.PutConfig(5);
  harness.RunFor(milliseconds(30));
  BOOST_TEST(answer->status == 0);
  harness.OverwriteEntries();
  harness.RunUntil([&] { return answer->status != 0; });
  BOOST_TEST(answer->status != kOk);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
