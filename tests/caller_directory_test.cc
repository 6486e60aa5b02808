#include "control/caller_directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <string>

namespace ebony::testing {

namespace {

const auto kNow = mono_time(std::chrono::hours(1));

auto MakeDataCentre(int number) -> data_centre_name {
  return data_centre_name("dc-" + std::to_string(number));
}

// Gateways spread evenly over some data centres, and callers of them.
struct directory_fixture {
  std::mt19937_64 generator{7};
  gateway_registry gateways;
  caller_directory directory{
      [this](std::uint64_t bound) { return generator() % bound; }};
  std::map<host_port, double> shares;  // of the callers, by gateway

  auto AddGateways(int count, int data_centres) -> void {
    for (auto i = 0; i < count; ++i) {
      auto info = gateway_info();
      info.vm = vm_name("edge-" + std::to_string(i));
      info.caller_address = host_port(info.vm.get() + ":80");
      info.data_centre = MakeDataCentre(i % data_centres);
      info.is_ready = true;
      info.last_seen = kNow;
      gateways.Update(info);
    }
    directory.Update(gateways, kNow);
  }

  // Each caller uses one of the gateways in its answer.
  auto SendCallers(int count, int data_centres) -> void {
    for (auto i = 0; i < count; ++i) {
      const auto answer = directory.Choose(MakeDataCentre(i % data_centres));
      BOOST_TEST_REQUIRE(!answer.empty());
      shares[answer[generator() % answer.size()]] += 1.0 / count;
    }
  }

  auto GetLargestShare() const -> double {
    auto largest = 0.0;
    for (const auto& [address, share] : shares) {
      largest = std::max(largest, share);
    }
    return largest;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(caller_directory_rules, directory_fixture)

BOOST_AUTO_TEST_CASE(every_gateway_of_a_large_site_gets_its_callers) {
  AddGateways(291, 5);
  SendCallers(20000, 5);
  BOOST_TEST(shares.size() == 291U);
  BOOST_TEST(GetLargestShare() * 291 < 1.6);
}

BOOST_AUTO_TEST_CASE(callers_that_crowd_in_one_data_centre_reach_the_others) {
  AddGateways(291, 5);
  SendCallers(20000, 1);
  BOOST_TEST(shares.size() == 291U);
  // Half of them use the 59 gateways of their data centre.
  BOOST_TEST(GetLargestShare() * 59 * 2 < 1.6);
}

BOOST_AUTO_TEST_CASE(a_small_site_is_listed_whole) {
  AddGateways(7, 3);
  for (auto number = 0; number < 4; ++number) {
    const auto answer = directory.Choose(MakeDataCentre(number));
    BOOST_TEST(std::set<host_port>(answer.begin(), answer.end()).size() == 7U);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_names_no_gateway_twice_and_not_too_many) {
  AddGateways(291, 5);
  for (auto number = 0; number < 6; ++number) {
    const auto answer = directory.Choose(MakeDataCentre(number));
    BOOST_TEST(answer.size() == caller_directory::kMaxAddresses);
    BOOST_TEST(std::set<host_port>(answer.begin(), answer.end()).size() ==
               answer.size());
  }
}

BOOST_AUTO_TEST_CASE(room_that_a_data_centre_leaves_is_given_to_the_other) {
  AddGateways(50, 1);
  auto info = gateway_info();
  info.vm = vm_name("other");
  info.caller_address = host_port("other:80");
  info.data_centre = MakeDataCentre(1);
  info.is_ready = true;
  info.last_seen = kNow;
  gateways.Update(info);
  directory.Update(gateways, kNow + caller_directory::kMaxAge);
  BOOST_TEST(directory.Choose(MakeDataCentre(0)).size() == 51U);
  BOOST_TEST(directory.Choose(MakeDataCentre(1)).size() == 51U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_has_gone_is_not_listed_for_long) {
  AddGateways(7, 3);
  const auto later =
      kNow + gateway_registry::kTimeout + std::chrono::seconds(1);
  directory.Update(gateways, later);
  BOOST_TEST(directory.Choose(MakeDataCentre(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
