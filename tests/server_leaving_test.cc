#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "codec/site_codec.h"
#include "main/registry_replica.h"
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

BOOST_AUTO_TEST_CASE(a_restart_ends_leaving_and_an_announcement_does_not) {
  auto site = gateway_harness(1);
  SayLeaving(*site.servers[0]);
  SendSteadily(site, 1, "a");
  site.SetSoftware(0, "v2");  // announced as ready, with a newer sequence
  BOOST_TEST(SendSteadily(site, 3, "b") == 0);
  site.RestartServer(0);
  BOOST_TEST(SendSteadily(site, 1, "c") == 1);
}

BOOST_AUTO_TEST_CASE(other_values_change_nothing) {
  for (const auto& value : {std::string("0"), std::string(""),
                            std::string("yes"), std::string(9000, '1')}) {
    auto site = gateway_harness(1);
    site.servers[0]->AnswerAlways(
        {{MakeSuccess("Server-Leaving: " + value + "\r\n")},
         server_script::ending::keep});
    BOOST_TEST(SendSteadily(site, 3, "a") == 3);
  }
}

// A gateway and the coordinator that it syncs with.
BOOST_AUTO_TEST_CASE(leaving_is_reported_until_the_coordinator_lists_it) {
  const auto now = mono_time(std::chrono::seconds(100));
  const auto id = backend_name("i");
  auto status = backend_status();
  status.id = id;
  status.service = service_name("s");
  status.start_time_ms = 5;
  status.sequence = 1;
  auto leader = backend_registry(backend_registry_options());
  leader.Announce(status, now);
  auto gateway = registry_replica();
  const auto sync = [&](const std::string& source) {
    auto request = schema::sync_request();
    gateway.FillRequest(request);
    auto answer = schema::sync_answer();
    answer.set_roster_source(source);
    answer.set_roster_revision(leader.get_revision());
    for (const auto* record : leader.ListSince(0)) {
      auto* row = answer.add_backends();
      *row = ToSchema(*record, now);
      row->set_number(1);
    }
    gateway.ApplyAnswer(answer, now, [](const backend_record&) {});
    return request;
  };
  sync("leader-1");
  BOOST_TEST(!gateway.ObserveLeaving(id, 4));  // of an earlier start
  BOOST_TEST(gateway.ObserveLeaving(id, 5));
  BOOST_TEST(!gateway.ObserveLeaving(id, 5));
  BOOST_TEST(sync("leader-1").leaving_size() == 1);
  BOOST_TEST(sync("leader-1").leaving_size() == 1);  // not heard yet
  BOOST_TEST(leader.ObserveLeaving(id, 5));
  sync("leader-1");
  BOOST_TEST(sync("leader-1").leaving_size() == 0);
  // It goes on to announce that it is ready, here and at a new leader that has
  // not heard otherwise.
  status.sequence = 2;
  leader.Announce(status, now);
  BOOST_TEST(leader.Find(id)->status.is_leaving);
  auto next = backend_registry(backend_registry_options());
  status.sequence = 3;
  next.Announce(status, now);
  leader = next;
  sync("leader-2");
  BOOST_TEST(gateway.get_registry().Find(id)->status.is_leaving);
  BOOST_TEST(sync("leader-2").leaving_size() == 1);
  // A restart under the same name is ready.
  status.start_time_ms = 6;
  status.sequence = 1;
  leader.Announce(status, now);
  sync("leader-2");
  BOOST_TEST(!gateway.get_registry().Find(id)->status.is_leaving);
  BOOST_TEST(sync("leader-2").leaving_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
