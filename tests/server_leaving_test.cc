#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// Renders a success of a server with these fields.
auto MakeSuccess(const std::string& fields) -> std::string {
  return "HTTP/1.1 200 X\r\nEbonythread-Request-Id: $ID\r\n"
         "Ebonythread-Response-Seal: s\r\nContent-Type: text/plain\r\n" +
         fields + "Content-Length: 5\r\n\r\nwhole";
}

auto SayLeaving(scripted_server& server) -> void {
  server.AnswerAlways(
      {{MakeSuccess("Server-Leaving: 1\r\n")}, server_script::ending::keep});
}

auto SendSteadily(gateway_harness& site, int count, const std::string& prefix)
    -> int {
  const auto routes = std::vector<std::string>{"plain", "once", "resume"};
  auto sent = std::vector<std::shared_ptr<caller_response>>();
  for (auto i = 0; i < count; ++i) {
    const auto& route = routes[static_cast<std::size_t>(i) % routes.size()];
    sent.push_back(site.Send(
        MakeRequest(route, prefix + std::to_string(i), "", "some body")));
    site.RunFor(milliseconds(10));
  }
  auto served = 0;
  for (const auto& response : sent) {
    served += response->is_complete && response->status == 200 ? 1 : 0;
  }
  return served;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_leaving)

// Their announcements go on to say that they are ready.
BOOST_AUTO_TEST_CASE(servers_that_say_in_answers_that_they_leave_get_no_more) {
  auto site = gateway_harness(4);
  SayLeaving(*site.servers[0]);
  SayLeaving(*site.servers[1]);
  SendSteadily(site, 30, "a");
  const auto before = site.servers[0]->get_received().size() +
                      site.servers[1]->get_received().size();
  BOOST_TEST(before >= 2U);
  BOOST_TEST(SendSteadily(site, 60, "b") == 60);
  const auto after = site.servers[0]->get_received().size() +
                     site.servers[1]->get_received().size();
  BOOST_TEST(after == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
