#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

// Renders a complete response of a server that names a limit.
auto MakeLimitedResponse(const std::string& limit) -> std::string {
  auto response = MakeResponse(200, "whole");
  const auto end_of_line = response.find("\r\n");
  return response.insert(end_of_line, "\r\nServer-Limit: " + limit);
}

auto ScriptLimit(scripted_server& server, int answers, const std::string& limit)
    -> void {
  for (auto i = 0; i < answers; ++i) {
    server.AddScript(
        {{MakeLimitedResponse(limit)}, server_script::ending::keep});
  }
}

// Sends requests one after another and waits for each answer. Returns the time
// that all took.
auto SendInTurn(gateway_harness& site, int requests, const std::string& prefix)
    -> double {
  const auto start = std::chrono::steady_clock::now();
  for (auto i = 0; i < requests; ++i) {
    const auto answer =
        site.Send(MakeRequest("plain", prefix + std::to_string(i)));
    site.RunUntil([&] { return answer->is_complete || answer->is_closed; });
  }
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_limits)

BOOST_AUTO_TEST_CASE(a_server_gets_no_more_requests_than_the_limit_it_named) {
  constexpr auto kPerSecond = 0.5;
  constexpr auto kAllowedFactor = 1.5;
  constexpr auto kAllowedMore = 5;
  auto site = gateway_harness(2);
  ScriptLimit(*site.servers[0], 80, "0.5");
  const auto seconds = SendInTurn(site, 80, "r");
  const auto received = site.servers[0]->get_received().size();
  BOOST_TEST_MESSAGE("received " << received << " of 80");
  BOOST_TEST(static_cast<double>(received) <=
             kAllowedFactor * kPerSecond * seconds + kAllowedMore);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
