#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "entry/router.h"
#include "fakes/fake_engine.h"
#include "main/caller_session.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kRate = request_rate(500);  // 0.5 a second
constexpr auto kRun = std::uint64_t{7};

auto MakeRandom() -> router::random_source {
  return [source = std::mt19937_64(1)](std::uint64_t bound) mutable {
    return source() % bound;
  };
}

auto MakeServer(const std::string& name) -> backend_route {
  auto server = backend_route();
  server.name = backend_name(name);
  server.address = host_port("127.0.0.1:1");
  server.run = incarnation(kRun);
  server.slots = 8;
  auto replica = replica_route();
  replica.key.model = model_name("m");
  server.replicas.push_back(replica);
  return server;
}

// Routes a request each 10 ms for `time`, each of which takes 10 ms. Returns
// the number sent to `counted`.
auto CountSent(router& item,
               const std::vector<const backend_route*>& servers,
               const backend_route& counted,
               duration time) -> int {
  auto query = route_query();
  query.candidates = &servers;
  query.model = model_name("m");
  auto count = 0;
  const auto start = mono_time(std::chrono::hours(1));
  for (auto now = start; now < start + time; now += milliseconds(10)) {
    const auto choice = item.Choose(query, now);
    if (choice.verdict != route_verdict::chosen) {
      continue;
    }
    count += choice.backend == &counted ? 1 : 0;
    item.OnSent(*choice.backend, 0, now);
    item.OnEnded(choice.backend->name);
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(entry_limits)

BOOST_AUTO_TEST_CASE(an_entry_sends_a_limited_server_only_its_share) {
  for (const auto entries : {1U, 4U}) {
    auto item = router({}, MakeRandom());
    const auto limited = MakeServer("limited");
    const auto other = MakeServer("other");
    const auto start = mono_time(std::chrono::hours(1));
    item.get_permits().SetGatewayCount(entries);
    item.get_permits().OnAnswer(limited.name, kRun, {kRate, start});
    constexpr auto kSeconds = 80;
    const auto count = CountSent(item, {&limited, &other}, limited,
                                 std::chrono::seconds(kSeconds));
    const auto share = 0.5 * kSeconds / entries;
    BOOST_TEST(count <= share);
    BOOST_TEST(count >= 0.9 * share - 1);
  }
}

BOOST_AUTO_TEST_CASE(a_limit_of_which_another_entry_told_is_kept) {
  auto item = router({}, MakeRandom());
  const auto limited = MakeServer("limited");
  const auto start = mono_time(std::chrono::hours(1));
  item.get_permits().OnAnnounced(limited.name, kRun, {kRate, start});
  const auto count =
      CountSent(item, {&limited}, limited, std::chrono::seconds(20));
  BOOST_TEST(count <= 10);
}

BOOST_AUTO_TEST_CASE(a_restarted_server_has_no_limit_at_an_entry) {
  auto item = router({}, MakeRandom());
  auto server = MakeServer("restarted");
  const auto start = mono_time(std::chrono::hours(1));
  item.get_permits().OnAnswer(server.name, kRun, {kRate, start});
  server.run = incarnation(kRun + 1);
  const auto count =
      CountSent(item, {&server}, server, std::chrono::seconds(1));
  BOOST_TEST(count == 100);
}

BOOST_AUTO_TEST_CASE(a_response_states_the_limit_of_its_server) {
  auto counters = metrics();
  auto session = caller_session(nullptr, {}, {}, counters, mono_time());
  const auto attempt = attempt_number(1);
  session.StartAttempt(attempt);
  const auto named = session.OnHead(attempt, 503, {{"x-request-limit", "1.6"}});
  BOOST_TEST(named.rate->get() == 1600U);
  BOOST_TEST(!named.is_from_success);
  BOOST_TEST(
      session.OnHead(attempt, 200, {{"x-request-limit", "x"}}).is_unreadable);
  const auto none = session.OnHead(attempt, 200, {});
  BOOST_TEST(!none.rate.has_value());
  BOOST_TEST(!none.is_unreadable);
  BOOST_TEST(none.is_from_success);
}

BOOST_AUTO_TEST_CASE(an_entry_keeps_to_the_pause_that_a_server_asks_for) {
  auto item = router({}, MakeRandom());
  const auto paused = MakeServer("paused");
  const auto other = MakeServer("other");
  const auto start = mono_time(std::chrono::hours(1));
  item.get_pauses().OnAsked(paused.name, kRun, std::chrono::seconds(3), start);
  BOOST_TEST(
      CountSent(item, {&paused, &other}, paused, std::chrono::seconds(3)) == 0);
  BOOST_TEST(CountSent(item, {&paused, &other}, other,
                       std::chrono::seconds(3)) == 300);
}

BOOST_AUTO_TEST_CASE(
    a_server_that_says_it_leaves_gets_nothing_until_it_restarts) {
  auto item = router({}, MakeRandom());
  auto leaving = MakeServer("leaving");
  const auto other = MakeServer("other");
  BOOST_TEST(item.OnSaidLeaving(leaving));
  BOOST_TEST(!item.OnSaidLeaving(leaving));
  item.SetLeaving(leaving.name, false);  // it announces that it is ready
  BOOST_TEST(CountSent(item, {&leaving, &other}, leaving,
                       std::chrono::seconds(1)) == 0);
  leaving.run = incarnation(kRun + 1);
  BOOST_TEST(CountSent(item, {&leaving}, leaving, std::chrono::seconds(1)) ==
             100);
}

BOOST_AUTO_TEST_CASE(a_response_states_a_pause_and_a_departure) {
  auto counters = metrics();
  auto session = caller_session(nullptr, {}, {}, counters, mono_time());
  const auto attempt = attempt_number(1);
  session.StartAttempt(attempt);
  BOOST_TEST(
      (session.OnHead(attempt, 503, {{"retry-after", "1.5"}}).retry_after ==
       milliseconds(1500)));
  BOOST_TEST(
      (session.OnHead(attempt, 503, {{"retry-after", "601"}}).retry_after ==
       std::chrono::seconds(601)));
  BOOST_TEST(session.OnHead(attempt, 200, {{"retry-after", "1.5"}}).IsEmpty());
  for (const auto* value : {"-1", "1e3", "inf", "soon", ""}) {
    BOOST_TEST(
        session.OnHead(attempt, 503, {{"retry-after", value}}).IsEmpty());
  }
  BOOST_TEST(session.OnHead(attempt, 200, {{"x-leaving", "1"}}).is_leaving);
  BOOST_TEST(!session.OnHead(attempt, 200, {{"x-leaving", "0"}}).is_leaving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
