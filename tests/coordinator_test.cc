#include "entry/request_coordinator.h"

#include <boost/test/unit_test.hpp>

#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// One entry with one backend server that serves the model `m`.
class single_entry_harness {
  std::uint64_t next_id_ = 1;

 public:
  routing_table table;
  router model_router;
  claim_coordinator claims;
  std::map<std::string, int> counters;
  request_coordinator coordinator;

  explicit single_entry_harness(const model_spec& model,
                                std::uint32_t slots = 2)
      : model_router({}, [](std::uint64_t) { return std::uint64_t{0}; }),
        claims({}, vm_name("e"), incarnation(1), {}),
        coordinator(
            {},
            table,
            model_router,
            claims,
            [](std::uint64_t) { return std::uint64_t{0}; },
            [this](const std::string& name) { ++counters[name]; }) {
    auto update = routing_update();
    update.to = config_version(1);
    update.records.push_back({record_name("r"), {model}, false});
    auto backend = backend_route();
    backend.name = backend_name("b");
    backend.run = incarnation(1);
    backend.slots = slots;
    backend.replicas = {{model.key, {}}};
    update.backends.push_back(backend);
    table.Apply(update);
  }

  // Adds a server of another software version that holds the same model.
  auto AddServer(const model_spec& model,
                 const std::string& name,
                 const std::string& software) -> void {
    auto update = routing_update();
    update.from = table.get_version();
    update.to = config_version(table.get_version().get() + 1);
    auto backend = backend_route();
    backend.name = backend_name(name);
    backend.run = incarnation(1);
    backend.slots = 2;
    backend.software = software_version(software);
    backend.replicas = {{model.key, {}}};
    update.backends.push_back(backend);
    table.Apply(update);
  }

  // All servers start again.
  auto RestartServers() -> void {
    auto update = routing_update();
    update.from = table.get_version();
    update.to = config_version(table.get_version().get() + 1);
    for (const auto& [name, route] : table.get_backends()) {
      update.backends.push_back(route);
      update.backends.back().run = incarnation(route.run.get() + 1);
    }
    table.Apply(update);
  }

  // Submits a request with a time limit of `limit`.
  auto SubmitRequest(const std::string& caller,
                     mono_time now,
                     duration limit,
                     std::uint64_t fingerprint = 0,
                     std::uint64_t prefix_hash = 0) -> request_id {
    auto request = caller_request();
    request.id = request_id(next_id_++);
    request.caller = caller_name(caller);
    request.model = model_name("m");
    request.deadline = now + limit;
    request.fingerprint = fingerprint;
    request.prefix_hash = prefix_hash;
    coordinator.OnRequest(request, now);
    return request.id;
  }

  // Each attempt of the request crashes its server after the head of the
  // answer, and the server starts again. Returns the number of attempts.
  auto CrashServers(std::uint64_t fingerprint,
                    std::uint64_t prefix_hash,
                    std::int64_t at_ms) -> std::size_t {
    const auto id = SubmitRequest("c", At(at_ms), milliseconds(5000),
                                  fingerprint, prefix_hash);
    auto attempts = std::size_t{0};
    for (auto sent = TakeActionsOf<dispatch_action>(); !sent.empty();
         sent = TakeActionsOf<dispatch_action>()) {
      ++attempts;
      at_ms += 100;
      auto cut = attempt_result();
      cut.status = 200;
      coordinator.OnAttemptEnd(id, sent.front().attempt, cut, At(at_ms));
    }
    RestartServers();
    coordinator.Tick(At(at_ms));
    return attempts;
  }

  // Takes all pending actions and returns those of one type.
  template <typename Action>
  auto TakeActionsOf() -> std::vector<Action> {
    auto found = std::vector<Action>();
    for (const auto& action : coordinator.TakeActions()) {
      if (const auto* item = std::get_if<Action>(&action)) {
        found.push_back(*item);
      }
    }
    return found;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(coordinator_test)

BOOST_AUTO_TEST_CASE(an_attempt_cut_at_the_time_limit_is_late_not_failed) {
  auto entry = single_entry_harness(MakeModel("m", 1));
  const auto id = entry.SubmitRequest("c", At(0), milliseconds(100));
  BOOST_REQUIRE_EQUAL(entry.TakeActionsOf<dispatch_action>().size(), 1U);
  entry.coordinator.OnAttemptEnd(id, attempt_number(1), attempt_result(),
                                 At(100));
  const auto refusals = entry.TakeActionsOf<refuse_action>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1U);
  BOOST_TEST((refusals[0].kind == error_kind::deadline_exceeded));
  BOOST_TEST(entry.counters.count("ebony_backend_ejections_total") == 0U);
  BOOST_TEST(entry.counters.count("ebony_retries_total") == 0U);
}

BOOST_AUTO_TEST_CASE(a_slow_stream_is_ended_at_the_time_limit) {
  auto entry = single_entry_harness(MakeModel("m", 1));
  const auto id = entry.SubmitRequest("c", At(0), milliseconds(500));
  for (auto ms = 100; ms < 500; ms += 100) {
    entry.coordinator.OnProgress(id, attempt_number(1),
                                 static_cast<std::uint64_t>(ms), At(ms));
    entry.coordinator.Tick(At(ms));
  }
  BOOST_TEST(entry.TakeActionsOf<refuse_action>().empty());
  entry.coordinator.Tick(At(500));
  const auto actions = entry.coordinator.TakeActions();
  BOOST_REQUIRE_EQUAL(actions.size(), 2U);
  BOOST_TEST(std::holds_alternative<cancel_action>(actions[0]));
  const auto& refusal = std::get<refuse_action>(actions[1]);
  BOOST_TEST((refusal.kind == error_kind::deadline_exceeded));
  BOOST_TEST((refusal.ran == ran_state::yes));
}

BOOST_AUTO_TEST_CASE(an_entry_resumes_a_stream_only_at_its_version) {
  const auto model = MakeModel("m", 1);
  for (const auto* software : {"v1", "v2"}) {
    auto entry = single_entry_harness(model);
    entry.AddServer(model, "b", "v1");
    entry.AddServer(model, "other", software);
    const auto id = entry.SubmitRequest("c", At(0), milliseconds(5000));
    const auto first = entry.TakeActionsOf<dispatch_action>().at(0);
    auto cut = attempt_result();
    cut.events_delivered = 3;
    entry.coordinator.OnAttemptEnd(id, first.attempt, cut, At(10));
    const auto second = entry.TakeActionsOf<dispatch_action>().at(0);
    const auto is_same_version = std::string(software) == "v1";
    BOOST_TEST((second.backend == first.backend) == !is_same_version);
  }
}

BOOST_AUTO_TEST_CASE(an_entry_stops_a_request_that_crashes_servers) {
  constexpr auto kBad = std::uint64_t{7};
  const auto model = MakeModel("m", 1);
  auto entry = single_entry_harness(model);
  entry.AddServer(model, "other", "v1");
  auto attempts = std::size_t{0};
  for (auto round = 0; round < 10; ++round) {
    attempts += entry.CrashServers(kBad, 0, round * 1000);
  }
  BOOST_TEST(attempts <= 5U);
  entry.SubmitRequest("c", At(20000), milliseconds(5000), kBad);
  const auto refusals = entry.TakeActionsOf<refuse_action>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1U);
  BOOST_TEST((refusals[0].kind == error_kind::crashes_servers));
  BOOST_TEST((refusals[0].ran == ran_state::no));
  // The same request of another caller, and another one, are sent.
  entry.SubmitRequest("d", At(20000), milliseconds(5000), kBad);
  entry.SubmitRequest("c", At(20000), milliseconds(5000), kBad + 1);
  BOOST_TEST(entry.TakeActionsOf<dispatch_action>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_entry_stops_prompts_whose_start_crashes_servers) {
  constexpr auto kBadPrefix = std::uint64_t{9};
  const auto model = MakeModel("m", 1);
  auto entry = single_entry_harness(model);
  entry.AddServer(model, "other", "v1");
  auto attempts = std::size_t{0};
  for (auto round = 0; round < 10; ++round) {
    const auto fingerprint = static_cast<std::uint64_t>(100 + round);
    attempts += entry.CrashServers(fingerprint, kBadPrefix, round * 1000);
  }
  BOOST_TEST(attempts <= 5U);
  entry.SubmitRequest("c", At(20000), milliseconds(5000), 500, kBadPrefix + 1);
  BOOST_TEST(entry.TakeActionsOf<dispatch_action>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(entries_tell_each_other_what_crashes_servers) {
  constexpr auto kBad = std::uint64_t{7};
  const auto model = MakeModel("m", 1);
  auto first = single_entry_harness(model);
  first.AddServer(model, "other", "v1");
  for (auto round = 0; round < 4; ++round) {
    first.CrashServers(kBad, 0, round * 1000);
  }
  auto second = single_entry_harness(model);
  // Long after the last change, for an entry that has just started.
  const auto now = At(100000);
  for (const auto& report : first.coordinator.get_crashes().ListGossip(now)) {
    second.coordinator.get_crashes().OnGossip(report, now);
  }
  second.SubmitRequest("c", now, milliseconds(5000), kBad);
  BOOST_TEST(second.TakeActionsOf<dispatch_action>().empty());
}

BOOST_AUTO_TEST_CASE(an_interruption_by_a_server_that_lives_accuses_nobody) {
  const auto model = MakeModel("m", 1);
  auto entry = single_entry_harness(model);
  for (auto round = 0; round < 10; ++round) {
    const auto id =
        entry.SubmitRequest("c", At(round * 1000), milliseconds(900), 7);
    auto result = attempt_result();
    for (auto sent = entry.TakeActionsOf<dispatch_action>(); !sent.empty();
         sent = entry.TakeActionsOf<dispatch_action>()) {
      entry.coordinator.OnAttemptEnd(id, sent.front().attempt, result,
                                     At(round * 1000 + 10));
      result.end = attempt_end::complete;
      result.status = 200;
    }
  }
  entry.RestartServers();
  entry.coordinator.Tick(At(20000));
  entry.SubmitRequest("c", At(20000), milliseconds(5000), 7);
  BOOST_TEST(entry.TakeActionsOf<dispatch_action>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_without_an_event_may_go_to_any_version) {
  const auto model = MakeModel("m", 1);
  auto entry = single_entry_harness(model);
  entry.AddServer(model, "b", "v1");
  entry.AddServer(model, "other", "v2");
  const auto id = entry.SubmitRequest("c", At(0), milliseconds(5000));
  const auto first = entry.TakeActionsOf<dispatch_action>().at(0);
  entry.coordinator.OnAttemptEnd(id, first.attempt, attempt_result(), At(10));
  const auto second = entry.TakeActionsOf<dispatch_action>().at(0);
  BOOST_TEST((second.backend != first.backend));
}

BOOST_AUTO_TEST_CASE(the_answer_of_an_earlier_attempt_does_not_count) {
  auto entry = single_entry_harness(MakeModel("m", 1));
  const auto id = entry.SubmitRequest("c", At(0), milliseconds(5000));
  auto refused = attempt_result();
  refused.end = attempt_end::not_sent;
  entry.coordinator.OnAttemptEnd(id, attempt_number(1), refused, At(10));
  BOOST_REQUIRE_EQUAL(entry.TakeActionsOf<dispatch_action>().size(), 2U);
  auto late = attempt_result();
  late.end = attempt_end::complete;
  late.status = 200;
  entry.coordinator.OnAttemptEnd(id, attempt_number(1), late, At(20));
  BOOST_TEST(entry.coordinator.TakeActions().empty());
  entry.coordinator.OnAttemptEnd(id, attempt_number(2), late, At(30));
  BOOST_TEST(entry.TakeActionsOf<deliver_action>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(one_caller_cannot_take_more_than_its_limit) {
  auto model = MakeModel("m", 1);
  model.caller_max_in_flight = 1;
  auto entry = single_entry_harness(model);
  entry.SubmitRequest("heavy", At(0), milliseconds(1000));
  entry.SubmitRequest("heavy", At(0), milliseconds(1000));
  entry.SubmitRequest("other", At(0), milliseconds(1000));
  const auto actions = entry.coordinator.TakeActions();
  BOOST_REQUIRE_EQUAL(actions.size(), 3U);
  BOOST_TEST(std::holds_alternative<dispatch_action>(actions[0]));
  BOOST_TEST(
      (std::get<refuse_action>(actions[1]).kind == error_kind::rate_limited));
  BOOST_TEST(std::get<refuse_action>(actions[1]).retry_after.count() > 0);
  BOOST_TEST(std::holds_alternative<dispatch_action>(actions[2]));
}

BOOST_AUTO_TEST_CASE(a_model_is_served_only_to_its_callers) {
  auto model = MakeModel("m", 1);
  model.callers = {caller_name("branch")};
  auto entry = single_entry_harness(model);
  entry.SubmitRequest("unlisted", At(0), milliseconds(1000));
  const auto refusals = entry.TakeActionsOf<refuse_action>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1U);
  BOOST_TEST((refusals[0].kind == error_kind::forbidden));
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_be_in_time_is_refused_at_once) {
  auto entry = single_entry_harness(MakeModel("m", 1), 1);
  entry.SubmitRequest("c", At(0), milliseconds(5000));
  // The slot is in use, and the estimate without measurements is 200 ms per
  // request.
  entry.SubmitRequest("c", At(0), milliseconds(150));
  entry.coordinator.Tick(At(0));
  const auto refusals = entry.TakeActionsOf<refuse_action>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1U);
  BOOST_TEST((refusals[0].kind == error_kind::deadline_unreachable));
  BOOST_TEST((refusals[0].ran == ran_state::no));
  BOOST_TEST(refusals[0].retry_after.count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
