#include <boost/test/unit_test.hpp>

#include "entry/config_freshness.h"
#include "tests/gateway_harness.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kOk = 200;
constexpr auto kNotFound = 404;
constexpr auto kUnavailable = 503;
constexpr auto kPastLimit = gateway_harness::kConfigLimit + milliseconds(100);

// Sends a request for a route that there is, and one for a route that there is
// not. Returns the statuses.
auto SendBoth(gateway_harness& harness) -> std::pair<int, int> {
  const auto known = harness.Send(MakeRequest("plain", "r1"));
  const auto unknown = harness.Send(MakeRequest("missing", "r2"));
  harness.RunUntil([&] { return known->is_complete && unknown->is_complete; });
  return {known->status, unknown->status};
}

auto CheckRefused(gateway_harness& harness) -> void {
  const auto [known, unknown] = SendBoth(harness);
  BOOST_TEST(known == kUnavailable);
  BOOST_TEST(unknown == kUnavailable);
  BOOST_TEST(harness.servers[0]->get_received().empty());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(config_limit)

// The coordinator takes connections and does not answer.
BOOST_AUTO_TEST_CASE(a_gateway_does_not_act_on_a_configuration_past_its_limit) {
  auto harness = gateway_harness(1);
  harness.SetCoordinatorSilent(true);
  harness.RunFor(kPastLimit);
  CheckRefused(harness);
}

BOOST_AUTO_TEST_CASE(an_unsure_coordinator_does_not_confirm_a_configuration) {
  auto harness = gateway_harness(1);
  harness.SetConfirms(false);
  harness.RunFor(kPastLimit);
  CheckRefused(harness);
}

BOOST_AUTO_TEST_CASE(an_old_confirmation_of_a_relay_counts_from_its_time) {
  auto harness = gateway_harness(1);
  harness.SetConfirms(true, kPastLimit);
  harness.RunFor(kPastLimit);
  CheckRefused(harness);
}

BOOST_AUTO_TEST_CASE(
    a_gateway_serves_until_the_limit_and_after_a_confirmation) {
  auto harness = gateway_harness(1);
  harness.SetConfirms(false);
  harness.RunFor(gateway_harness::kConfigLimit / 2);
  BOOST_TEST(SendBoth(harness).first == kOk);
  harness.RunFor(gateway_harness::kConfigLimit);
  harness.SetConfirms(true);
  harness.RunFor(milliseconds(200));
  const auto [known, unknown] = SendBoth(harness);
  BOOST_TEST(known == kOk);
  BOOST_TEST(unknown == kNotFound);
}

BOOST_AUTO_TEST_CASE(a_request_past_the_limit_is_held_until_a_confirmation) {
  auto harness = gateway_harness(1);
  harness.SetConfirms(false);
  harness.RunFor(kPastLimit);
  const auto held = harness.Send(MakeRequest("once", "r1"));
  harness.RunFor(milliseconds(100));
  BOOST_TEST(!held->is_complete);
  harness.SetConfirms(true);
  harness.RunUntil([&] { return held->is_complete; });
  BOOST_TEST(held->status == kOk);
}

BOOST_AUTO_TEST_CASE(
    a_gateway_without_coordinators_serves_and_denies_no_route) {
  auto harness = gateway_harness(1);
  harness.StopCoordinator();
  harness.RunFor(kPastLimit);
  const auto [known, unknown] = SendBoth(harness);
  BOOST_TEST(known == kOk);
  BOOST_TEST(unknown == kUnavailable);
}

BOOST_AUTO_TEST_CASE(a_gateway_serves_while_the_control_group_has_no_leader) {
  auto harness = gateway_harness(1);
  harness.SetHasLeader(false);
  harness.RunFor(kPastLimit);
  const auto [known, unknown] = SendBoth(harness);
  BOOST_TEST(known == kOk);
  BOOST_TEST(unknown == kUnavailable);
}

BOOST_AUTO_TEST_CASE(a_confirmation_holds_for_the_limit_and_contact_decides) {
  constexpr auto kLimit = milliseconds(2000);
  constexpr auto kMemory = config_freshness::kContactMemory;
  auto freshness = config_freshness(kLimit);
  freshness.OnConfirmed(At(0));
  const auto get = [&](std::int64_t ms) {
    return freshness.GetStanding(At(ms));
  };
  BOOST_TEST((get(1999) == config_standing::current));
  BOOST_TEST((get(2000) == config_standing::isolated));
  freshness.OnContact(At(2500));
  BOOST_TEST((get(2500) == config_standing::unconfirmed));
  BOOST_TEST(
      (freshness.GetStanding(At(2500) + kMemory) == config_standing::isolated));
  // An answer that was long on its way does not shorten a later confirmation.
  freshness.OnConfirmed(At(3000));
  freshness.OnConfirmed(At(2400));
  BOOST_TEST((get(4999) == config_standing::current));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
