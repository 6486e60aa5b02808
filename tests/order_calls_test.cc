#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/backend_registry.h"
#include "core/metrics.h"
#include "drivers/event_log.h"
#include "drivers/http_pool.h"
#include "main/order_executor.h"
#include "platform/request_codec.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

auto MakeReport(bool is_busy,
                const std::string& model,
                const std::string& status = "200") -> std::string {
  const auto body = std::string(R"({"stage":"both","busy":)") +
                    (is_busy ? "true" : "false") +
                    R"(,"seq":3,"models":[{"name":")" + model +
                    R"(","version":1,"adapters":[]}]})";
  return "HTTP/1.1 " + status +
         " X\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server on loopback. It answers the first call as busy, all later ones as
// idle, and writes the first answer once more before the next one on the same
// connection.
struct repeating_server {
  event_loop& loop;
  int calls = 0;
  int orders = 0;
  std::string report_status = "200";
  std::string order_status = "200";
  bool answers_orders = true;
  std::vector<std::shared_ptr<stream_socket>> sockets;
  stream_acceptor acceptor;

  explicit repeating_server(event_loop& used_loop)
      : loop(used_loop),
        acceptor(loop, host_port("127.0.0.1:0"), [this](int fd) {
          Adopt(fd);
        }) {}

  auto Adopt(int fd) -> void {
    sockets.push_back(std::make_shared<stream_socket>(loop));
    const auto socket = sockets.back();
    const auto repeated = std::make_shared<std::string>();
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [this, socket, repeated](std::string_view bytes) {
      const auto is_order = bytes.starts_with("POST");
      orders += is_order ? 1 : 0;
      if (is_order && !answers_orders) {
        return;
      }
      const auto answer = MakeReport(calls++ == 0, "m",
                                     is_order ? order_status : report_status);
      socket->Send(*repeated + answer);
      *repeated = calls == 1 ? answer : "";
    };
    socket->Adopt(fd, std::move(hooks));
  }

  auto GetAddress() const -> host_port {
    return host_port("127.0.0.1:" + std::to_string(acceptor.GetPort()));
  }
};

// A leader that may order what one server of an engine service holds.
struct ordering_leader {
  event_loop loop;
  event_log log{"test", 0};
  metrics counters;
  http_pool pool{loop, &platform::DecodeAnsweredId};
  backend_registry registry{backend_registry_options()};
  repeating_server server{loop};
  site_settings settings;
  site_config config;
  backend_status status;
  order_executor orders{settings,
                        loop,
                        pool,
                        log,
                        counters,
                        registry,
                        [] { return true; },
                        [](const backend_name&) { return 0.0; },
                        [] {}};

  ordering_leader() {
    auto service = service_spec();
    service.name = service_name("e");
    service.engine = engine_spec();
    config.services[service.name] = service;
    orders.StartLeading(1);
    RunFor(milliseconds(250), [] { return false; });
    status.id = backend_name("i-0");
    status.service = service.name;
    status.address = server.GetAddress();
    status.sequence = 1;
    registry.Announce(status, loop.get_now());
  }

  auto RunFor(duration time, const std::function<bool()>& done) -> void {
    const auto end = loop.RefreshNow() + time;
    loop.AddTimer(end, [] {});
    loop.Run([&] { return done() || loop.get_now() >= end; });
  }
  auto KnowsModels() const -> bool {
    auto known = status;
    orders.ApplyKnownModels(known);
    return !known.models.empty();
  }
};

auto AddModels(ordering_leader& leader) -> void {
  auto& engine = *leader.config.services[service_name("e")].engine;
  engine.model_memory_mb = 100;
  engine.adapter_slots = 2;
  engine.loads_per_second = 10;
  for (const auto* name : {"m", "n"}) {
    auto model = catalogue_model();
    model.name = model_name(name);
    model.weights_mb = 10;
    engine.models.push_back(model);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(order_calls)

BOOST_AUTO_TEST_CASE(a_report_repeated_late_is_not_taken_for_the_next_one) {
  auto leader = ordering_leader();
  RepeatEvery(leader.loop, milliseconds(20),
              [&leader] { leader.orders.Tick(leader.config); });
  leader.RunFor(std::chrono::seconds(3),
                [&leader] { return leader.KnowsModels(); });
  BOOST_TEST(leader.KnowsModels());
  // The second answer is believed; the copy of the first says "busy" again.
  BOOST_TEST(leader.server.calls == 2);
  BOOST_TEST(leader.server.sockets.size() == 2U);
}

// A report is believed by its body, which such an answer has as well.
BOOST_AUTO_TEST_CASE(a_report_whose_status_is_none_is_not_believed) {
  for (const auto* status : {"000", "099", "101", "600", "999"}) {
    BOOST_TEST_CONTEXT(status) {
      auto leader = ordering_leader();
      leader.server.report_status = status;
      RepeatEvery(leader.loop, milliseconds(20),
                  [&leader] { leader.orders.Tick(leader.config); });
      // The first report is busy in any case; the second one follows after the
      // pause that an unreadable report brings.
      leader.RunFor(std::chrono::seconds(3), [&leader] {
        return leader.counters.get_counter("ebony_unreadable_reports_total") >=
                   2 ||
               leader.KnowsModels();
      });
      BOOST_TEST(!leader.KnowsModels());
      BOOST_TEST(
          leader.counters.get_counter("ebony_unreadable_reports_total") >= 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(orders_and_checks_have_connections_of_their_own) {
  auto leader = ordering_leader();
  AddModels(leader);
  auto demand = schema::demand_row();
  demand.set_model("n");
  demand.set_arrived(5);
  demand.set_refused(5);
  RepeatEvery(leader.loop, milliseconds(20), [&] {
    leader.orders.RecordDemand(demand);
    leader.orders.VerifyReachable(leader.status.id);
    leader.orders.Tick(leader.config);
  });
  leader.RunFor(std::chrono::seconds(4),
                [&leader] { return leader.server.orders >= 2; });
  BOOST_TEST(leader.server.orders >= 2);
  BOOST_TEST(static_cast<int>(leader.server.sockets.size()) >=
             leader.server.calls);
}

// What became of the order is unknown, so that the next one follows a report.
BOOST_AUTO_TEST_CASE(an_order_whose_status_is_none_is_unanswered) {
  for (const auto* status : {"000", "099", "101", "600", "999"}) {
    BOOST_TEST_CONTEXT(status) {
      auto leader = ordering_leader();
      AddModels(leader);
      leader.server.order_status = status;
      auto demand = schema::demand_row();
      demand.set_model("n");
      demand.set_arrived(5);
      demand.set_refused(5);
      RepeatEvery(leader.loop, milliseconds(20), [&] {
        leader.orders.RecordDemand(demand);
        leader.orders.Tick(leader.config);
      });
      leader.RunFor(std::chrono::seconds(4),
                    [&leader] { return leader.server.orders >= 1; });
      BOOST_TEST(leader.server.orders == 1);
      // Sooner than the time limit of an order.
      leader.RunFor(milliseconds(600), [&leader] {
        return leader.counters.get_counter("ebony_orders_unanswered_total") > 0;
      });
      BOOST_TEST(leader.counters.get_counter("ebony_orders_unanswered_total") ==
                 1);
    }
  }
}

// SHORT: while servers left most orders unanswered, each order for an adapter
// kept its server from the next one for 2.3 s, and adapters that only this
// server could get were never served.
BOOST_AUTO_TEST_CASE(an_unanswered_order_for_an_adapter_holds_up_no_server) {
  constexpr auto kTries = 4;
  auto leader = ordering_leader();
  AddModels(leader);
  auto& engine = *leader.config.services[service_name("e")].engine;
  engine.models.front().adapters = 1;
  leader.server.answers_orders = false;
  auto demand = schema::demand_row();
  demand.set_model("m");
  demand.set_adapter("a1");
  demand.set_arrived(5);
  demand.set_refused(5);
  RepeatEvery(leader.loop, milliseconds(20), [&] {
    leader.orders.RecordDemand(demand);
    leader.orders.Tick(leader.config);
  });
  const auto has_tried = [&leader] { return leader.server.orders >= 1; };
  leader.RunFor(std::chrono::seconds(4), has_tried);
  BOOST_REQUIRE(has_tried());
  leader.RunFor(std::chrono::seconds(4),
                [&leader] { return leader.server.orders >= kTries; });
  BOOST_TEST(leader.server.orders >= kTries);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
