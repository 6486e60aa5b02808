#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

constexpr auto kLimit = request_rate(500);  // 0.5 a second
constexpr auto kRequests = 80;

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

// Checks that a server with `kLimit` got no more than users allow in `seconds`.
auto CheckLimited(const scripted_server& server, double seconds) -> void {
  constexpr auto kPerSecond = 0.5;
  constexpr auto kAllowedFactor = 1.5;
  constexpr auto kAllowedMore = 5;
  const auto received = server.get_received().size();
  BOOST_TEST(static_cast<double>(received) <=
                 kAllowedFactor * kPerSecond * seconds + kAllowedMore,
             received << " requests in " << seconds << " s");
}

// Sends two requests before either is answered, the first with `first`.
auto SendTwoAtOnce(gateway_harness& site,
                   const std::string& first,
                   const std::string& second) -> void {
  site.AddCommonScript({{first}, server_script::ending::keep});
  site.AddCommonScript({{second}, server_script::ending::keep});
  const auto one = site.Send(MakeRequest("plain", "one"));
  const auto two = site.Send(MakeRequest("plain", "two"));
  site.RunUntil([&] { return one->is_complete && two->is_complete; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_limits)

BOOST_AUTO_TEST_CASE(a_server_gets_no_more_requests_than_the_limit_it_named) {
  auto site = gateway_harness(2);
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  const auto seconds = SendInTurn(site, kRequests, "r");
  CheckLimited(*site.servers[0], seconds);
}

BOOST_AUTO_TEST_CASE(a_retry_does_not_pass_a_limit) {
  auto site = gateway_harness(2);
  site.SetLimit(0, kLimit);
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  site.RunFor(std::chrono::milliseconds(200));
  auto answers = std::vector<std::shared_ptr<caller_response>>();
  for (auto i = 0; i < 40; ++i) {
    site.servers[1]->AddScript(
        {{MakeResponse(500, "failed")}, server_script::ending::keep});
    answers.push_back(site.Send(MakeRequest("plain", "r" + std::to_string(i))));
  }
  constexpr auto kSeconds = 1.5;
  site.RunFor(std::chrono::milliseconds(1500));
  CheckLimited(*site.servers[0], kSeconds);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_does_not_pass_a_limit) {
  auto site = gateway_harness(2);
  site.SetLimit(0, kLimit);
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  site.RunFor(std::chrono::milliseconds(200));
  for (auto i = 0; i < kRequests; ++i) {
    site.servers[1]->AddScript(
        {{"HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
          "Ebonythread-Response-Seal: s\r\n"
          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
          "\r\n11\r\nid: 1\ndata: one\n\n\r\n"},
         server_script::ending::reset});
  }
  auto answers = std::vector<std::shared_ptr<caller_response>>();
  for (auto i = 0; i < 20; ++i) {
    answers.push_back(
        site.Send(MakeRequest("resume", "s" + std::to_string(i))));
  }
  constexpr auto kSeconds = 1.0;
  site.RunFor(std::chrono::milliseconds(1000));
  CheckLimited(*site.servers[0], kSeconds);
}

BOOST_AUTO_TEST_CASE(requests_for_a_model_only_a_limited_server_holds_wait) {
  auto site = gateway_harness(1);
  site.SetEngine(0, {"m"}, 64);
  site.SetLimit(0, kLimit);
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  site.RunFor(std::chrono::milliseconds(200));
  auto answers = std::vector<std::shared_ptr<caller_response>>();
  for (auto i = 0; i < kRequests; ++i) {
    answers.push_back(site.Send(MakeRequest("model", "m" + std::to_string(i),
                                            "Ebonythread-Model: m\r\n")));
  }
  constexpr auto kSeconds = 1.5;
  site.RunFor(std::chrono::milliseconds(1500));
  CheckLimited(*site.servers[0], kSeconds);
  for (const auto& answer : answers) {
    const auto is_true_refusal =
        answer->status == 503 && answer->head.Find("Retry-After") != nullptr;
    BOOST_TEST((answer->status == 200 || is_true_refusal));
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_gateway_knows_a_limit_before_its_first_send) {
  auto site = gateway_harness(2);
  site.SetLimit(0, kLimit);
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  site.RunFor(std::chrono::milliseconds(200));
  site.Restart();
  CheckLimited(*site.servers[0], SendInTurn(site, kRequests, "r"));
}

BOOST_AUTO_TEST_CASE(a_silent_coordinator_does_not_lift_a_limit) {
  auto site = gateway_harness(2);
  site.SetLimit(0, kLimit);
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  site.RunFor(std::chrono::milliseconds(200));
  site.SetCoordinatorSilent(true);
  CheckLimited(*site.servers[0], SendInTurn(site, kRequests, "r"));
}

BOOST_AUTO_TEST_CASE(an_unreadable_limit_leaves_the_former_one_in_force) {
  auto site = gateway_harness(1);
  SendTwoAtOnce(site, MakeLimitedResponse("0.5"), MakeLimitedResponse("many"));
  ScriptLimit(*site.servers[0], kRequests, "0.5");
  CheckLimited(*site.servers[0], SendInTurn(site, 20, "r"));
  const auto rendered = site.get_counters().Render();
  BOOST_TEST(rendered.find("ebony_unreadable_limits_total 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_error_without_a_limit_does_not_end_it) {
  auto site = gateway_harness(1);
  SendTwoAtOnce(site, MakeLimitedResponse("0.5"), MakeResponse(500, "failed"));
  for (auto i = 0; i < kRequests; ++i) {
    site.servers[0]->AddScript(
        {{MakeResponse(500, "failed")}, server_script::ending::keep});
  }
  CheckLimited(*site.servers[0], SendInTurn(site, 20, "r"));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_with_a_success_that_names_none) {
  auto site = gateway_harness(1);
  ScriptLimit(*site.servers[0], 1, "20");
  auto answers = std::vector<std::shared_ptr<caller_response>>();
  const auto start = std::chrono::steady_clock::now();
  SendInTurn(site, 1, "first");
  site.RunUntil([&] {
    SendInTurn(site, 1, "r" + std::to_string(answers.size()));
    answers.push_back(nullptr);
    return site.servers[0]->get_received().size() >= 2;
  });
  SendInTurn(site, kRequests, "more");
  BOOST_TEST(site.servers[0]->get_received().size() >= kRequests);
  BOOST_TEST_MESSAGE("took " << std::chrono::duration<double>(
                                    std::chrono::steady_clock::now() - start)
                                    .count());
}

BOOST_AUTO_TEST_CASE(a_restarted_server_has_no_limit) {
  auto site = gateway_harness(1);
  site.SetLimit(0, request_rate(0));
  site.RunFor(std::chrono::milliseconds(200));
  site.RestartServer(0);
  SendInTurn(site, kRequests, "r");
  BOOST_TEST(site.servers[0]->get_received().size() == kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
