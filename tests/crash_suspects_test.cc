#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/crash_harness.h"
#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kBadSegment = "bad";

// Renders a request for a stream whose prompt has two segments that others
// share, and one of its own.
auto MakePrompt(const std::string& shared, const std::string& id)
    -> std::string {
  return MakeRequest(
      "stream", id,
      "Ebonythread-Prompt-Prefix: a:10," + shared + ":10," + id + ":10\r\n");
}

auto CountReceived(const gateway_harness& site, const std::string& segment)
    -> int {
  auto count = 0;
  for (const auto& server : site.servers) {
    for (const auto& request : server->get_received()) {
      const auto* segments = request->head.Find("Ebonythread-Prompt-Prefix");
      const auto holds =
          segments != nullptr &&
          segments->find("," + segment + ":") != std::string::npos;
      count += holds ? 1 : 0;
    }
  }
  return count;
}

auto MakeCrashingSite(int servers) -> std::unique_ptr<gateway_harness> {
  auto site = std::make_unique<gateway_harness>(servers);
  for (const auto& server : site->servers) {
    server->CrashOn(kBadSegment);
  }
  return site;
}

// Servers that may crash under requests with one bad segment.
constexpr auto kMostCrashes = 5;

auto IsMostlyBegun(const crash_site::sound_counts& counts) -> bool {
  constexpr auto kShare = 0.95;
  return static_cast<double>(counts.begun) >=
         kShare * static_cast<double>(counts.sent);
}

// Returns a site where the bad segment is known, and still comes.
auto MakeSiteWithQuarantine(std::size_t gateways, std::size_t relays)
    -> std::unique_ptr<crash_site> {
  auto options = crash_site_options();
  options.gateways = gateways;
  options.relays = relays;
  auto site = std::make_unique<crash_site>(options);
  site->RunFor(seconds(8));
  BOOST_REQUIRE(
      site->get_guard(0).get_ledger().CountQuarantined(site->get_now()) == 1U);
  return site;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_suspects)

BOOST_AUTO_TEST_CASE(requests_with_a_segment_that_ends_servers_stop) {
  constexpr auto kRounds = 24;
  const auto site = MakeCrashingSite(8);
  auto sound = std::vector<std::shared_ptr<caller_response>>();
  for (auto round = 0; round < kRounds; ++round) {
    const auto number = std::to_string(1000 + round);
    site->Send(MakePrompt(kBadSegment, "b" + number));
    site->RunFor(milliseconds(30));
    sound.push_back(site->Send(MakePrompt("c", "c" + number)));
    site->RunFor(milliseconds(30));
    if (round % 4 == 3) {
      site->RestartCrashed();
    }
  }
  site->RunFor(milliseconds(300));
  BOOST_TEST(CountReceived(*site, kBadSegment) <= kMostCrashes);
  auto served = 0;
  for (const auto& answer : sound) {
    served += answer->status == 200 ? 1 : 0;
  }
  BOOST_TEST(served >= kRounds * 95 / 100);
}

// One request that the route allows to retry.
BOOST_AUTO_TEST_CASE(a_request_that_ends_servers_is_not_retried_without_end) {
  const auto site = MakeCrashingSite(8);
  for (auto round = 0; round < 6; ++round) {
    site->Send(MakeRequest("resume", "b" + std::to_string(round),
                           "Ebonythread-Prompt-Prefix: a:10,bad:10,b" +
                               std::to_string(round) + ":10\r\n"));
    site->RunFor(milliseconds(60));
  }
  BOOST_TEST(CountReceived(*site, kBadSegment) <= 5);
  // Nor when a caller takes such a stream up, with all servers there again.
  site->RestartCrashed();
  site->AddOrigin("b1", "s", "v1");
  const auto before = CountReceived(*site, kBadSegment);
  const auto answer = site->Send(
      MakeRequest("resume", "c",
                  "Last-Event-Id: 2\r\nResumes: b1\r\n"
                  "Ebonythread-Prompt-Prefix: a:10,bad:10,c:10\r\n"));
  site->RunUntil([&] { return answer->is_complete; });
  BOOST_TEST(answer->status == 503);
  BOOST_TEST((answer->head.Find("Retry-After") != nullptr));
  BOOST_TEST(CountReceived(*site, kBadSegment) == before);
}

BOOST_AUTO_TEST_CASE(a_reset_of_a_server_that_lives_accuses_nobody) {
  auto site = gateway_harness(2);
  constexpr auto kResets = 6;
  for (auto round = 0; round < kResets; ++round) {
    site.AddCommonScript(
        {{"HTTP/1.1 200 OK\r\n"}, server_script::ending::reset});
    const auto answer = site.Send(MakePrompt("d", "d" + std::to_string(round)));
    site.RunUntil([&] { return answer->is_complete || answer->is_closed; });
  }
  const auto answer = site.Send(MakePrompt("d", "d9"));
  site.RunUntil([&] { return answer->is_complete; });
  BOOST_TEST(answer->status == 200);
  BOOST_TEST(site.get_gateway().CountSuspects() == 0U);
}

// Such an answer looks whole if it ends between two events.
BOOST_AUTO_TEST_CASE(the_end_of_an_unframed_stream_can_be_a_crash) {
  for (const auto has_crashed : {false, true}) {
    auto site = gateway_harness(1);
    auto script = server_script();
    script.writes = {
        "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
        "Ebonythread-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
        "Connection: close\r\n\r\nid: 1\ndata: x\n\n"};
    script.end = has_crashed ? server_script::ending::crash
                             : server_script::ending::close;
    site.AddCommonScript(script);
    const auto answer = site.Send(MakePrompt("d", "d1"));
    site.RunFor(milliseconds(100));
    BOOST_TEST(answer->status == 200);
    BOOST_TEST((site.get_gateway().CountSuspects() > 0) == has_crashed);
  }
}

// Requests with a bad segment come from the sixth second on.
BOOST_AUTO_TEST_CASE(few_servers_crash_however_many_gateways_there_are) {
  struct size {
    std::size_t gateways;
    std::size_t relays;
    double bad_rate;
  };
  for (const auto& [gateways, relays, bad_rate] :
       {size{7, 0, 6}, size{24, 0, 6}, size{24, 0, 2}, size{86, 8, 2}}) {
    for (auto seed = 1U; seed <= 20; ++seed) {
      auto options = crash_site_options();
      options.gateways = gateways;
      options.relays = relays;
      options.seed = seed;
      auto site = crash_site(options);
      site.SetRates(options.sound_rate, 0);
      site.RunFor(seconds(5));
      site.sound = {};
      site.SetRates(options.sound_rate, bad_rate);
      site.RunFor(seconds(10));
      BOOST_TEST(site.bad_crashes <= kMostCrashes);
      BOOST_TEST(IsMostlyBegun(site.sound));
      BOOST_TEST(site.sound.rejected == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(few_servers_crash_though_syncs_are_lost) {
  for (auto seed = 1U; seed <= 20; ++seed) {
    auto options = crash_site_options();
    options.bad_rate = 3;
    options.lost_syncs = 0.2;
    options.seed = seed;
    auto site = crash_site(options);
    site.RunFor(seconds(15));
    BOOST_TEST(site.bad_crashes <= kMostCrashes);
    BOOST_TEST(IsMostlyBegun(site.sound));
  }
}

BOOST_AUTO_TEST_CASE(crashes_without_a_cause_in_requests_reject_none) {
  for (auto seed = 1U; seed <= 20; ++seed) {
    auto options = crash_site_options();
    options.bad_rate = 0;
    options.seed = seed;
    auto site = crash_site(options);
    for (auto round = 0; round < 40; ++round) {
      // Now and then half of them at once.
      site.CrashServers(round % 8 == 7 ? 6 : 1);
      site.RunFor(seconds(1));
    }
    BOOST_TEST(site.sound.rejected == 0U);
    BOOST_TEST(IsMostlyBegun(site.sound));
    BOOST_TEST(
        site.get_leader().get_ledger().CountQuarantined(site.get_now()) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(a_gateway_that_has_just_started_knows_the_segment) {
  auto site = MakeSiteWithQuarantine(7, 0);
  const auto before = site->bad_arrivals;
  for (auto number = std::size_t{0}; number < 7; ++number) {
    site->RestartGateway(number);
    site->RunFor(seconds(1));
  }
  BOOST_TEST(site->bad_arrivals == before);
}

BOOST_AUTO_TEST_CASE(a_new_leader_is_told_of_the_segment) {
  for (const auto relays : {std::size_t{0}, std::size_t{3}}) {
    auto site = MakeSiteWithQuarantine(7, relays);
    const auto before = site->bad_arrivals;
    site->StopLeader();
    site->RunFor(seconds(3));
    site->StartLeader();
    site->RunFor(seconds(2));
    BOOST_TEST(site->get_leader().get_ledger().CountQuarantined(
                   site->get_now()) == 1U);
    site->RestartGateway(0);
    site->RunFor(seconds(3));
    BOOST_TEST(site->bad_arrivals == before);
  }
}

BOOST_AUTO_TEST_CASE(a_gateway_that_is_cut_off_finds_the_segment_by_itself) {
  for (auto seed = 1U; seed <= 10; ++seed) {
    auto options = crash_site_options();
    options.gateways = 1;
    options.bad_rate = 0;
    options.seed = seed;
    auto site = crash_site(options);
    site.CutOff(0, true);
    site.SetRates(options.sound_rate, 6);
    site.RunFor(seconds(15));
    BOOST_TEST(site.bad_crashes <= kMostCrashes);
    BOOST_TEST(IsMostlyBegun(site.sound));
  }
}

BOOST_AUTO_TEST_CASE(a_caller_cannot_get_segments_of_others_rejected) {
  for (auto seed = 1U; seed <= 10; ++seed) {
    auto options = crash_site_options();
    options.bad_rate = 0;
    options.seed = seed;
    auto site = crash_site(options);
    auto random = std::mt19937(seed);
    // A segment of another organisation that nobody has used lately, each time
    // beside the bad one.
    constexpr auto kVictim = std::uint64_t{7777};
    for (auto round = std::uint64_t{0}; round < 30; ++round) {
      site.Arrive(random() % options.gateways,
                  {kVictim, crash_site::kBadSegment, 50 + round, "attacker"});
      site.RunFor(milliseconds(300));
    }
    BOOST_TEST(site.bad_crashes <= kMostCrashes);
    const auto rejected = site.sound.rejected;
    for (auto round = std::uint64_t{0}; round < 10; ++round) {
      site.Arrive(random() % options.gateways, {kVictim, 120, 90 + round, "v"});
      site.RunFor(milliseconds(100));
    }
    site.RunFor(seconds(3));
    BOOST_TEST(site.sound.rejected == rejected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
