#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kBadBody = "bad";
constexpr auto kMostCrashes = 5;

auto CountReceived(const gateway_harness& site, const std::string& body)
    -> int {
  auto count = 0;
  for (const auto& server : site.servers) {
    for (const auto& request : server->get_received()) {
      count += request->body == body ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_repeats)

BOOST_AUTO_TEST_CASE(a_request_that_ends_servers_stops_however_often_it_comes) {
  constexpr auto kRounds = 16;
  for (const auto* route : {"plain", "once"}) {
    auto site = gateway_harness(6);
    for (const auto& server : site.servers) {
      server->CrashOnBody(kBadBody);
    }
    auto sound = std::vector<std::shared_ptr<caller_response>>();
    for (auto round = 0; round < kRounds; ++round) {
      const auto number = std::to_string(round);
      site.Send(MakeRequest(route, "b" + number, "", kBadBody));
      site.RunFor(milliseconds(30));
      sound.push_back(
          site.Send(MakeRequest(route, "c" + number, "", "body" + number)));
      site.RunFor(milliseconds(30));
      if (round % 2 == 1) {
        site.RestartCrashed();
      }
    }
    site.RunFor(milliseconds(300));
    BOOST_TEST(CountReceived(site, kBadBody) <= kMostCrashes);
    auto served = 0;
    for (const auto& answer : sound) {
      served += answer->status == 200 ? 1 : 0;
    }
    BOOST_TEST(served >= kRounds * 95 / 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
