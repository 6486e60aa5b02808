#include <boost/test/unit_test.hpp>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kUnavailable = 503;

}  // namespace

BOOST_AUTO_TEST_SUITE(config_limit)

// The coordinator takes connections and does not answer.
BOOST_AUTO_TEST_CASE(a_gateway_does_not_act_on_a_configuration_past_its_limit) {
  auto harness = gateway_harness(1);
  harness.SetCoordinatorSilent(true);
  harness.RunFor(gateway_harness::kConfigLimit + milliseconds(100));
  const auto served = harness.Send(MakeRequest("plain", "r1"));
  const auto unknown = harness.Send(MakeRequest("missing", "r2"));
  harness.RunUntil([&] { return served->is_complete && unknown->is_complete; });
  BOOST_TEST(served->status == kUnavailable);
  BOOST_TEST(unknown->status == kUnavailable);
  BOOST_TEST(harness.servers[0]->get_received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
