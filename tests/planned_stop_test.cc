#include <boost/test/unit_test.hpp>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kBadGateway = 502;
constexpr auto kUnavailable = 503;

auto MakeHang() -> server_script {
  auto script = server_script();
  script.end = server_script::ending::hang;
  return script;
}

// Runs until the gateway may exit. Connections end when it does, so an answer
// that is not complete by then is lost.
auto RunUntilDrained(gateway_harness& site) -> void {
  while (!site.get_gateway().is_drained()) {
    site.RunFor(milliseconds(20));
  }
  site.RunFor(milliseconds(20));  // callers read what was sent
}

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

BOOST_AUTO_TEST_CASE(requests_late_in_the_grace_reach_no_server) {
  auto site = gateway_harness(1);
  site.servers[0]->AnswerAlways(MakeHang());
  site.get_gateway().Drain();
  site.RunFor(milliseconds(6000));
  site.Send(MakeRequest("once", "r0", {}, "x"));  // keeps the gateway running
  site.RunFor(milliseconds(600));
  const auto once = site.Send(MakeRequest("once", "r1", {}, "x"));
  const auto plain = site.Send(MakeRequest("plain", "r2"));
  RunUntilDrained(site);
  BOOST_TEST(once->is_complete);
  BOOST_TEST(once->status == kUnavailable);
  BOOST_TEST(plain->status == kUnavailable);
  BOOST_TEST(site.servers[0]->get_received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(each_request_read_before_the_end_of_a_stop_is_answered) {
  auto site = gateway_harness(1);
  site.servers[0]->AnswerAlways(MakeHang());
  site.get_gateway().Drain();
  site.RunFor(milliseconds(6000));
  const auto running = site.Send(MakeRequest("once", "r1", {}, "x"));
  site.RunFor(milliseconds(300));
  site.SetConfirms(false);
  const auto unknown = site.Send(
      MakeRequest("resume", "r2", "Last-Event-Id: 2\r\nResumes: unheard\r\n"));
  RunUntilDrained(site);
  BOOST_TEST(running->status == kBadGateway);
  BOOST_TEST(running->is_complete);
  BOOST_TEST(unknown->status == kUnavailable);
  BOOST_TEST(unknown->is_complete);
}

// It was held for a confirmation of the configuration.
BOOST_AUTO_TEST_CASE(a_held_request_is_refused_at_the_end_of_a_stop) {
  auto site = gateway_harness(1);
  site.get_gateway().Drain();
  site.RunFor(milliseconds(4000));
  site.SetConfirms(false);
  site.RunFor(milliseconds(2400));
  const auto held = site.Send(MakeRequest("once", "r1", {}, "x"));
  RunUntilDrained(site);
  BOOST_TEST(held->is_complete);
  BOOST_TEST(held->status == kUnavailable);
  BOOST_TEST(site.servers[0]->get_received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
