#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <vector>

#include "entry/attempt_policy.h"
#include "entry/pending_queue.h"
#include "entry/retry_allowance.h"
#include "entry/route_table.h"
#include "entry/server_selector.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

const auto kEnds = {attempt_outcome::complete, attempt_outcome::not_sent,
                    attempt_outcome::not_run,  attempt_outcome::interrupted,
                    attempt_outcome::invalid,  attempt_outcome::stalled};
const auto kRules = {repeat_rule::idempotent, repeat_rule::at_most_once,
                     repeat_rule::resumable};

auto CannotHaveRun(const attempt_summary& facts) -> bool {
  return !facts.may_have_run && (facts.end == attempt_outcome::not_sent ||
                                 facts.end == attempt_outcome::not_run);
}

// Calls `check` for every combination of what a session may know.
auto ForEachCase(const std::function<void(const attempt_summary&)>& check)
    -> void {
  for (const auto end : kEnds) {
    for (const auto rule : kRules) {
      for (const auto status : {200, 404, 408, 421, 429, 500, 502, 503}) {
        for (auto bits = 0; bits < 16; ++bits) {
          auto facts = attempt_summary();
          facts.end = end;
          facts.retry_rule = rule;
          facts.answer.status = status;
          facts.may_have_run = (bits & 1) != 0;
          facts.has_delivered_events = (bits & 2) != 0;
          facts.attempts = (bits & 4) != 0 ? 2 : 1;
          facts.max_attempts = (bits & 8) != 0 ? 2 : 1;
          check(facts);
        }
      }
    }
  }
}

auto MakeRoute(const std::string& host, const std::string& prefix)
    -> route_rule {
  auto rule = route_rule();
  rule.name = route_name(host + prefix);
  rule.host = host;
  rule.path_prefix = prefix;
  rule.targets = {{service_name("s"), 1}};
  return rule;
}

auto MakeServer(const std::string& id, const std::string& model)
    -> backend_status {
  auto status = backend_status();
  status.id = backend_name(id);
  status.service = service_name("s");
  status.address = host_port("10.0.0.1:1");
  status.slots = 4;
  status.born_ms = 1;
  status.sequence = 1;
  status.models = {{model_name(model), 1, {}}};
  return status;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_rules)

BOOST_AUTO_TEST_CASE(at_most_once_is_never_sent_again_once_it_may_have_run) {
  ForEachCase([](const attempt_summary& facts) {
    const auto step = DecideAction(facts);
    if (facts.retry_rule == repeat_rule::at_most_once &&
        facts.end != attempt_outcome::not_sent &&
        facts.end != attempt_outcome::not_run) {
      BOOST_TEST_REQUIRE((step != attempt_action::retry));
    }
    if (facts.attempts >= facts.max_attempts) {
      BOOST_TEST_REQUIRE((step != attempt_action::retry));
    }
  });
}

BOOST_AUTO_TEST_CASE(a_refusal_is_true) {
  ForEachCase([](const attempt_summary& facts) {
    for (const auto step : {DecideAction(facts), GetFallback(facts)}) {
      if (step == attempt_action::refuse) {
        BOOST_TEST_REQUIRE(CannotHaveRun(facts));
        BOOST_TEST_REQUIRE(!facts.has_delivered_events);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(a_promise_of_a_server_that_may_have_run_is_not_passed_on) {
  ForEachCase([](const attempt_summary& facts) {
    const auto promise =
        facts.answer.status == 408 || facts.answer.status == 421 ||
        facts.answer.status == 429 || facts.answer.status == 503;
    for (const auto step : {DecideAction(facts), GetFallback(facts)}) {
      if (step == attempt_action::deliver) {
        BOOST_TEST_REQUIRE((facts.end == attempt_outcome::complete));
        BOOST_TEST_REQUIRE(!promise);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(a_shown_stream_goes_on_or_breaks_off) {
  ForEachCase([](const attempt_summary& facts) {
    if (!facts.has_delivered_events) {
      return;
    }
    const auto step = DecideAction(facts);
    BOOST_TEST_REQUIRE((step == attempt_action::abort_stream ||
                        step == attempt_action::retry));
  });
}

BOOST_AUTO_TEST_CASE(refused_callers_come_back_in_time_and_spread) {
  auto times = std::set<duration>();
  for (auto draw = 0; draw < 10; ++draw) {
    auto facts = retry_delay_inputs();
    facts.time_left = std::chrono::milliseconds(6000);
    facts.expected_wait = std::chrono::milliseconds(1000);
    facts.jitter = draw / 10.0;
    const auto time = GetRetryDelay(facts);
    BOOST_TEST_REQUIRE((time <= facts.time_left / 3));
    times.insert(time);
  }
  BOOST_TEST(times.size() == 10U);
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins_and_the_host_must_match) {
  auto config = site_config();
  config.services[service_name("s")].name = service_name("s");
  config.routes = {MakeRoute("h", "/"), MakeRoute("h", "/a/"),
                   MakeRoute("h", "/a/b/"), MakeRoute("i", "/a/b/c/")};
  const auto table = route_table(config);
  const auto name = [&table](const char* host, const char* path) {
    const auto* rule = table.Match(host, path);
    return rule == nullptr ? std::string("none") : rule->name.get();
  };
  BOOST_TEST(name("h", "/a/b/c") == "h/a/b/");
  BOOST_TEST(name("H", "/a/b/") == "h/a/b/");
  BOOST_TEST(name("h", "/a/b") == "h/a/");
  BOOST_TEST(name("h", "/ab/c") == "h/");
  BOOST_TEST(name("i", "/a/b/d") == "none");
  BOOST_TEST(name("j", "/a/") == "none");
  BOOST_TEST(name("h", "") == "none");
}

BOOST_AUTO_TEST_CASE(a_split_follows_its_weights) {
  auto config = site_config();
  for (const auto* name : {"s", "t", "u"}) {
    config.services[service_name(name)].name = service_name(name);
  }
  auto rule = MakeRoute("h", "/");
  rule.targets = {
      {service_name("s"), 90}, {service_name("t"), 10}, {service_name("u"), 0}};
  config.routes = {rule};
  const auto table = route_table(config);
  auto counts = std::map<std::string, int>();
  for (auto draw = std::uint64_t{0}; draw < 100; ++draw) {
    const auto& service = table.PickService(
        *table.Match("h", "/"), [draw](std::uint64_t) { return draw; });
    ++counts[service.name.get()];
  }
  BOOST_TEST(counts["s"] == 90);
  BOOST_TEST(counts["t"] == 10);
  BOOST_TEST(counts["u"] == 0);
}

// The load: all repeats that can be had, at many gateways, some of which die
// and are followed by others.
BOOST_AUTO_TEST_CASE(repeats_of_all_gateways_stay_within_the_allowance) {
  for (const auto gateways : {1, 7, 55}) {
    auto options = retry_allowance_options();
    options.ratio = 0.2;
    options.slack = 54;
    auto shares = std::vector<retry_allowance>(
        static_cast<std::size_t>(gateways), retry_allowance(options));
    const auto service = service_name("s");
    auto requests = std::vector<std::int64_t>();
    auto repeats = std::vector<std::int64_t>();
    for (auto ms = std::int64_t{0}; ms < 60000; ms += 50) {
      if (ms == 30000) {
        // A quarter of the gateways starts anew, with their memory lost.
        for (auto i = 0; i < gateways / 4; ++i) {
          shares[static_cast<std::size_t>(i)] = retry_allowance(options);
        }
      }
      for (auto& share : shares) {
        share.SetGatewayCount(static_cast<std::size_t>(gateways));
        if (ms % 250 == 0) {
          share.OnRequest(service, At(ms));
          requests.push_back(ms);
        }
        while (share.TryConsume(service, At(ms))) {
          repeats.push_back(ms);
        }
      }
    }
    const auto count = [](const auto& times, std::int64_t from) {
      return std::count_if(times.begin(), times.end(), [from](auto time) {
        return time >= from && time < from + 10000;
      });
    };
    for (auto from = std::int64_t{0}; from < 50000; from += 250) {
      const auto allowed =
          options.ratio * static_cast<double>(count(requests, from)) +
          options.slack;
      BOOST_TEST_REQUIRE(static_cast<double>(count(repeats, from)) <= allowed);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_leaving_or_foreign_server_gets_no_work) {
  auto registry = backend_registry(backend_registry_options());
  auto board = server_selector(server_selector_options(), registry,
                               [](std::uint64_t) { return 0; });
  auto query = server_query();
  query.service = service_name("s");
  query.is_engine = true;
  query.model = model_name("m");
  BOOST_TEST((board.Choose(query, At(0)).verdict == server_verdict::no_server));
  registry.Announce(MakeServer("b1", "m"), At(0));
  BOOST_TEST((board.Choose(query, At(0)).verdict == server_verdict::chosen));
  query.model = model_name("n");
  BOOST_TEST(
      (board.Choose(query, At(0)).verdict == server_verdict::no_replica));
  query.model = model_name("m");
  board.OnMisdirected(backend_name("b1"));
  BOOST_TEST((board.Choose(query, At(0)).verdict == server_verdict::no_server));
  auto reborn = MakeServer("b1", "m");
  reborn.born_ms = 2;
  registry.Announce(reborn, At(10));
  BOOST_TEST((board.Choose(query, At(10)).verdict == server_verdict::chosen));
  reborn.sequence = 2;
  reborn.is_leaving = true;
  registry.Announce(reborn, At(20));
  BOOST_TEST(
      (board.Choose(query, At(20)).verdict == server_verdict::no_server));
}

// The load: 80 gateways, each with one request, choose between a new copy of a
// model and a busy one before any hears of the others.
BOOST_AUTO_TEST_CASE(many_gateways_do_not_all_take_the_same_server) {
  auto registry = backend_registry(backend_registry_options());
  for (const auto* id : {"busy", "new"}) {
    auto server = MakeServer(id, "m");
    server.slots = 40;
    registry.Announce(server, At(0));
  }
  auto generator = std::mt19937_64(11);
  auto query = server_query();
  query.service = service_name("s");
  query.is_engine = true;
  query.model = model_name("m");
  const auto count_new = [&](std::size_t gateways) {
    auto count = 0;
    for (auto gateway = 0; gateway < 80; ++gateway) {
      auto board = server_selector(
          server_selector_options(), registry,
          [&generator](std::uint64_t bound) { return generator() % bound; });
      board.SetGatewayCount(gateways);
      // 25 of 50 places at the busy one are taken.
      board.SetTotalLoads({{backend_name("busy"), {25, 0}}}, At(0));
      const auto choice = board.Choose(query, At(0));
      count += choice.server->id.get() == "new" ? 1 : 0;
    }
    return count;
  };
  BOOST_TEST(count_new(7) == 80);
  // Two thirds of the room, 53 of 80; within four standard deviations.
  BOOST_TEST(count_new(80) > 36);
  BOOST_TEST(count_new(80) < 71);
}

BOOST_AUTO_TEST_CASE(work_spreads_and_stops_at_the_slots) {
  auto registry = backend_registry(backend_registry_options());
  for (const auto* id : {"b1", "b2", "b3"}) {
    registry.Announce(MakeServer(id, "m"), At(0));
  }
  auto generator = std::mt19937_64(7);
  auto board = server_selector(
      server_selector_options(), registry,
      [&generator](std::uint64_t bound) { return generator() % bound; });
  auto query = server_query();
  query.service = service_name("s");
  query.is_engine = true;
  query.model = model_name("m");
  auto counts = std::map<backend_name, int>();
  // Four slots each, and one request that waits at the server.
  for (auto i = 0; i < 15; ++i) {
    const auto choice = board.Choose(query, At(0));
    BOOST_TEST_REQUIRE((choice.verdict == server_verdict::chosen));
    board.OnStarted(choice.server->id, 0);
    ++counts[choice.server->id];
  }
  for (const auto& [id, count] : counts) {
    BOOST_TEST_REQUIRE(count == 5);
  }
  BOOST_TEST((board.Choose(query, At(0)).verdict == server_verdict::busy));
  board.OnEnded(backend_name("b2"), 0);
  BOOST_TEST(board.Choose(query, At(0)).server->id.get() == "b2");
}

BOOST_AUTO_TEST_CASE(the_work_of_other_gateways_counts) {
  auto registry = backend_registry(backend_registry_options());
  registry.Announce(MakeServer("b1", "m"), At(0));
  registry.Announce(MakeServer("b2", "m"), At(0));
  auto board = server_selector(server_selector_options(), registry,
                               [](std::uint64_t) { return 0; });
  board.TakeLoadReport();
  board.SetTotalLoads({{backend_name("b1"), {3, 0}}}, At(0));
  auto query = server_query();
  query.service = service_name("s");
  BOOST_TEST(board.Choose(query, At(0)).server->id.get() == "b2");
}

// Reports that are never answered must not turn into load of others.
BOOST_AUTO_TEST_CASE(load_is_right_while_no_exchange_comes_about) {
  auto registry = backend_registry(backend_registry_options());
  registry.Announce(MakeServer("b1", "m"), At(0));
  auto board = server_selector(server_selector_options(), registry,
                               [](std::uint64_t) { return 0; });
  const auto id = backend_name("b1");
  for (auto i = 0; i < 3; ++i) {
    board.OnStarted(id, 0);
  }
  board.TakeLoadReport();
  board.SetTotalLoads({{id, {5, 0}}}, At(0));
  BOOST_TEST(board.GetLoad(id, At(0)).requests == 5);
  for (auto i = 0; i < 3; ++i) {
    board.OnEnded(id, 0);
    board.TakeLoadReport();
  }
  BOOST_TEST(board.GetLoad(id, At(0)).requests == 2);
  BOOST_TEST(board.GetLoad(id, At(1000)).requests == 1);
}

BOOST_AUTO_TEST_CASE(ejection_spares_half_of_the_servers) {
  auto registry = backend_registry(backend_registry_options());
  for (const auto* id : {"b1", "b2", "b3", "b4"}) {
    registry.Announce(MakeServer(id, "m"), At(0));
  }
  auto board = server_selector(server_selector_options(), registry,
                               [](std::uint64_t) { return 0; });
  auto query = server_query();
  query.service = service_name("s");
  const auto eject = [&board](const char* id) {
    for (auto i = 0; i < 3; ++i) {
      board.OnFailed(backend_name(id), At(0));
    }
  };
  eject("b1");
  eject("b2");
  auto avoid = std::set<backend_name>{backend_name("b3"), backend_name("b4")};
  BOOST_TEST(avoid.contains(board.Choose(query, At(1)).server->id));
  query.avoid = &avoid;
  // All that is left is ejected: a poor server is better than none.
  BOOST_TEST((board.Choose(query, At(1)).verdict == server_verdict::chosen));
  avoid.insert(backend_name("b2"));
  BOOST_TEST((board.Choose(query, At(600)).server->id.get() == "b1"));
}

BOOST_AUTO_TEST_CASE(waiting_requests_go_by_rank_then_by_time) {
  auto list = pending_queue<std::string>(2);
  auto displaced = std::shared_ptr<std::string>();
  const auto add = [&](int rank, std::int64_t by, const char* name) {
    return list.Add(rank, At(by), std::make_shared<std::string>(name),
                    displaced);
  };
  BOOST_TEST(add(1, 50, "late").has_value());
  BOOST_TEST(add(1, 40, "early").has_value());
  BOOST_TEST(!add(2, 10, "lowly").has_value());
  BOOST_TEST((displaced == nullptr));
  BOOST_TEST(add(0, 90, "urgent").has_value());
  BOOST_TEST(*displaced == "late");
  auto order = std::string();
  list.ForEach([&order](const auto& item) { order += *item + " "; });
  BOOST_TEST(order == "urgent early ");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
