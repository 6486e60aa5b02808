#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// What may still arrive while a server wants nothing.
constexpr auto kMostWithinPause = 2;
// From the answer that asks for a pause to its effect.
constexpr auto kReactionTime = milliseconds(500);

// Renders a rejection of a server that has not run the request.
auto MakeRejection(const std::string& fields) -> std::string {
  return "HTTP/1.1 503 X\r\nEbonythread-Request-Id: $ID\r\n"
         "Ebonythread-Not-Run: 1\r\n" +
         fields + "Content-Length: 0\r\n\r\n";
}

auto Pause(scripted_server& server, const std::string& seconds) -> void {
  server.AnswerAlways({{MakeRejection("Retry-After: " + seconds + "\r\n")},
                       server_script::ending::keep});
}

using responses = std::vector<std::shared_ptr<caller_response>>;

auto SendSteadily(gateway_harness& site, int count, const std::string& prefix)
    -> responses {
  const auto routes = std::vector<std::string>{"plain", "once", "resume"};
  auto sent = responses();
  for (auto i = 0; i < count; ++i) {
    const auto& route = routes[static_cast<std::size_t>(i) % routes.size()];
    sent.push_back(site.Send(
        MakeRequest(route, prefix + std::to_string(i), "", "some body")));
    site.RunFor(milliseconds(20));
  }
  return sent;
}

auto CountServed(const responses& all) -> int {
  auto served = 0;
  for (const auto& response : all) {
    served += response->is_complete && response->status == 200 ? 1 : 0;
  }
  return served;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_pause)

BOOST_AUTO_TEST_CASE(servers_that_ask_for_a_pause_get_one) {
  auto site = gateway_harness(4);
  Pause(*site.servers[0], "2.5");
  Pause(*site.servers[1], "2.5");
  auto sent = SendSteadily(site, 25, "a");
  site.RunFor(kReactionTime);
  const auto before = site.servers[0]->get_received().size() +
                      site.servers[1]->get_received().size();
  const auto later = SendSteadily(site, 60, "b");
  const auto after = site.servers[0]->get_received().size() +
                     site.servers[1]->get_received().size();
  BOOST_TEST(after - before <= 2 * kMostWithinPause);
  BOOST_TEST(CountServed(sent) == 25);
  BOOST_TEST(CountServed(later) == 60);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
