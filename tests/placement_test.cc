#include "control/placement.h"

#include <boost/test/unit_test.hpp>

#include "tests/test_support.h"

namespace ebony::testing {

namespace {

// A backend server with one accelerator that holds `residents`.
auto AddServer(control_data& data,
               const std::string& name,
               const std::string& site,
               std::vector<resident> residents) -> backend_state& {
  auto& entry = data.backends[backend_name(name)];
  entry.info = MakeBackend(name, 1, {100}, site);
  entry.accelerators = {
      accelerator_ledger(mebibytes(100), std::move(residents))};
  return entry;
}

auto AddRecord(control_data& data, std::vector<model_spec> models) -> void {
  auto& entry = data.records[record_name("r")];
  entry.effective = MakeRecord("r", 1, std::move(models));
  entry.has_effective = true;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

BOOST_AUTO_TEST_CASE(a_new_replica_goes_to_a_new_data_centre) {
  auto data = control_data();
  AddRecord(data, {MakeModel("m", 40, 2)});
  AddServer(data, "a", "dc1", {MakeResident("m", 40)});
  AddServer(data, "b", "dc1", {});
  AddServer(data, "c", "dc2", {MakeResident("other", 30)});
  const auto plan = placement({}).Plan(data, {}, 10);
  BOOST_REQUIRE_EQUAL(plan.moves.loads, 1U);
  // Server "c" has an order that unloads an undeclared model. An accelerator
  // takes one order at a time, so the replica can only be loaded on "b", whose
  // data centre already has one.
  BOOST_REQUIRE_EQUAL(plan.orders.size(), 2U);
  BOOST_TEST(plan.moves.unloads == 1U);
}

BOOST_AUTO_TEST_CASE(a_replica_shifts_off_a_leaving_server) {
  auto data = control_data();
  AddRecord(data, {MakeModel("m", 40)});
  AddServer(data, "a", "dc1", {MakeResident("m", 40)});
  AddServer(data, "b", "dc2", {MakeResident("m", 40)});
  data.backends.at(backend_name("a")).drained_by_operator = true;
  const auto plan = placement({}).Plan(data, {}, 10);
  BOOST_TEST(plan.moves.shifts == 1U);
  BOOST_TEST(plan.moves.unloads == 0U);
}

BOOST_AUTO_TEST_CASE(the_last_replica_stays_on_a_leaving_server) {
  auto data = control_data();
  AddRecord(data, {MakeModel("m", 40)});
  AddServer(data, "a", "dc1", {MakeResident("m", 40)});
  data.backends.at(backend_name("a")).drained_by_operator = true;
  const auto plan = placement({}).Plan(data, {}, 10);
  BOOST_TEST(plan.orders.empty());
  BOOST_REQUIRE_EQUAL(plan.risks.size(), 1U);
}

BOOST_AUTO_TEST_CASE(the_weight_store_bounds_the_loads_of_a_round) {
  auto data = control_data();
  AddRecord(data, {MakeModel("m", 10), MakeModel("n", 10), MakeModel("o", 10)});
  for (const auto* name : {"a", "b", "c", "d"}) {
    AddServer(data, name, "dc1", {});
  }
  auto options = placement_options();
  options.loads_at_once = 2;
  BOOST_TEST(placement(options).Plan(data, {}, 10).moves.loads == 2U);
  BOOST_TEST(placement(options).Plan(data, {}, 1).moves.loads == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
