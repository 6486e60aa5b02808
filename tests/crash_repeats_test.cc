#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/crash_harness.h"
#include "tests/gateway_harness.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

// Three servers, as small as such a service is.
auto MakePlainOptions(unsigned seed) -> crash_site_options {
  auto options = crash_site_options();
  options.is_plain = true;
  options.servers = 3;
  options.sound_rate = 32;
  options.bad_rate = 0;
  options.seed = seed;
  return options;
}

auto IsMostlyBegun(const crash_site::sound_counts& counts) -> bool {
  constexpr auto kShare = 0.95;
  return static_cast<double>(counts.begun) >=
         kShare * static_cast<double>(counts.sent);
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

BOOST_AUTO_TEST_CASE(few_servers_crash_at_whichever_gateway_it_comes) {
  for (const auto& [gateways, relays] :
       {std::pair(std::size_t{7}, std::size_t{0}),
        std::pair(std::size_t{86}, std::size_t{8})}) {
    for (auto seed = 1U; seed <= 20; ++seed) {
      auto options = MakePlainOptions(seed);
      options.gateways = gateways;
      options.relays = relays;
      auto site = crash_site(options);
      site.SetRates(32, 3);
      site.RunFor(seconds(30));
      BOOST_TEST(site.bad_crashes <= 5U);
      BOOST_TEST(site.sound.rejected == 0U);
      BOOST_TEST(IsMostlyBegun(site.sound));
    }
  }
}

BOOST_AUTO_TEST_CASE(crashes_without_a_cause_reject_no_request) {
  for (auto seed = 1U; seed <= 20; ++seed) {
    auto site = crash_site(MakePlainOptions(seed));
    site.SetRates(100, 0);
    for (auto round = 0; round < 40; ++round) {
      site.CrashServers(round % 8 == 7 ? 2 : 1);
      site.RunFor(milliseconds(900));
    }
    BOOST_TEST(site.sound.rejected == 0U);
    BOOST_TEST(IsMostlyBegun(site.sound));
    BOOST_TEST(
        site.get_leader().get_ledger().CountQuarantined(site.get_now()) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(a_request_is_known_after_restarts_and_a_new_leader) {
  auto site = crash_site(MakePlainOptions(1));
  site.SetRates(32, 3);
  site.RunFor(seconds(20));
  const auto before = site.bad_arrivals;
  site.RestartGateway(0);
  site.RunFor(seconds(2));
  site.StopLeader();
  site.RunFor(seconds(2));
  site.StartLeader();
  site.RestartGateway(1);
  site.RunFor(seconds(5));
  BOOST_TEST(site.bad_arrivals == before);
}

BOOST_AUTO_TEST_CASE(a_request_close_to_proof_is_tried_alone) {
  auto guard = crash_guard();
  const auto make = [](std::uint64_t fingerprint) {
    return GetSuspects({}, request_fingerprint(fingerprint), service_name("s"));
  };
  // Both were running on the same two servers when these crashed.
  const auto bad = make(1);
  const auto sound = make(2);
  for (auto run = std::uint64_t{1}; run <= 2; ++run) {
    const auto evidences =
        std::pair(guard.OnSent(bad, At(0)), guard.OnSent(sound, At(0)));
    guard.OnServerCrashed(bad, evidences.first, server_run(run), At(1));
    guard.OnServerCrashed(sound, evidences.second, server_run(run), At(1));
  }
  BOOST_TEST((guard.Check(bad, At(2)).verdict == guard_verdict::clear));
  auto evidence = guard.OnSent(bad, At(2));
  BOOST_TEST((guard.Check(sound, At(2)).verdict == guard_verdict::await_trial));
  BOOST_TEST((guard.Check(make(3), At(2)).verdict == guard_verdict::clear));
  guard.OnServerCrashed(bad, evidence, server_run(3), At(3));
  guard.EndTrial(evidence);
  BOOST_TEST((guard.Check(bad, At(4)).verdict == guard_verdict::quarantined));
  BOOST_TEST((guard.Check(sound, At(4)).verdict == guard_verdict::clear));
  evidence = guard.OnSent(sound, At(4));
  BOOST_TEST(guard.TakeWanted(At(4)).size() == 1U);
  guard.OnRan(sound, At(5));
  guard.EndTrial(evidence);
  BOOST_TEST(guard.TakeWanted(At(5)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
