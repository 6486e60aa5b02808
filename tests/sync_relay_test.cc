#include "main/sync_relay.h"

#include <boost/test/unit_test.hpp>

#include "codec/site_codec.h"
#include "control/drain_acks.h"
#include "control/gateway_registry.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// A leader with two servers, a relay, and what gateways say to it.
struct relay_fixture {
  mono_time now = mono_time() + std::chrono::seconds(100);
  backend_registry roster{backend_registry_options()};
  backend_numbers numbers;
  std::string source = "leader/1";
  std::uint32_t gateways = 86;
  sync_relay relay{vm_name("core-2")};

  relay_fixture() {
    Announce("i-1", 1);
    Announce("i-2", 1);
  }

  auto Announce(const std::string& id, std::uint64_t sequence) -> void {
    auto status = backend_status();
    status.id = backend_name(id);
    status.service = service_name("models");
    status.sequence = sequence;
    status.born_ms = 5;
    status.is_leaving = sequence > 1;
    roster.Announce(status, now);
    numbers.Assign(status.id);
  }

  auto MakeLeaderAnswer(const schema::sync_request& request)
      -> schema::sync_answer {
    auto answer = schema::sync_answer();
    answer.set_is_leader(true);
    answer.set_gateway_count(gateways);
    answer.set_roster_source(source);
    answer.set_roster_revision(roster.get_revision());
    const auto since =
        request.roster_source() == source ? request.have_roster() : 0;
    for (const auto* record : roster.ListSince(since)) {
      auto* row = answer.add_backends();
      *row = ToSchema(*record, now);
      row->set_number(numbers.GetNumber(record->status.id));
    }
    return answer;
  }

  // One exchange of the relay with the leader, with loads of all gateways.
  auto Exchange(const std::map<std::string, std::uint32_t>& loads = {})
      -> schema::sync_request {
    auto request = schema::sync_request();
    relay.FillLeaderRequest(request, now);
    auto answer = MakeLeaderAnswer(request);
    for (const auto& [id, amount] : loads) {
      AddLoad(*answer.mutable_loads(), numbers.GetNumber(backend_name(id)),
              amount, 0);
    }
    relay.ApplyLeaderAnswer(answer, now);
    return request;
  }

  // A gateway's sync, as `replica` of that gateway asks.
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
              replica.get_numbers().GetNumber(backend_name(id)), amount, 0);
    }
    if (missing > 0) {
      auto* row = request.add_demands();
      row->set_service("models");
      row->set_model("m1");
      row->set_arrived(missing);
      row->set_refused(missing);
    }
    relay.HandleGatewaySync(request, now);
    auto answer = schema::sync_answer();
    relay.FillGatewayAnswer(request, answer, now);
    replica.ApplyAnswer(answer, now, [](const backend_record&) {});
    return answer;
  }

  auto GetLoads(const schema::sync_answer& answer,
                const registry_replica& replica)
      -> std::map<std::string, std::uint32_t> {
    auto loads = std::map<std::string, std::uint32_t>();
    ForEachLoad(answer.loads(), replica.get_numbers(),
                [&loads](const backend_name& id, std::uint32_t requests,
                         std::uint64_t) { loads[id.get()] = requests; });
    return loads;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(sync_relay_rules, relay_fixture)

BOOST_AUTO_TEST_CASE(a_relay_speaks_only_with_fresh_word_of_the_leader) {
  BOOST_TEST(!relay.IsCurrent(now));
  Exchange();
  BOOST_TEST(relay.IsCurrent(now));
  BOOST_TEST(relay.IsCurrent(now + sync_relay::kLeaderTimeout));
  BOOST_TEST(
      !relay.IsCurrent(now + sync_relay::kLeaderTimeout + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(few_gateways_sync_with_the_leader_itself) {
  gateways = sync_relay::kMaxDirectGateways;
  Exchange();
  BOOST_TEST(!relay.IsCurrent(now));
  gateways = sync_relay::kMaxDirectGateways + 1;
  Exchange();
  BOOST_TEST(relay.IsCurrent(now));
}

BOOST_AUTO_TEST_CASE(a_gateway_gets_the_roster_once_and_then_its_changes) {
  Exchange();
  auto replica = registry_replica();
  BOOST_TEST(Sync("edge-1", replica).backends_size() == 2);
  BOOST_TEST(Sync("edge-1", replica).backends_size() == 0);
  Announce("i-2", 2);
  Exchange();
  const auto answer = Sync("edge-1", replica);
  BOOST_REQUIRE(answer.backends_size() == 1);
  BOOST_TEST(answer.backends(0).id() == "i-2");
  BOOST_TEST(
      replica.get_registry().Find(backend_name("i-2"))->status.is_leaving);
}

BOOST_AUTO_TEST_CASE(the_leader_hears_which_revision_each_gateway_was_told) {
  Exchange();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  const auto first = Exchange();
  BOOST_REQUIRE(first.relayed_size() == 1);
  BOOST_TEST(first.relayed(0).told_roster() == roster.get_revision());
  // A change that the relay has and the gateway does not.
  Announce("i-2", 2);
  const auto before = roster.get_revision() - 1;
  Exchange();
  BOOST_TEST(Exchange().relayed(0).told_roster() == before);
  Sync("edge-1", replica);
  BOOST_TEST(Exchange().relayed(0).told_roster() == roster.get_revision());
}

BOOST_AUTO_TEST_CASE(another_leader_takes_nothing_as_told) {
  Exchange();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  source = "other/2";
  Exchange();
  BOOST_TEST(Exchange().relayed(0).told_roster() == 0U);
  // The gateway learns the other leader's numbers with the whole roster.
  BOOST_TEST(Sync("edge-1", replica).backends_size() == 2);
  BOOST_TEST(Exchange().relayed(0).told_roster() == roster.get_revision());
}

BOOST_AUTO_TEST_CASE(loads_are_those_of_others_and_the_newest_of_its_own) {
  Exchange();
  auto first = registry_replica();
  auto second = registry_replica();
  Sync("edge-1", first);
  Sync("edge-2", second);
  Sync("edge-1", first, {{"i-1", 3}});
  Sync("edge-2", second, {{"i-1", 2}, {"i-2", 1}});
  const auto request = Exchange({{"i-1", 9}, {"i-2", 1}});
  BOOST_TEST(request.loads().numbers_size() == 2);
  // Others have 4 at i-1; of its own gateways one reports a change.
  auto seen = GetLoads(Sync("edge-1", first, {{"i-1", 7}}), first);
  BOOST_TEST(seen["i-1"] == 13U);
  BOOST_TEST(seen["i-2"] == 1U);
  seen = GetLoads(Sync("edge-2", second, {}), second);
  BOOST_TEST(seen["i-1"] == 11U);
  BOOST_TEST(seen.count("i-2") == 1U);
  BOOST_TEST(seen["i-2"] == 0U);
}

BOOST_AUTO_TEST_CASE(demands_of_all_its_gateways_go_on_once) {
  Exchange();
  auto replica = registry_replica();
  BOOST_TEST(!relay.HasUnservedDemand());
  Sync("edge-1", replica, {}, 2);
  Sync("edge-2", replica, {}, 3);
  BOOST_TEST(relay.HasUnservedDemand());
  const auto request = Exchange();
  BOOST_REQUIRE(request.demands_size() == 1);
  BOOST_TEST(request.demands(0).arrived() == 5U);
  BOOST_TEST(request.demands(0).refused() == 5U);
  BOOST_TEST(!relay.HasUnservedDemand());
  BOOST_TEST(Exchange().demands_size() == 0);
}

BOOST_AUTO_TEST_CASE(a_silent_gateway_is_left_to_others) {
  Exchange();
  auto replica = registry_replica();
  Sync("edge-1", replica);
  now += milliseconds(400);
  BOOST_TEST(Exchange().relayed(0).silent_ms() == 400U);
  now += sync_relay::kGatewayTimeout;
  BOOST_TEST(Exchange().relayed_size() == 0);
  BOOST_TEST(!relay.HasGateways());
}

BOOST_AUTO_TEST_CASE(a_former_relay_says_nothing_new_of_a_gateway) {
  auto registry = gateway_registry();
  auto record = gateway_info();
  record.vm = vm_name("edge-1");
  record.is_ready = false;
  record.last_seen = now;
  registry.Update(record);
  record.is_ready = true;
  record.last_seen = now - milliseconds(300);
  BOOST_TEST(!registry.Update(record));
  BOOST_TEST(registry.CountReady(now) == 0U);

  auto departures = drain_acks();
  departures.OnRevisionSent(vm_name("edge-1"), 5, now);
  departures.OnRevisionSent(vm_name("edge-1"), 9, now - milliseconds(300));
  auto is_known = false;
  departures.Wait(7, now, [&is_known](bool known) { is_known = known; });
  BOOST_TEST(!is_known);
  departures.OnRevisionSent(vm_name("edge-1"), 7, now);
  departures.Tick(now);
  BOOST_TEST(is_known);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
