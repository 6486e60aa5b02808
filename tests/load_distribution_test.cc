#include "control/load_distribution.h"

#include <boost/test/unit_test.hpp>

namespace ebony::testing {

BOOST_AUTO_TEST_SUITE(load_distribution_rules)

// Model 0 is held by servers 0 and 1, of which server 0 is also the only holder
// of model 1: its demand goes to the other one.
BOOST_AUTO_TEST_CASE(demand_goes_to_the_least_loaded_holders) {
  const auto loads = load_distribution({0.6, 0.6}, {{0, 1}, {0}}, 2);
  BOOST_TEST(std::abs(loads.get_load(0) - 0.6) < 0.01);
  BOOST_TEST(std::abs(loads.get_load(1) - 0.6) < 0.01);
  BOOST_TEST(std::abs(loads.GetPressure(0) - 0.6) < 0.01);
}

BOOST_AUTO_TEST_CASE(a_model_without_holders_presses_more_than_a_full_server) {
  const auto loads = load_distribution({1.0, 1.0}, {{0}, {}}, 1);
  BOOST_TEST(loads.GetPressure(1) > loads.GetPressure(0));
}

// Load that it answers: one model gets more requests than its only holder can
// run, while another server is idle.
BOOST_AUTO_TEST_CASE(a_replica_on_an_idle_server_gains_most) {
  const auto loads = load_distribution({2.0, 0.8, 0.0}, {{0}, {1}, {2}}, 3);
  const auto on_busy = loads.Evaluate({0, 1, std::nullopt});
  const auto on_idle = loads.Evaluate({0, 2, std::nullopt});
  BOOST_TEST(on_idle.gain > on_busy.gain);
  BOOST_TEST(on_idle.interim_loss == 0);
}

BOOST_AUTO_TEST_CASE(a_replica_for_a_lightly_used_model_gains_next_to_nothing) {
  const auto loads = load_distribution({0.1, 0.0}, {{0}, {1}}, 2);
  BOOST_TEST(loads.Evaluate({0, 1, std::nullopt}).gain < 0.01);
}

// Taking the place of a replica that is needed costs work until the new one
// serves, and may cost more than it gains.
BOOST_AUTO_TEST_CASE(replacing_a_busy_replica_loses_work_meanwhile) {
  const auto loads =
      load_distribution({1.5, 1.6, 0.0}, {{0}, {1, 2}, {2, 3}}, 4);
  const auto busy = loads.Evaluate({0, 2, 1});
  const auto idle = loads.Evaluate({0, 2, 2});
  BOOST_TEST(busy.interim_loss > 0.1);
  BOOST_TEST(idle.interim_loss < 0.01);
  BOOST_TEST(idle.gain > busy.gain);
}

BOOST_AUTO_TEST_CASE(an_applied_change_is_the_evaluated_one) {
  auto loads = load_distribution({2.0, 0.2}, {{0}, {1}}, 2);
  const auto expected = loads.Evaluate({0, 1, std::nullopt}).gain;
  const auto cost = [](double load) {
    return load <= 1 ? load * load / 2
                     : 0.5 + (load - 1) + 0.1 * (load - 1) * (load - 1);
  };
  const auto before = cost(loads.get_load(0)) + cost(loads.get_load(1));
  loads.Apply({0, 1, std::nullopt});
  const auto after = cost(loads.get_load(0)) + cost(loads.get_load(1));
  BOOST_TEST(std::abs(before - after - expected) < 1e-9);
  BOOST_TEST(std::abs(loads.get_load(0) - loads.get_load(1)) < 1e-9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
