#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "control/model_planner.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

auto MakeEngine(int models, double weights) -> engine_spec {
  auto engine = engine_spec();
  engine.model_memory_mb = 200;
  engine.batch_slots = 24;
  engine.adapter_slots = 2;
  engine.loads_per_second = 1.6;
  for (auto i = 0; i < models; ++i) {
    auto model = catalogue_model();
    model.name = model_name("m" + std::to_string(i));
    model.weights_mb = weights;
    model.adapter_mb = 1;
    model.load_from_store = std::chrono::seconds(3);
    engine.models.push_back(model);
  }
  return engine;
}

// Servers that apply orders immediately and check the planner's invariants.
struct planner_harness {
  engine_spec engine;
  std::vector<backend_status> servers;
  model_planner planner{model_planner_options()};
  std::int64_t ms = 0;
  std::vector<std::int64_t> store_load_times;
  int orders = 0;

  planner_harness(engine_spec spec, int count) : engine(std::move(spec)) {
    for (auto i = 0; i < count; ++i) {
      auto status = backend_status();
      status.id = backend_name("b" + std::to_string(i));
      servers.push_back(status);
    }
    planner.Reset(At(0));
  }

  auto CountCopies(const model_name& name) const -> int {
    auto count = 0;
    for (const auto& server : servers) {
      for (const auto& model : server.models) {
        count += model.name == name ? 1 : 0;
      }
    }
    return count;
  }

  auto Apply(const model_order& order) -> void {
    ++orders;
    auto& server = *std::find_if(
        servers.begin(), servers.end(),
        [&order](const auto& item) { return item.id == order.backend; });
    auto held = std::find_if(
        server.models.begin(), server.models.end(),
        [&order](const auto& item) { return item.name == order.model; });
    if (!order.adapter.get().empty()) {
      BOOST_TEST_REQUIRE((held != server.models.end()));
      if (order.is_load) {
        held->adapters.push_back(order.adapter);
      } else {
        std::erase(held->adapters, order.adapter);
      }
    } else if (order.is_load) {
      server.models.push_back({order.model, 1, {}});
      if (order.from_store) {
        store_load_times.push_back(ms);
      }
    } else {
      BOOST_TEST_REQUIRE(CountCopies(order.model) >= 2);
      server.models.erase(held);
    }
    CheckLimits(server);
  }

  auto CheckLimits(const backend_status& server) const -> void {
    auto weights = 0.0;
    auto adapters = std::size_t{0};
    for (const auto& model : server.models) {
      weights += engine.models.at(0).weights_mb;
      adapters += model.adapters.size();
    }
    BOOST_TEST_REQUIRE(weights + static_cast<double>(adapters) <=
                       engine.model_memory_mb);
    BOOST_TEST_REQUIRE(adapters <=
                       static_cast<std::size_t>(engine.adapter_slots));
  }

  auto Run(std::int64_t until, const std::map<std::string, double>& per_second)
      -> void {
    for (; ms < until; ms += 100) {
      for (const auto& [name, rate] : per_second) {
        auto report = demand_report();
        report.model = model_name(name);
        report.requests = rate / 10;
        report.prompt_tokens = report.requests * 1000;
        planner.AddDemand(report, At(ms));
      }
      auto states = std::vector<planner_server>();
      for (const auto& server : servers) {
        states.push_back({&server, 0, false});
      }
      for (const auto& order : planner.Plan(engine, states, At(ms))) {
        Apply(order);
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(model_planner_rules)

BOOST_AUTO_TEST_CASE(every_model_is_loaded_within_the_store_rate_limit) {
  auto harness = planner_harness(MakeEngine(10, 60), 6);
  harness.Run(30000, {});
  for (const auto& model : harness.engine.models) {
    BOOST_TEST_REQUIRE(harness.CountCopies(model.name) == 1);
  }
  for (const auto begin : harness.store_load_times) {
    auto count = 0;
    for (const auto time : harness.store_load_times) {
      count += time >= begin && time < begin + 5000 ? 1 : 0;
    }
    BOOST_TEST_REQUIRE(count <= 1.6 * 5 * 1.1 + 3);
  }
}

// All of the demand shifts from one model to another.
BOOST_AUTO_TEST_CASE(replicas_follow_demand_and_every_model_keeps_one) {
  auto harness = planner_harness(MakeEngine(6, 60), 6);
  harness.Run(20000, {{"m0", 40}, {"m1", 10}});
  const auto before = harness.CountCopies(model_name("m0"));
  BOOST_TEST(before >= 4);
  BOOST_TEST(harness.CountCopies(model_name("m5")) == 1);
  harness.Run(50000, {{"m5", 40}, {"m1", 10}});
  BOOST_TEST(harness.CountCopies(model_name("m5")) >= 4);
  for (const auto& model : harness.engine.models) {
    BOOST_TEST_REQUIRE(harness.CountCopies(model.name) >= 1);
  }
}

// Load that it answers: a quarter of the servers crashed and came back empty.
// The replicas of asked models are loaded before those of models that nobody
// asks for, also further ones for a model with more demand than a replica runs.
BOOST_AUTO_TEST_CASE(after_a_crash_asked_models_are_loaded_first) {
  auto harness = planner_harness(MakeEngine(6, 60), 6);
  const auto demand = std::map<std::string, double>{{"m0", 60}, {"m1", 10}};
  harness.Run(20000, demand);
  for (auto& server : harness.servers) {
    server.models.clear();
  }
  const auto crashed_at = harness.ms;
  while (harness.CountCopies(model_name("m0")) < 2 ||
         harness.CountCopies(model_name("m1")) < 1) {
    BOOST_REQUIRE(harness.ms < crashed_at + 10000);
    for (const auto* unasked : {"m2", "m3", "m4", "m5"}) {
      BOOST_TEST_REQUIRE(harness.CountCopies(model_name(unasked)) == 0);
    }
    harness.Run(harness.ms + 100, demand);
  }
  harness.Run(crashed_at + 20000, demand);
  for (const auto& model : harness.engine.models) {
    BOOST_TEST(harness.CountCopies(model.name) >= 1);
  }
}

BOOST_AUTO_TEST_CASE(steady_demand_causes_no_moves) {
  auto harness = planner_harness(MakeEngine(6, 60), 6);
  harness.Run(30000, {{"m0", 30}, {"m1", 10}});
  const auto orders = harness.orders;
  harness.Run(60000, {{"m0", 30}, {"m1", 10}});
  BOOST_TEST(harness.orders == orders);
}

BOOST_AUTO_TEST_CASE(idle_adapters_are_evicted_for_requested_ones) {
  auto harness = planner_harness(MakeEngine(1, 60), 1);
  harness.Run(10000, {});
  for (auto round = 0; round < 6; ++round) {
    const auto name = adapter_name("a" + std::to_string(round));
    for (auto tries = 0; tries < 50; ++tries) {
      auto report = demand_report();
      report.model = model_name("m0");
      report.adapter = name;
      report.requests = 1;
      report.is_unserved = true;
      harness.planner.AddDemand(report, At(harness.ms));
      harness.Run(harness.ms + 100, {});
      const auto& held = harness.servers.at(0).models.at(0).adapters;
      if (std::count(held.begin(), held.end(), name) > 0) {
        break;
      }
    }
    const auto& held = harness.servers.at(0).models.at(0).adapters;
    BOOST_TEST_REQUIRE(std::count(held.begin(), held.end(), name) == 1);
  }
}

BOOST_AUTO_TEST_CASE(cached_weights_are_preferred_to_the_store) {
  auto harness = planner_harness(MakeEngine(1, 60), 3);
  harness.servers.at(2).on_disk = {model_name("m0")};
  harness.Run(500, {});
  BOOST_TEST(harness.servers.at(2).models.size() == 1U);
  BOOST_TEST(harness.store_load_times.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
