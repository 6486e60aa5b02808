#include <boost/test/unit_test.hpp>

#include "main/sync_relay.h"
#include "tests/coordinator_harness.h"

namespace ebony::testing {

namespace {

constexpr auto kFollowers = 2;
constexpr auto kGateways = 2 * sync_relay::kMaxDirectGateways;

auto MakeGatewaySync(std::uint32_t number) -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm("gateway-" + std::to_string(number));
  request.set_caller_address("10.0.0." + std::to_string(number) + ":80");
  request.set_incarnation(1);
  request.set_ready(true);
  return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sync_intervals)

// Its interval was that of a leader without relays: 2.3 s with 291 gateways.
BOOST_AUTO_TEST_CASE(a_gateway_that_is_told_of_relays_does_not_wait_for_long) {
  auto harness = coordinator_harness();
  harness.AwaitLeadership();
  for (auto i = std::uint32_t{1}; i <= kGateways; ++i) {
    harness.Sync(MakeGatewaySync(i));
  }
  for (auto i = 0; i < kFollowers; ++i) {
    auto request = schema::sync_request();
    request.set_vm("core-" + std::to_string(i + 2));
    request.set_relay_link("10.0.1." + std::to_string(i) + ":1");
    harness.Sync(request);
  }
  harness.RunFor(2 * transfer_limiter::kInterval);
  const auto answer = harness.Sync(MakeGatewaySync(1));
  BOOST_TEST(answer.relays_size() == kFollowers);
  BOOST_TEST(answer.gateway_count() == kGateways);
  BOOST_TEST(answer.served_gateways() <= kGateways / kFollowers);
  BOOST_TEST(!answer.roster_source().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
