#include "entry/server_paths.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "codec/handover_codec.h"
#include "control/peer_choice.h"
#include "entry/peer_selector.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

auto At(int ms) -> mono_time {
  return mono_time(std::chrono::seconds(100) + milliseconds(ms));
}

const auto kThree = std::vector<backend_name>{
    backend_name("a"), backend_name("b"), backend_name("c")};

// Runs a round in which all servers give these answers.
auto RunRound(server_paths& paths,
              const std::vector<path_answer>& answers,
              int at) -> void {
  paths.StartRound(kThree, At(at));
  for (auto i = std::size_t{0}; i < answers.size(); ++i) {
    paths.OnAnswer(kThree[i], answers[i], At(at + 1));
  }
}

auto AddGateway(gateway_registry& gateways,
                const std::string& vm,
                const std::string& data_centre,
                bool reaches_no_server = false) -> void {
  auto info = gateway_info();
  info.vm = vm_name(vm);
  info.data_centre = data_centre_name(data_centre);
  info.peer_address = host_port(vm + ":1");
  info.is_ready = true;
  info.last_seen = At(0);
  info.reaches_no_server = reaches_no_server;
  gateways.Update(info);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_path)

BOOST_AUTO_TEST_CASE(paths_close_only_when_every_server_of_a_round_fails) {
  constexpr auto kNo = path_answer::refused;
  constexpr auto kSilent = path_answer::unanswered;
  constexpr auto kYes = path_answer::answered;
  struct row {
    std::vector<path_answer> answers;
    path_state state;
    bool is_hanging;
  };
  const auto rows = std::vector<row>{
      {{kNo, kNo, kNo}, path_state::closed, false},
      {{kSilent, kSilent, kSilent}, path_state::closed, true},
      {{kSilent, kSilent, kNo}, path_state::closed, true},
      {{kNo, kNo}, path_state::in_doubt, false},
      {{kNo, kNo, kYes}, path_state::open, false},
      {{kYes, kNo, kNo}, path_state::open, false},
      {{kSilent, kYes}, path_state::open, false},
  };
  for (const auto& item : rows) {
    auto paths = server_paths();
    BOOST_TEST(!paths.IsRoundDue(At(0)));
    paths.OnDoubt();
    BOOST_TEST(paths.IsRoundDue(At(0)));
    RunRound(paths, item.answers, 0);
    BOOST_TEST((paths.get_state() == item.state));
    BOOST_TEST(paths.is_hanging() == item.is_hanging);
  }
}

BOOST_AUTO_TEST_CASE(closed_paths_are_tried_again_and_open_with_any_answer) {
  auto paths = server_paths();
  paths.OnDoubt();
  RunRound(paths, {3, path_answer::refused}, 0);
  BOOST_TEST(!paths.IsRoundDue(At(299)));
  BOOST_TEST(paths.IsRoundDue(At(300)));
  RunRound(paths, {path_answer::refused, path_answer::answered}, 300);
  BOOST_TEST((paths.get_state() == path_state::open));
  // A late answer of the decided round changes nothing.
  paths.OnAnswer(kThree[2], path_answer::refused, At(310));
  BOOST_TEST((paths.get_state() == path_state::open));
}

BOOST_AUTO_TEST_CASE(one_server_that_fails_after_an_answer_is_no_doubt) {
  auto paths = server_paths();
  paths.OnAnswered(At(0));
  paths.OnServerFailed(kThree[0], At(400));
  paths.OnServerFailed(kThree[0], At(450));
  BOOST_TEST((paths.get_state() == path_state::open));
  paths.OnServerFailed(kThree[0], At(500));
  BOOST_TEST((paths.get_state() == path_state::in_doubt));
}

BOOST_AUTO_TEST_CASE(two_servers_that_fail_are_a_doubt_at_once) {
  auto paths = server_paths();
  paths.OnAnswered(At(0));
  paths.OnServerFailed(kThree[0], At(1));
  BOOST_TEST((paths.get_state() == path_state::open));
  paths.OnServerFailed(kThree[1], At(2));
  BOOST_TEST((paths.get_state() == path_state::in_doubt));
}

BOOST_AUTO_TEST_CASE(without_a_server_to_try_the_paths_stay_open) {
  auto paths = server_paths();
  paths.OnDoubt();
  paths.StartRound({}, At(0));
  BOOST_TEST((paths.get_state() == path_state::open));
}

BOOST_AUTO_TEST_CASE(peers_reach_servers_and_half_of_them_are_elsewhere) {
  auto gateways = gateway_registry();
  for (auto i = 0; i < 20; ++i) {
    AddGateway(gateways, "near-" + std::to_string(i), "dc-1", i >= 10);
    AddGateway(gateways, "far-" + std::to_string(i), "dc-2");
  }
  const auto peers = ChoosePeers(gateways, vm_name("near-0"),
                                 data_centre_name("dc-1"), At(100));
  BOOST_REQUIRE(peers.size() == kMaxPeers);
  auto near = 0;
  for (const auto& peer : peers) {
    BOOST_TEST((peer.vm != vm_name("near-0")));
    BOOST_TEST(!gateways.get_all().at(peer.vm).reaches_no_server);
    near += peer.data_centre == data_centre_name("dc-1") ? 1 : 0;
  }
  BOOST_TEST(near == 4);
  // A whole data centre is cut off: all peers are elsewhere.
  for (auto i = 0; i < 20; ++i) {
    AddGateway(gateways, "near-" + std::to_string(i), "dc-1", true);
  }
  const auto far = ChoosePeers(gateways, vm_name("near-0"),
                               data_centre_name("dc-1"), At(100));
  BOOST_TEST(far.size() == kMaxPeers);
  // Gateways that have timed out are no peers.
  BOOST_TEST(ChoosePeers(gateways, vm_name("near-0"), data_centre_name("dc-1"),
                         At(2000))
                 .empty());
}

// Load that it answers: a third of 403 gateways lose their paths at once.
BOOST_AUTO_TEST_CASE(requests_of_many_cut_gateways_spread_over_the_others) {
  constexpr auto kGateways = 403;
  constexpr auto kRequestsEach = 40;
  auto gateways = gateway_registry();
  for (auto i = 0; i < kGateways; ++i) {
    AddGateway(gateways, "vm-" + std::to_string(i),
               "dc-" + std::to_string(i % 3), i % 3 == 0);
  }
  auto received = std::map<vm_name, int>();
  auto total = 0;
  for (auto i = 0; i < kGateways; i += 3) {
    const auto vm = vm_name("vm-" + std::to_string(i));
    auto next = std::uint64_t{1};
    auto selector = peer_selector(
        data_centre_name("dc-0"),
        [&next](std::uint64_t bound) { return (next += 7919) % bound; });
    selector.SetPeers(
        ChoosePeers(gateways, vm, data_centre_name("dc-0"), At(0)));
    for (auto request = 0; request < kRequestsEach; ++request) {
      const auto* peer = selector.Choose({}, At(0));
      BOOST_REQUIRE((peer != nullptr));
      selector.OnStarted(peer->vm);
      ++received[peer->vm];
      ++total;
    }
  }
  const auto healthy = kGateways - (kGateways + 2) / 3;
  const auto mean = static_cast<double>(total) / healthy;
  for (const auto& [vm, count] : received) {
    BOOST_TEST(count <= 4 * mean);
  }
}

BOOST_AUTO_TEST_CASE(peers_of_the_own_data_centre_come_first) {
  auto selector =
      peer_selector(data_centre_name("dc-1"), [](std::uint64_t) { return 0; });
  selector.SetPeers(
      {{vm_name("far"), host_port("f:1"), data_centre_name("dc-2")},
       {vm_name("near"), host_port("n:1"), data_centre_name("dc-1")}});
  BOOST_TEST((selector.Choose({}, At(0))->vm == vm_name("near")));
  selector.OnStarted(vm_name("near"));
  BOOST_TEST((selector.Choose({}, At(0))->vm == vm_name("near")));
  selector.OnFailed(vm_name("near"), At(0));
  BOOST_TEST((selector.Choose({}, At(1))->vm == vm_name("far")));
  BOOST_TEST((selector.Choose({vm_name("far")}, At(1)) == nullptr));
  BOOST_TEST((selector.Choose({}, At(501))->vm == vm_name("near")));
}

BOOST_AUTO_TEST_CASE(callers_are_sent_to_gateways_that_reach_servers) {
  auto gateways = gateway_registry();
  AddGateway(gateways, "a", "dc-1", true);
  AddGateway(gateways, "b", "dc-1");
  BOOST_REQUIRE(gateways.ListForCallers(At(0)).size() == 1U);
  BOOST_TEST((gateways.ListForCallers(At(0))[0].vm == vm_name("b")));
  // If none does, all of them are better than none.
  AddGateway(gateways, "b", "dc-1", true);
  BOOST_TEST(gateways.ListForCallers(At(0)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(terms_and_results_of_a_handover_survive_their_encoding) {
  auto terms = handover_terms();
  terms.config = config_number(7);
  terms.service = service_name("s");
  terms.software = software_version("v2");
  terms.tried = {backend_name("i-1"), backend_name("i-2")};
  const auto decoded = DecodeTerms(EncodeTerms(terms));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->config == terms.config));
  BOOST_TEST((decoded->service == terms.service));
  BOOST_TEST((decoded->software == terms.software));
  BOOST_TEST((decoded->tried == terms.tried));
  auto result = handover_result();
  result.error = error_kind::overloaded;
  result.is_declined = true;
  result.retry_after = milliseconds(250);
  result.backend = backend_name("i-1");
  result.start_time_ms = 5;
  const auto returned = DecodeResult(EncodeResult(result));
  BOOST_REQUIRE(returned.has_value());
  BOOST_TEST((returned->error == result.error));
  BOOST_TEST(returned->is_declined);
  BOOST_TEST((returned->retry_after == result.retry_after));
  BOOST_TEST((returned->backend == result.backend));
  BOOST_TEST(returned->start_time_ms == 5U);
  for (const auto* text : {"", "0", "xy", "0a", "ffff"}) {
    BOOST_TEST(!DecodeTerms(text).has_value());
  }
  BOOST_TEST(!DecodeResult("ffff").has_value());
}

BOOST_AUTO_TEST_CASE(the_address_for_peers_follows_from_its_port) {
  BOOST_TEST(GetPort(host_port("10.1.0.38:7381")) == 7381U);
  BOOST_TEST(GetPort(host_port()) == 0U);
  BOOST_TEST(
      (MakePeerAddress("10.1.0.38:8149", 7381) == host_port("10.1.0.38:7381")));
  BOOST_TEST((MakePeerAddress("10.1.0.38:8149", 0) == host_port()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
