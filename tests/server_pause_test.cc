#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "entry/server_pauses.h"
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

BOOST_AUTO_TEST_CASE(a_caller_that_meets_only_paused_servers_is_told_at_once) {
  auto site = gateway_harness(2);
  Pause(*site.servers[0], "1.5");
  Pause(*site.servers[1], "2.5");
  SendSteadily(site, 6, "a");
  const auto before = site.servers[0]->get_received().size();
  const auto answer =
      site.Send(MakeRequest("once", "b", "Ebonythread-Deadline-Ms: 9000\r\n"));
  site.RunFor(milliseconds(50));
  BOOST_TEST(answer->status == 503);
  const auto* wait = answer->head.Find("Retry-After");
  BOOST_REQUIRE((wait != nullptr));
  BOOST_TEST(std::stod(*wait) > 0.3);
  BOOST_TEST(std::stod(*wait) < 2.5);
  BOOST_TEST(site.servers[0]->get_received().size() == before);
}

BOOST_AUTO_TEST_CASE(after_a_pause_one_request_comes_before_the_rest) {
  auto site = gateway_harness(1);
  site.servers[0]->AddScript(
      {{MakeRejection("Retry-After: 0.4\r\n")}, server_script::ending::keep});
  SendSteadily(site, 1, "a");
  site.servers[0]->AnswerAlways({{}, server_script::ending::hang});
  site.RunFor(milliseconds(450));
  const auto before = site.servers[0]->get_received().size();
  SendSteadily(site, 10, "b");
  BOOST_TEST(site.servers[0]->get_received().size() - before == 1U);
}

// A server that starts again has asked for nothing.
BOOST_AUTO_TEST_CASE(a_restart_ends_a_pause) {
  auto site = gateway_harness(1);
  site.servers[0]->AddScript(
      {{MakeRejection("Retry-After: 60\r\n")}, server_script::ending::keep});
  SendSteadily(site, 1, "a");
  BOOST_TEST(CountServed(SendSteadily(site, 3, "b")) == 0);
  site.RestartServer(0);
  BOOST_TEST(CountServed(SendSteadily(site, 3, "c")) == 3);
}

BOOST_AUTO_TEST_CASE(values_that_are_no_seconds_change_nothing) {
  const auto values = std::vector<std::string>{"-1",
                                               "1e9",
                                               "",
                                               "soon",
                                               "2,5",
                                               "Wed, 21 Oct 2026 07:28:00 GMT",
                                               std::string(9000, '9'),
                                               "0"};
  for (const auto& value : values) {
    auto site = gateway_harness(1);
    site.servers[0]->AddScript(
        {{MakeRejection("Retry-After: " + value + "\r\n")},
         server_script::ending::keep});
    SendSteadily(site, 1, "a");
    site.RunFor(milliseconds(50));
    BOOST_TEST(CountServed(SendSteadily(site, 3, "b")) == 3);
  }
}

// Guards against taking a long time for none.
BOOST_AUTO_TEST_CASE(a_pause_of_any_length_is_kept) {
  for (const auto* value :
       {"601", "900", "86400.5", "99999999999999999999999"}) {
    auto site = gateway_harness(1);
    Pause(*site.servers[0], value);
    SendSteadily(site, 20, "a");
    BOOST_TEST(site.servers[0]->get_received().size() == 1U, value);
  }
}

// Another server that answers at the address asks for itself, and a success
// with the field asks for nothing.
BOOST_AUTO_TEST_CASE(only_a_rejection_of_the_server_itself_asks_for_a_pause) {
  auto site = gateway_harness(1);
  site.servers[0]->AddScript(
      {{"HTTP/1.1 200 X\r\nEbonythread-Request-Id: $ID\r\n"
        "Ebonythread-Response-Seal: s\r\nRetry-After: 9\r\n"
        "Content-Length: 0\r\n\r\n"},
       server_script::ending::keep});
  BOOST_TEST(CountServed(SendSteadily(site, 1, "a")) == 1);
  BOOST_TEST(CountServed(SendSteadily(site, 3, "b")) == 3);
}

BOOST_AUTO_TEST_CASE(pauses_are_kept_by_run_and_end_with_a_good_answer) {
  const auto id = backend_name("i");
  const auto at = [](int ms) {
    return mono_time(std::chrono::seconds(100) + milliseconds(ms));
  };
  auto pauses = server_pauses();
  BOOST_TEST(!pauses.OnAsked(id, 1, milliseconds(0), at(0)));
  BOOST_TEST(pauses.OnAsked(id, 1, milliseconds(1000), at(0)));
  BOOST_TEST(!pauses.OnAsked(id, 1, milliseconds(100), at(10)));
  BOOST_TEST((pauses.GetTimeLeft(id, 1, at(100)) == milliseconds(900)));
  BOOST_TEST((pauses.GetTimeLeft(id, 2, at(100)) == milliseconds(0)));
  // The answer to a request from before the pause.
  BOOST_TEST(!pauses.OnAccepted(id, 1, at(500)));
  BOOST_TEST((pauses.GetTimeLeft(id, 1, at(1000)) == milliseconds(0)));
  pauses.OnSent(id, 1, at(1000));
  BOOST_TEST((pauses.GetTimeLeft(id, 1, at(1100)) == milliseconds(900)));
  // A request that is not answered is not waited for without end.
  BOOST_TEST((pauses.GetTimeLeft(id, 1, at(2000)) == milliseconds(0)));
  BOOST_TEST(pauses.OnAccepted(id, 1, at(2100)));
  BOOST_TEST((pauses.GetTimeLeft(id, 1, at(2100)) == milliseconds(0)));
  BOOST_TEST(pauses.get_size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
