#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/software_history.h"
#include "core/stream_origin_table.h"
#include "entry/stream_origins.h"
#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

const auto kStreamHead = std::string(
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n");

// Renders one event as a chunk.
auto MakeEvent(int id) -> std::string {
  return "f\r\nid: " + std::to_string(id) + "\ndata: x\n\n\r\n";
}

// A stream of `events` events, the first of which has the id `first`, that is
// reset after them or ends as complete.
auto MakeStream(int first, int events, bool is_complete) -> server_script {
  auto script = server_script();
  script.writes.push_back(kStreamHead);
  for (auto id = first; id < first + events; ++id) {
    script.writes.push_back(MakeEvent(id));
  }
  if (is_complete) {
    script.writes.emplace_back("0\r\n\r\n");
  }
  script.end =
      is_complete ? server_script::ending::keep : server_script::ending::reset;
  return script;
}

auto RunUntilEnded(gateway_harness& site,
                   const std::shared_ptr<caller_response>& answer) -> void {
  site.RunUntil([&] { return answer->is_complete || answer->is_closed; });
}

// Takes up the stream that `first` began after its second event.
auto TakeUp(gateway_harness& site,
            const std::string& first,
            const std::string& id) -> std::shared_ptr<caller_response> {
  const auto answer = site.Send(MakeRequest(
      "resume", id, "Last-Event-Id: 2\r\nResumes: " + first + "\r\n"));
  RunUntilEnded(site, answer);
  return answer;
}

// Returns true if the first or the second server got no request.
auto IsOneUnused(const gateway_harness& site) -> bool {
  return site.servers[0]->get_received().empty() ||
         site.servers[1]->get_received().empty();
}

auto CountReceived(const gateway_harness& site) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& server : site.servers) {
    count += server->get_received().size();
  }
  return count;
}

// Returns true if the rest of a stream of four events came whole.
auto IsWhole(const caller_response& answer) -> bool {
  return answer.status == 200 && answer.is_complete &&
         answer.body.find("id: 4") != std::string::npos;
}

auto IsTrueRefusal(const caller_response& answer) -> bool {
  return answer.status == 503 && answer.head.Find("Retry-After") != nullptr;
}

const auto kOrigin = stream_origin{service_name("s"), software_version("v1")};
const auto kKey = stream_key(7);

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_versions)

BOOST_AUTO_TEST_CASE(a_stream_goes_on_only_at_the_version_that_began_it) {
  for (auto round = 0; round < 8; ++round) {
    auto site = gateway_harness(2);
    site.SetSoftware(1, "v2");
    site.servers[0]->AddScript(MakeStream(1, 2, false));
    site.servers[1]->AddScript(MakeStream(1, 2, false));
    RunUntilEnded(site, site.Send(MakeRequest("resume", "first")));
    BOOST_TEST(IsOneUnused(site));
    // The same, when the caller takes the stream up.
    TakeUp(site, "first", "second");
    BOOST_TEST(IsOneUnused(site));
  }
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_at_another_server_of_its_version) {
  auto site = gateway_harness(3);
  site.SetSoftware(1, "v2");
  site.SetSoftware(2, "v2");
  // Whichever server is asked first begins the stream.
  site.AddCommonScript(MakeStream(1, 2, false));
  site.AddCommonScript(MakeStream(3, 2, true));
  const auto answer = site.Send(MakeRequest("resume", "first"));
  RunUntilEnded(site, answer);
  BOOST_TEST(IsWhole(*answer));
  BOOST_TEST(answer->body.find("id: 4") != std::string::npos);
  const auto is_old_unused = site.servers[0]->get_received().empty();
  const auto is_new_unused = site.servers[1]->get_received().empty() &&
                             site.servers[2]->get_received().empty();
  BOOST_TEST(is_old_unused != is_new_unused);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_did_not_begin_a_stream_asks_what_did) {
  // Repeated, since a choice at random may be right.
  for (auto round = 0; round < 8; ++round) {
    const auto* software = round % 2 == 0 ? "v1" : "v2";
    auto site = gateway_harness(2);
    site.SetSoftware(1, "v2");
    site.AddOrigin("first", "s", software);
    const auto right = software == std::string("v1") ? 0U : 1U;
    site.servers[right]->AddScript(MakeStream(3, 2, true));
    const auto answer = TakeUp(site, "first", "second");
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(IsWhole(*answer));
    BOOST_TEST(site.servers[1 - right]->get_received().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_gateway_goes_on_with_the_streams_of_its_past) {
  auto site = gateway_harness(2);
  site.SetSoftware(1, "v2");
  site.servers[0]->AddScript(MakeStream(1, 2, false));
  site.servers[0]->AddScript(MakeStream(3, 0, false));
  site.servers[1]->AddScript(MakeStream(1, 2, false));
  site.servers[1]->AddScript(MakeStream(3, 0, false));
  RunUntilEnded(site, site.Send(MakeRequest("resume", "first")));
  site.RunFor(std::chrono::milliseconds(200));
  site.Restart();
  site.servers[0]->AddScript(MakeStream(3, 2, true));
  site.servers[1]->AddScript(MakeStream(3, 2, true));
  const auto answer = TakeUp(site, "first", "second");
  BOOST_TEST(IsWhole(*answer));
  BOOST_TEST(IsOneUnused(site));
}

BOOST_AUTO_TEST_CASE(an_origin_that_is_reported_late_is_waited_for) {
  auto site = gateway_harness(2);
  site.SetSoftware(1, "v2");
  const auto answer = site.Send(MakeRequest(
      "resume", "second", "Last-Event-Id: 2\r\nResumes: first\r\n"));
  site.RunFor(std::chrono::milliseconds(150));
  BOOST_TEST(CountReceived(site) == 0U);
  site.servers[1]->AddScript(MakeStream(3, 2, true));
  site.AddOrigin("first", "s", "v2");
  RunUntilEnded(site, answer);
  BOOST_TEST(IsWhole(*answer));
  BOOST_TEST(site.servers[0]->get_received().empty());
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_origin_reaches_no_server) {
  auto site = gateway_harness(2);
  site.SetSoftware(1, "v2");
  site.SetKnowsOrigins(false);
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "first", "second")));
  const auto unnamed =
      site.Send(MakeRequest("resume", "third", "Last-Event-Id: 2\r\n"));
  RunUntilEnded(site, unnamed);
  BOOST_TEST(IsTrueRefusal(*unnamed));
  site.SetCoordinatorSilent(true);
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "first", "fourth")));
  BOOST_TEST(CountReceived(site) == 0U);
}

BOOST_AUTO_TEST_CASE(with_one_version_a_stream_of_unknown_origin_goes_on) {
  auto site = gateway_harness(2);
  site.SetKnowsOrigins(false);
  site.SetSureLeader(true);
  site.RunFor(std::chrono::milliseconds(200));
  site.AddCommonScript(MakeStream(3, 2, true));
  BOOST_TEST(IsWhole(*TakeUp(site, "first", "second")));
  site.AddCommonScript(MakeStream(3, 2, true));
  const auto unnamed =
      site.Send(MakeRequest("resume", "third", "Last-Event-Id: 2\r\n"));
  RunUntilEnded(site, unnamed);
  BOOST_TEST(IsWhole(*unnamed));
  // A server of another version that has gone may have begun it.
  site.SetSoftware(0, "v2");
  site.SetLeaving(0);
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "unheard", "fourth")));
  BOOST_TEST(CountReceived(site) == 2U);
}

// A gateway that has not heard of the new version would go on with its streams
// at the former one.
BOOST_AUTO_TEST_CASE(a_new_version_begins_no_stream_until_all_know_of_it) {
  auto site = gateway_harness(2);
  site.SetKnowsVersionsLong(false);
  site.SetSoftware(1, "v2");
  for (auto i = 0; i < 6; ++i) {
    site.servers[0]->AddScript(MakeStream(1, 4, true));
    site.servers[1]->AddScript(MakeStream(1, 4, true));
    const auto answer =
        site.Send(MakeRequest("resume", "early-" + std::to_string(i)));
    RunUntilEnded(site, answer);
    BOOST_TEST(IsWhole(*answer));
  }
  BOOST_TEST(site.servers[1]->get_received().empty());
  // What no other gateway can go on with begins there at once.
  for (auto i = 0; i < 6; ++i) {
    site.Send(MakeRequest("stream", "plain-" + std::to_string(i)));
  }
  site.RunUntil([&] { return !site.servers[1]->get_received().empty(); });
  site.RunFor(software_replica::kMaxAge);
  site.SetLeaving(0);
  const auto late = site.Send(MakeRequest("resume", "late"));
  RunUntilEnded(site, late);
  BOOST_TEST(IsWhole(*late));
}

// It was cut off, or stood still, while servers of a new version joined.
BOOST_AUTO_TEST_CASE(a_gateway_out_of_step_goes_on_with_no_unknown_stream) {
  auto site = gateway_harness(2);
  site.SetKnowsOrigins(false);
  site.SetSureLeader(true);
  site.RunFor(std::chrono::milliseconds(200));
  site.SetCoordinatorSilent(true);
  site.RunFor(software_replica::kMaxAge + std::chrono::milliseconds(100));
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "unheard", "second")));
  BOOST_TEST(CountReceived(site) == 0U);
}

// All gateways were killed before they could report what began the stream, and
// the only server of its version has started again at another one.
BOOST_AUTO_TEST_CASE(a_version_that_no_server_runs_any_more_still_counts) {
  auto site = gateway_harness(1);
  site.SetKnowsOrigins(false);
  site.SetSureLeader(true);
  site.RestartServer(0);
  site.SetSoftware(0, "v2");
  site.Restart();
  site.RunFor(std::chrono::milliseconds(200));
  site.AddCommonScript(MakeStream(3, 2, true));
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "first", "second")));
  const auto unnamed =
      site.Send(MakeRequest("resume", "third", "Last-Event-Id: 2\r\n"));
  RunUntilEnded(site, unnamed);
  BOOST_TEST(IsTrueRefusal(*unnamed));
  BOOST_TEST(CountReceived(site) == 0U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_is_cut_off_trusts_no_single_version) {
  auto site = gateway_harness(2);
  site.SetKnowsOrigins(false);
  const auto unnamed =
      site.Send(MakeRequest("resume", "first", "Last-Event-Id: 2\r\n"));
  RunUntilEnded(site, unnamed);
  BOOST_TEST(IsTrueRefusal(*unnamed));
}

BOOST_AUTO_TEST_CASE(a_stream_whose_version_is_gone_is_refused) {
  auto site = gateway_harness(2);
  site.AddOrigin("first", "s", "v0");
  site.AddOrigin("other", "another-service", "v1");
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "first", "second")));
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "other", "third")));
  BOOST_TEST(CountReceived(site) == 0U);
}

BOOST_AUTO_TEST_CASE(a_server_that_restarts_at_another_version_is_another) {
  auto site = gateway_harness(1);
  site.servers[0]->AddScript(MakeStream(1, 2, false));
  site.servers[0]->AddScript(MakeStream(3, 0, false));
  RunUntilEnded(site, site.Send(MakeRequest("resume", "first")));
  const auto received = CountReceived(site);
  site.RestartServer(0);
  site.SetSoftware(0, "v2");
  BOOST_TEST(IsTrueRefusal(*TakeUp(site, "first", "second")));
  BOOST_TEST(CountReceived(site) == received);
}

BOOST_AUTO_TEST_CASE(other_streams_are_not_bound_to_a_version) {
  auto site = gateway_harness(1);
  site.SetSoftware(0, "v2");
  const auto answer = site.Send(
      MakeRequest("plain", "first", "Last-Event-Id: 2\r\nResumes: x\r\n"));
  RunUntilEnded(site, answer);
  BOOST_TEST(answer->status == 200);
}

BOOST_AUTO_TEST_CASE(a_report_is_repeated_until_it_is_answered) {
  auto origins = stream_origins();
  const auto now = mono_time();
  origins.OnBegun(kKey, kOrigin, now);
  BOOST_TEST(origins.TakeReport(now).begun[kOrigin].size() == 1U);
  origins.OnBegun(stream_key(8), kOrigin, now);
  BOOST_TEST(origins.TakeReport(now).begun[kOrigin].size() == 2U);
  origins.OnReportAnswered(false);
  BOOST_TEST(origins.TakeReport(now).begun.empty());
  // A new leader knows nothing.
  origins.OnReportAnswered(true);
  BOOST_TEST(origins.TakeReport(now).begun[kOrigin].size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_relay_passes_on_reports_and_questions) {
  auto gateway = stream_origins();
  auto relay = stream_origins();
  auto leader = stream_origins();
  const auto now = mono_time();
  relay.OnBegun(kKey, kOrigin, now);
  const auto report = relay.TakeReport(now);
  for (const auto& key : report.begun.at(kOrigin)) {
    leader.OnTold(key, kOrigin, now);
  }
  // Another relay, whose gateway asks.
  auto other = stream_origins();
  auto told = std::optional<stream_origin>();
  gateway.Ask(
      kKey, [&told](const stream_origin& origin) { told = origin; }, now);
  other.Ask(
      gateway.TakeReport(now).questions.at(0), [](const stream_origin&) {},
      now);
  const auto asked = other.TakeReport(now).questions.at(0);
  other.OnTold(asked, *leader.Find(asked), now);
  gateway.OnTold(kKey, *other.Find(kKey), now);
  BOOST_TEST((told == kOrigin));
  BOOST_TEST(!gateway.HasQuestions());
}

BOOST_AUTO_TEST_CASE(the_first_origin_of_a_stream_stays_until_it_expires) {
  auto table = stream_origin_table();
  auto now = mono_time(std::chrono::hours(1));
  table.Add(kKey, kOrigin, now);
  table.Add(kKey, {service_name("s"), software_version("v2")}, now);
  BOOST_TEST((*table.Find(kKey) == kOrigin));
  now += stream_origin_table::kLifetime;
  table.Add(stream_key(8), kOrigin, now);
  BOOST_TEST((table.Find(kKey) != nullptr));
  now += stream_origin_table::kLifetime;
  table.Add(stream_key(9), kOrigin, now);
  BOOST_TEST((table.Find(kKey) == nullptr));
  BOOST_TEST(table.get_size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_a_long_history_tells_the_only_version) {
  auto history = software_history();
  const auto service = service_name("s");
  const auto now = mono_time(std::chrono::hours(1));
  const auto later = now + software_history::kMinHistory;
  history.Observe(service, software_version("v1"), now);
  BOOST_TEST(!history.GetOnly(service, now).has_value());
  BOOST_TEST(history.GetOnly(service, later)->get() == "v1");
  BOOST_TEST(!history.GetOnly(service_name("other"), later).has_value());
  history.Observe(service, software_version("v2"), later);
  BOOST_TEST(!history.GetOnly(service, later).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
