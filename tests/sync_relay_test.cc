#include "main/sync_relay.h"

#include <boost/test/unit_test.hpp>

#include "codec/site_codec.h"
#include "control/drain_acks.h"
#include "control/gateway_registry.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// A leader with two servers, a relay, and syncs of gateways with it.
struct relay_fixture {
  mono_time now = mono_time() + std::chrono::seconds(100);
  backend_registry registry{backend_registry_options()};
  backend_index index;
  std::string source = "leader/1";
  std::uint32_t gateway_count = 86;
  sync_relay relay{vm_name("core-2"), [](std::uint64_t) { return 0U; }};

  relay_fixture() {
    Announce("i-1", 1);
    Announce("i-2", 1);
  }

  auto Announce(const std::string& id, std::uint64_t sequence) -> void {
    auto status = backend_status();
    status.id = backend_name(id);
    status.service = service_name("models");
    status.sequence = sequence;
    status.start_time_ms = 5;
    status.is_leaving = sequence > 1;
    registry.Announce(status, now);
    index.Assign(status.id);
  }

  auto MakeLeaderAnswer(const schema::sync_request& request)
      -> schema::sync_answer {
    auto answer = schema::sync_answer();
    answer.set_is_leader(true);
    answer.set_gateway_count(gateway_count);
    answer.set_roster_source(source);
    answer.set_roster_revision(registry.get_revision());
    const auto since =
        request.roster_source() == source ? request.have_roster() : 0;
    for (const auto* record : registry.ListSince(since)) {
      auto* row = answer.add_backends();
      *row = ToSchema(*record, now);
      row->set_number(index.GetNumber(record->status.id));
    }
    return answer;
  }

  // Syncs the relay with the leader, whose answer has these loads of all
  // gateways. Returns the relay's request.
  auto SyncWithLeader(const std::map<std::string, std::uint32_t>& loads = {})
      -> schema::sync_request {
    auto request = schema::sync_request();
    relay.FillLeaderRequest(request, now);
    auto answer = MakeLeaderAnswer(request);
    for (const auto& [id, amount] : loads) {
      AddLoad(*answer.mutable_loads(), index.GetNumber(backend_name(id)),
              amount, 0);
    }
    relay.ApplyLeaderAnswer(answer, now);
    return request;
  }

  // Syncs a gateway that has `replica` with the relay. Returns the relay's
  // answer.
  auto Sync(const std::string& vm,
            registry_replica& replica,
            const std::map<std::string, std::uint32_t>& loads = {},
            std::uint32_t missing = 0) -> schema::sync_answer {
    auto request = schema::sync_request();
    request.set_vm(vm);
    request.set_caller_address("10.0.0.1:80");
    request.set_ready(true);
    replica.FillRequest(request);
    for (const auto& [id, amount] : loads) {
      AddLoad(*request.mutable_loads(),
              replica.get_index().GetNumber(backend_name(id)), amount, 0);
    }
    if (missing > 0) {
      auto* row = request.add_demands();
      row->set_service("models");
      row->set_model("m1");
      row->set_arrived(missing);
      row->set_refused(missing);
    }
    relay.HandleGatewaySync(request, now, now);
    auto answer = schema::sync_answer();
    relay.FillGatewayAnswer(request, answer, now);
    replica.ApplyAnswer(answer, now, [](const backend_record&) {});
    return answer;
  }

  auto GetLoads(const schema::sync_answer& answer,
                const registry_replica& replica)
      -> std::map<std::string, std::uint32_t> {
    auto loads = std::map<std::string, std::uint32_t>();
    ForEachLoad(answer.loads(), replica.get_index(),
                [&loads](const backend_name& id, std::uint32_t requests,
                         std::uint64_t) { loads[id.get()] = requests; });
    return loads;
  }
};

// A relay answers for the leader: what it has not got, or was not told lately,
// it does not confirm.
struct config_relay_fixture : relay_fixture {
  stored_config own{config_number(3), {"three", 5}};

  auto TakeLeaderAnswer(std::uint64_t number,
                        const std::string& body,
                        bool confirms) -> void {
    auto answer = schema::sync_answer();
    answer.set_config_number(number);
    answer.set_config(body);
    answer.set_config_bytes(body.size());
    answer.set_states_config(true);
    answer.set_confirms_config(confirms);
    relay.ApplyConfig(answer, now);
  }

  auto AnswerGateway(std::uint64_t have) -> schema::sync_answer {
    auto request = schema::sync_request();
    request.set_have_config(have);
    auto answer = schema::sync_answer();
    relay.FillConfig(request, own, answer, now);
    return answer;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(sync_relay_rules, relay_fixture)

BOOST_AUTO_TEST_CASE(a_relay_serves_only_with_a_fresh_answer_of_the_leader) {
  BOOST_TEST(!relay.CanServeGateways(now));
  SyncWithLeader();
  BOOST_TEST(relay.CanServeGateways(now));
  BOOST_TEST(relay.CanServeGateways(now + sync_relay::kLeaderTimeout));
  BOOST_TEST(!relay.CanServeGateways(now + sync_relay::kLeaderTimeout +
                                     milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(few_gateways_sync_with_the_leader_directly) {
  gateway_count = sync_relay::kMaxDirectGateways;
  SyncWithLeader();
  BOOST_TEST(!relay.CanServeGateways(now));
  gateway_count = sync_relay::kMaxDirectGateways + 1;
  SyncWithLeader();
  BOOST_TEST(relay.CanServeGateways(now));
}

// Load that it answers: the leader is lost while servers crash. They never
// announce themselves to the next leader, which lists only the others.
BOOST_AUTO_TEST_CASE(servers_that_a_new_leader_does_not_list_are_dropped) {
  SyncWithLeader();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  source = "leader/2";
  registry = backend_registry(backend_registry_options());
  index.Clear();
  Announce("i-2", 1);
  const auto changed_at = now;
  const auto find = [&](std::int64_t after_ms) {
    now = changed_at + milliseconds(after_ms);
    SyncWithLeader();
    Sync("edge-1", replica);
    return replica.get_registry().Find(backend_name("i-1"));
  };
  BOOST_REQUIRE(find(100) != nullptr);
  BOOST_TEST(!find(2600)->is_suspected);
  BOOST_TEST(find(9000)->is_suspected);
  BOOST_TEST(find(90000) == nullptr);
  const auto* listed = replica.get_registry().Find(backend_name("i-2"));
  BOOST_REQUIRE(listed != nullptr);
  BOOST_TEST(!listed->is_suspected);
}

// A follower that becomes the leader starts from this copy, so a server that
// leaves without another announcement is known by its start.
BOOST_AUTO_TEST_CASE(a_follower_keeps_a_copy_of_the_leaders_registry) {
  SyncWithLeader();
  auto own = relay.get_registry();
  BOOST_TEST(own.get_records().size() == 2U);
  own.Refresh(now);
  own.Leave({backend_name("i-1"), 0, now});
  BOOST_TEST(own.Find(backend_name("i-1"))->status.start_time_ms == 5U);
  now += milliseconds(4100);
  BOOST_TEST(own.Expire(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_relay_passes_on_what_gateways_observe) {
  SyncWithLeader();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  auto request = schema::sync_request();
  request.set_vm("edge-1");
  replica.FillRequest(request);
  request.add_unreachable(replica.get_index().GetNumber(backend_name("i-2")));
  auto sums = first_event_sums();
  sums.Add(1.5, 0.1);
  *request.mutable_first_events() = ToSchema(sums);
  relay.HandleGatewaySync(request, now, now);
  relay.HandleGatewaySync(request, now, now);
  const auto to_leader = SyncWithLeader();
  BOOST_REQUIRE(to_leader.unreachable_size() == 1);
  BOOST_TEST(to_leader.unreachable(0) == index.GetNumber(backend_name("i-2")));
  BOOST_TEST(to_leader.first_events().count() == 2);
  BOOST_TEST(to_leader.first_events().tokens() == 3);
  BOOST_TEST(SyncWithLeader().unreachable_size() == 0);
}

BOOST_AUTO_TEST_CASE(a_gateway_gets_the_registry_once_and_then_its_changes) {
  SyncWithLeader();
  auto replica = registry_replica();
  BOOST_TEST(Sync("edge-1", replica).backends_size() == 2);
  BOOST_TEST(Sync("edge-1", replica).backends_size() == 0);
  Announce("i-2", 2);
  SyncWithLeader();
  const auto answer = Sync("edge-1", replica);
  BOOST_REQUIRE(answer.backends_size() == 1);
  BOOST_TEST(answer.backends(0).id() == "i-2");
  BOOST_TEST(
      replica.get_registry().Find(backend_name("i-2"))->status.is_leaving);
}

BOOST_AUTO_TEST_CASE(the_leader_gets_the_revision_sent_to_each_gateway) {
  SyncWithLeader();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  const auto first = SyncWithLeader();
  BOOST_REQUIRE(first.relayed_size() == 1);
  BOOST_TEST(first.relayed(0).told_roster() == registry.get_revision());
  // A change that the relay has received and the gateway has not.
  Announce("i-2", 2);
  const auto before = registry.get_revision() - 1;
  SyncWithLeader();
  BOOST_TEST(SyncWithLeader().relayed(0).told_roster() == before);
  Sync("edge-1", replica);
  BOOST_TEST(SyncWithLeader().relayed(0).told_roster() ==
             registry.get_revision());
}

// RECOVER: a leader that had started anew was not told which servers limit
// their requests, and so granted no permits.
BOOST_AUTO_TEST_CASE(a_new_leader_is_told_the_limits_of_the_one_before) {
  const auto id = backend_name("i-2");
  auto limit = request_limit();
  limit.rate = request_rate(20000);
  limit.observed = now;
  registry.ObserveLimit(id, registry.Find(id)->status.start_time_ms, limit);
  SyncWithLeader();
  BOOST_TEST(SyncWithLeader().permit_requests_size() == 0);
  // Its registry has the server, but not what it said.
  registry = backend_registry(backend_registry_options());
  Announce("i-1", 10);
  Announce("i-2", 10);
  source = "other/2";
  SyncWithLeader();
  const auto told = SyncWithLeader();
  BOOST_REQUIRE(told.permit_requests_size() == 1);
  BOOST_TEST(told.permit_requests(0).news().rate() == 20000U);
  registry.ObserveLimit(id, registry.Find(id)->status.start_time_ms, limit);
  SyncWithLeader();
  BOOST_TEST(SyncWithLeader().permit_requests_size() == 0);
}

BOOST_AUTO_TEST_CASE(a_new_leader_resets_the_revisions_sent) {
  SyncWithLeader();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  source = "other/2";
  SyncWithLeader();
  BOOST_TEST(SyncWithLeader().relayed(0).told_roster() == 0U);
  // The gateway gets all records with the new leader's server numbers.
  BOOST_TEST(Sync("edge-1", replica).backends_size() == 2);
  BOOST_TEST(SyncWithLeader().relayed(0).told_roster() ==
             registry.get_revision());
}

BOOST_AUTO_TEST_CASE(loads_combine_the_leaders_answer_and_newer_reports) {
  SyncWithLeader();
  auto first = registry_replica();
  auto second = registry_replica();
  Sync("edge-1", first);
  Sync("edge-2", second);
  Sync("edge-1", first, {{"i-1", 3}});
  Sync("edge-2", second, {{"i-1", 2}, {"i-2", 1}});
  const auto request = SyncWithLeader({{"i-1", 9}, {"i-2", 1}});
  BOOST_TEST(request.loads().numbers_size() == 2);
  // Gateways elsewhere have 4 requests at i-1 (9 - 3 - 2); one gateway of this
  // relay reports a change.
  auto loads = GetLoads(Sync("edge-1", first, {{"i-1", 7}}), first);
  BOOST_TEST(loads["i-1"] == 13U);
  BOOST_TEST(loads["i-2"] == 1U);
  loads = GetLoads(Sync("edge-2", second, {}), second);
  BOOST_TEST(loads["i-1"] == 11U);
  BOOST_TEST(loads.count("i-2") == 1U);
  BOOST_TEST(loads["i-2"] == 0U);
}

BOOST_AUTO_TEST_CASE(demands_of_all_gateways_are_forwarded_once) {
  SyncWithLeader();
  auto replica = registry_replica();
  BOOST_TEST(!relay.HasUnservedDemand());
  Sync("edge-1", replica, {}, 2);
  Sync("edge-2", replica, {}, 3);
  BOOST_TEST(relay.HasUnservedDemand());
  const auto request = SyncWithLeader();
  BOOST_REQUIRE(request.demands_size() == 1);
  BOOST_TEST(request.demands(0).arrived() == 5U);
  BOOST_TEST(request.demands(0).refused() == 5U);
  BOOST_TEST(!relay.HasUnservedDemand());
  BOOST_TEST(SyncWithLeader().demands_size() == 0);
}

BOOST_AUTO_TEST_CASE(a_silent_gateway_is_dropped) {
  SyncWithLeader();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  now += milliseconds(400);
  BOOST_TEST(SyncWithLeader().relayed(0).silent_ms() == 400U);
  now += sync_relay::kGatewayTimeout;
  BOOST_TEST(SyncWithLeader().relayed_size() == 0);
  BOOST_TEST(!relay.HasGateways());
}

BOOST_AUTO_TEST_CASE(an_older_report_from_another_relay_is_ignored) {
  auto known_gateways = gateway_registry();
  auto record = gateway_info();
  record.vm = vm_name("edge-1");
  record.is_ready = false;
  record.last_seen = now;
  known_gateways.Update(record);
  record.is_ready = true;
  record.last_seen = now - milliseconds(300);
  BOOST_TEST(!known_gateways.Update(record));
  BOOST_TEST(known_gateways.CountReady(now) == 0U);

  auto acks = drain_acks();
  acks.OnRevisionSent(vm_name("edge-1"), 5, now);
  acks.OnRevisionSent(vm_name("edge-1"), 9, now - milliseconds(300));
  auto is_known = false;
  acks.Wait(7, now, [&is_known](bool known) { is_known = known; });
  BOOST_TEST(!is_known);
  acks.OnRevisionSent(vm_name("edge-1"), 7, now);
  acks.Tick(now);
  BOOST_TEST(is_known);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(config_relay, config_relay_fixture)

BOOST_AUTO_TEST_CASE(a_relay_one_version_behind_confirms_nothing) {
  TakeLeaderAnswer(5, "", true);
  const auto answer = AnswerGateway(3);
  BOOST_TEST(answer.config_number() == 3U);
  BOOST_TEST(answer.states_config());
  BOOST_TEST(!answer.confirms_config());
}

BOOST_AUTO_TEST_CASE(a_relay_passes_on_what_it_has_not_replicated) {
  TakeLeaderAnswer(5, "five", true);
  const auto answer = AnswerGateway(3);
  BOOST_TEST(answer.config_number() == 5U);
  BOOST_TEST(answer.config() == "five");
  BOOST_TEST(answer.confirms_config());
  auto request = schema::sync_request();
  relay.RequestConfig(request, own);
  BOOST_TEST(request.have_config() == 5U);
  TakeLeaderAnswer(4, "four", false);  // a leader that was deposed
  BOOST_TEST(AnswerGateway(3).config_number() == 5U);
}

BOOST_AUTO_TEST_CASE(a_confirmation_ages_from_when_the_leader_was_asked) {
  TakeLeaderAnswer(3, "", true);
  now += milliseconds(400);
  TakeLeaderAnswer(3, "", false);
  const auto answer = AnswerGateway(3);
  BOOST_TEST(answer.confirms_config());
  BOOST_TEST(answer.config_age_ms() >= 400U);
}

BOOST_AUTO_TEST_CASE(a_relay_that_was_told_nothing_confirms_nothing) {
  BOOST_TEST(!AnswerGateway(3).confirms_config());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
