#include <boost/test/unit_test.hpp>
#include <random>

#include "codec/site_codec.h"
#include "control/drain_acks.h"
#include "control/gateway_registry.h"
#include "control/load_totals.h"
#include "control/relay_shedder.h"
#include "control/transfer_limiter.h"
#include "core/error_kind.h"
#include "drivers/compression.h"
#include "tests/test_support.h"

namespace ebony::testing {

BOOST_AUTO_TEST_SUITE(coordinator_parts)

BOOST_AUTO_TEST_CASE(numbers_identify_servers_until_the_leader_changes) {
  auto leader = backend_index();
  const auto first = leader.Assign(backend_name("i-1"));
  const auto second = leader.Assign(backend_name("i-2"));
  BOOST_TEST(first != 0U);
  BOOST_TEST(first != second);
  BOOST_TEST(leader.Assign(backend_name("i-1")) == first);
  auto gateway = backend_index();
  gateway.Insert(second, backend_name("i-2"));
  gateway.Insert(0, backend_name("i-3"));
  BOOST_TEST(gateway.GetNumber(backend_name("i-2")) == second);
  BOOST_TEST(gateway.GetNumber(backend_name("i-3")) == 0U);
  BOOST_TEST(gateway.FindName(0) == nullptr);
  BOOST_TEST(gateway.FindName(first) == nullptr);
  gateway.Clear();
  BOOST_TEST(gateway.FindName(second) == nullptr);
}

BOOST_AUTO_TEST_CASE(loads_of_unknown_numbers_and_malformed_rows_are_skipped) {
  auto numbers = backend_index();
  const auto known = numbers.Assign(backend_name("i-1"));
  auto rows = schema::backend_loads();
  AddLoad(rows, known, 3, 900);
  AddLoad(rows, known + 1, 5, 500);
  AddLoad(rows, 0, 7, 700);
  rows.add_numbers(known);  // the row lacks its other columns
  auto seen = std::vector<std::string>();
  ForEachLoad(rows, numbers,
              [&seen](const backend_name& id, std::uint32_t requests,
                      std::uint64_t tokens) {
                seen.push_back(id.get() + " " + std::to_string(requests) + " " +
                               std::to_string(tokens));
              });
  BOOST_TEST(seen == std::vector<std::string>{"i-1 3 900"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_relay_sends_away_what_is_beyond_two_even_shares) {
  auto random = std::uint64_t{0};
  auto shedder = relay_shedder([&random](std::uint64_t) { return random; });
  BOOST_TEST(!shedder.MustLeave(291, 291));  // it knows no other relay
  auto relays = std::vector<relay_address>();
  for (auto i = 0; i < 8; ++i) {
    relays.push_back({host_port("10.0.0." + std::to_string(i) + ":1"),
                      data_centre_name("z1")});
  }
  shedder.SetRelays(relays, host_port("10.0.0.3:1"));
  BOOST_TEST(shedder.get_others().size() == 7U);
  BOOST_TEST(!shedder.MustLeave(72, 291));
  BOOST_TEST(shedder.MustLeave(134, 291));
  random = 62;  // of 268: the excess of 134 over 72
  BOOST_TEST(!shedder.MustLeave(134, 291));
}

BOOST_AUTO_TEST_CASE(totals_are_the_sum_of_the_newest_reports) {
  auto generator = std::mt19937_64(3);
  auto totals = load_totals();
  using amounts = std::map<std::uint32_t, load_amount>;
  auto newest = std::map<vm_name, amounts>();
  for (auto round = 0; round < 500; ++round) {
    const auto vm = vm_name("g" + std::to_string(generator() % 9));
    auto report = amounts();
    for (auto row = generator() % 4; row > 0; --row) {
      const auto number = static_cast<std::uint32_t>(1 + generator() % 5);
      report[number] = {1 + generator() % 3, generator() % 100};
    }
    newest[vm] = report;
    auto rows = load_report();
    for (const auto& [number, amount] : report) {
      rows.push_back({number, amount});
    }
    totals.Report(vm, rows, At(round));
    auto expected = std::map<std::uint32_t, std::uint64_t>();
    for (const auto& [name, list] : newest) {
      for (const auto& [number, amount] : list) {
        expected[number] += amount.requests;
      }
    }
    BOOST_TEST_REQUIRE(totals.GetReport().size() == expected.size());
    for (const auto& [number, requests] : expected) {
      BOOST_TEST_REQUIRE(totals.Get(number).requests == requests);
    }
  }
  totals.Expire(At(60000));
  BOOST_TEST(totals.GetReport().empty());
}

BOOST_AUTO_TEST_CASE(deflated_bytes_round_trip_and_corruption_is_detected) {
  auto text = std::string();
  for (auto i = 0; i < 5000; ++i) {
    text += "route-" + std::to_string(i);
  }
  auto deflated = Deflate(text);
  BOOST_TEST(deflated.bytes.size() * 3 < text.size());
  BOOST_TEST(Inflate(deflated) == text);
  auto shorter = deflated;
  shorter.inflated_size -= 1;
  BOOST_CHECK_THROW(Inflate(shorter), ebony_error);
  deflated.bytes.resize(deflated.bytes.size() / 2);
  BOOST_CHECK_THROW(Inflate(deflated), ebony_error);
  BOOST_TEST(Inflate(Deflate({})).empty());
}

BOOST_AUTO_TEST_CASE(a_new_leader_sends_few_whole_registries_a_second) {
  auto transfers = transfer_limiter();
  auto sent = 0;
  for (auto ms = 0; ms < 1000; ++ms) {
    sent += transfers.TryTake(At(ms)) ? 1 : 0;
  }
  BOOST_TEST(sent == 20);
}

BOOST_AUTO_TEST_CASE(a_departure_is_acknowledged_once_live_gateways_have_it) {
  auto acks = drain_acks();
  auto outcome = std::string("pending");
  const auto done = [&outcome](bool is_propagated) {
    outcome = is_propagated ? "acknowledged" : "failed";
  };
  acks.OnRevisionSent(vm_name("g1"), 4, At(0));
  acks.OnRevisionSent(vm_name("g2"), 4, At(0));
  acks.Wait(4, At(10), done);
  BOOST_TEST(outcome == "acknowledged");
  outcome = "pending";
  acks.Wait(5, At(20), done);
  acks.OnRevisionSent(vm_name("g1"), 5, At(50));
  acks.Tick(At(50));
  BOOST_TEST(outcome == "pending");
  acks.OnRevisionSent(vm_name("g2"), 5, At(60));
  acks.Tick(At(60));
  BOOST_TEST(outcome == "acknowledged");
}

BOOST_AUTO_TEST_CASE(a_silent_gateway_is_not_waited_for) {
  auto acks = drain_acks();
  auto outcome = std::string("pending");
  const auto done = [&outcome](bool is_propagated) {
    outcome = is_propagated ? "acknowledged" : "failed";
  };
  acks.OnRevisionSent(vm_name("g1"), 4, At(0));
  acks.OnRevisionSent(vm_name("g2"), 4, At(0));
  acks.Wait(5, At(10), done);
  acks.OnRevisionSent(vm_name("g1"), 5, At(60));
  acks.Tick(At(300));
  BOOST_TEST(outcome == "pending");
  acks.Tick(At(500));
  BOOST_TEST(outcome == "acknowledged");
}

BOOST_AUTO_TEST_CASE(a_leadership_change_fails_pending_acknowledgements) {
  auto acks = drain_acks();
  auto outcome = std::string("pending");
  acks.OnRevisionSent(vm_name("g1"), 4, At(0));
  acks.Wait(5, At(10), [&outcome](bool is_propagated) {
    outcome = is_propagated ? "acknowledged" : "failed";
  });
  acks.Clear();
  BOOST_TEST(outcome == "failed");
}

BOOST_AUTO_TEST_CASE(only_ready_gateways_with_a_recent_sync_are_listed) {
  auto gateways = gateway_registry();
  auto record = gateway_info();
  record.vm = vm_name("g1");
  record.is_ready = true;
  record.last_seen = At(0);
  gateways.Update(record);
  BOOST_TEST(gateways.ListReady(At(1400)).size() == 1U);
  BOOST_TEST(gateways.ListReady(At(1600)).empty());
  record.is_ready = false;
  record.last_seen = At(1600);
  gateways.Update(record);
  BOOST_TEST(gateways.ListReady(At(1600)).empty());
  BOOST_TEST(gateways.CountLive(At(1600)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
