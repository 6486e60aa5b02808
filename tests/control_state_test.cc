#include "control/control_state.h"

#include <boost/test/unit_test.hpp>

#include "codec/control_codec.h"
#include "codec/record_codec.h"
#include "control/order_dispatcher.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

auto Put(control_state& state,
         std::uint64_t version,
         const std::string& id,
         record_content content) -> change_outcome {
  return *state.ApplyCommand(
      put_record_command{change_id(id), std::move(content)},
      config_version(version));
}

auto GetLedger(const control_state& state, const std::string& backend)
    -> const accelerator_ledger& {
  return state.get_data().backends.at(backend_name(backend)).accelerators[0];
}

auto Issue(control_state& state,
           std::uint64_t version,
           std::vector<resident> target) -> void {
  state.ApplyCommand(
      issue_order_command{backend_name("b"), accelerator_index(0),
                          std::move(target), "test"},
      config_version(version));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(control_state_test)

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_changes_is_applied) {
  auto state = control_state(0);
  const auto first =
      Put(state, 1, "a", MakeRecord("r", 0, {MakeModel("m", 1)}));
  const auto second =
      Put(state, 2, "b", MakeRecord("r", 0, {MakeModel("n", 1)}));
  BOOST_TEST(first.applied);
  BOOST_TEST(!second.applied);
  BOOST_TEST(static_cast<int>(second.error) ==
             static_cast<int>(error_kind::revision_conflict));
  BOOST_TEST(second.revision.get() == 1U);
  const auto& record = state.get_data().records.at(record_name("r"));
  BOOST_TEST(record.accepted.models[0].key.model.get() == "m");
}

BOOST_AUTO_TEST_CASE(
    a_retransmitted_change_returns_its_first_outcome_after_a_restore) {
  auto state = control_state(0);
  const auto content = MakeRecord("r", 0, {MakeModel("m", 1)});
  const auto first = Put(state, 1, "a", content);
  Put(state, 2, "b", MakeRecord("r", 1, {MakeModel("m", 1)}));
  auto restored = control_state(0);
  restored.Restore(DecodeState(EncodeState(state.get_data())));
  const auto again = Put(restored, 3, "a", content);
  BOOST_TEST(again.applied);
  BOOST_TEST(again.revision.get() == first.revision.get());
  BOOST_TEST(again.version.get() == first.version.get());
  BOOST_TEST(restored.get_data().records.at(record_name("r")).revision.get() ==
             2U);
}

BOOST_AUTO_TEST_CASE(an_invalid_record_is_rejected_with_all_faults) {
  auto state = control_state(0);
  auto content = MakeRecord("r", 0, {MakeModel("m", 0), MakeModel("m", 5)});
  content.models[1].min_replicas = 100000;
  const auto outcome = Put(state, 1, "a", content);
  BOOST_TEST(!outcome.applied);
  BOOST_TEST(outcome.message.find("weights_mib") != std::string::npos);
  BOOST_TEST(outcome.message.find("declared twice") != std::string::npos);
  BOOST_TEST(outcome.message.find("min_replicas") != std::string::npos);
  BOOST_TEST(state.get_data().records.empty());
}

BOOST_AUTO_TEST_CASE(a_deleted_record_does_not_reuse_its_revision) {
  auto state = control_state(0);
  Put(state, 1, "a", MakeRecord("r", 0, {MakeModel("m", 1)}));
  state.ApplyCommand(delete_record_command{change_id("d"), record_name("r"),
                                           revision_number(1)},
                     config_version(2));
  const auto again =
      Put(state, 3, "b", MakeRecord("r", 0, {MakeModel("m", 1)}));
  BOOST_TEST(again.applied);
  BOOST_TEST(again.revision.get() == 3U);
}

BOOST_AUTO_TEST_CASE(a_new_schema_takes_effect_once_every_daemon_supports_it) {
  auto state = control_state(2);
  auto content = MakeRecord("r", 0, {MakeModel("m", 1)});
  content.schema_version = 2;
  BOOST_TEST(Put(state, 1, "a", content).applied);
  const auto& record = state.get_data().records.at(record_name("r"));
  BOOST_TEST(!record.has_effective);
  state.ApplyCommand(daemon_schema_command{vm_name("e1"), 2},
                     config_version(2));
  BOOST_TEST(!record.has_effective);
  state.ApplyCommand(daemon_schema_command{vm_name("e2"), 2},
                     config_version(3));
  BOOST_TEST(record.has_effective);
}

BOOST_AUTO_TEST_CASE(an_old_daemon_preserves_unknown_fields) {
  auto message = schema::record();
  message.set_name("r");
  message.set_schema_version(3);
  // Field 99 represents a field that a later schema adds.
  message.GetReflection()->MutableUnknownFields(&message)->AddVarint(99, 7);
  auto state = control_state(0);
  Put(state, 1, "a", ParseRecordBinary(message.SerializeAsString()));
  const auto restored = DecodeState(EncodeState(state.get_data()));
  const auto kept = ToSchema(restored.records.at(record_name("r")).accepted);
  const auto& unknown = kept.GetReflection()->GetUnknownFields(kept);
  BOOST_TEST(unknown.field_count() == 1);
  BOOST_TEST(unknown.field(0).varint() == 7U);
}

BOOST_AUTO_TEST_CASE(an_open_order_counts_with_its_worst_case) {
  auto state = control_state(0);
  state.ApplyCommand(put_backend_command{MakeBackend("b", 1, {100})},
                     config_version(1));
  Issue(state, 2, {MakeResident("m", 60)});
  BOOST_TEST(GetLedger(state, "b").GetWorstCase().get() == 60U);
  BOOST_TEST(GetLedger(state, "b").GetGuaranteed().empty());
  state.ApplyCommand(resolve_order_command{order_id(1),
                                           backend_name("b"),
                                           accelerator_index(0),
                                           {MakeResident("m", 60)},
                                           2},
                     config_version(3));
  Issue(state, 4, {});
  BOOST_TEST(GetLedger(state, "b").GetWorstCase().get() == 60U);
  BOOST_TEST(GetLedger(state, "b").GetGuaranteed().empty());
}

BOOST_AUTO_TEST_CASE(an_order_that_does_not_fit_is_never_issued) {
  auto state = control_state(0);
  state.ApplyCommand(put_backend_command{MakeBackend("b", 1, {100})},
                     config_version(1));
  Issue(state, 2, {MakeResident("m", 60)});
  Issue(state, 3, {MakeResident("n", 60)});
  BOOST_TEST(GetLedger(state, "b").get_open()->target[0].key.model.get() ==
             "m");
  state.ApplyCommand(resolve_order_command{order_id(1),
                                           backend_name("b"),
                                           accelerator_index(0),
                                           {MakeResident("m", 60)},
                                           2},
                     config_version(4));
  // Replacing 60 MiB by 60 MiB needs 120 MiB while both may be resident.
  Issue(state, 5, {MakeResident("n", 60)});
  BOOST_TEST(!GetLedger(state, "b").get_open());
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_keeps_its_open_order) {
  auto state = control_state(0);
  state.ApplyCommand(put_backend_command{MakeBackend("b", 1, {100})},
                     config_version(1));
  Issue(state, 2, {MakeResident("m", 60)});
  state.ApplyCommand(put_backend_command{MakeBackend("b", 2, {100})},
                     config_version(3));
  BOOST_TEST(GetLedger(state, "b").get_open().has_value());
  BOOST_TEST(GetLedger(state, "b").GetWorstCase().get() == 60U);
}

BOOST_AUTO_TEST_CASE(a_report_older_than_the_outcome_is_ignored) {
  auto state = control_state(0);
  state.ApplyCommand(put_backend_command{MakeBackend("b", 1, {100})},
                     config_version(1));
  Issue(state, 2, {MakeResident("m", 60)});
  state.ApplyCommand(resolve_order_command{order_id(1),
                                           backend_name("b"),
                                           accelerator_index(0),
                                           {MakeResident("m", 60)},
                                           7},
                     config_version(3));
  // A report that the engine sent before the load completed reaches a new
  // leader.
  auto dispatcher = order_dispatcher({}, At(0));
  auto report = MakeBackend("b", 1, {100});
  report.sequence = 6;
  BOOST_TEST(
      dispatcher.FindResolutions(state.get_data(), report, At(1)).empty());
  // A newer report that differs replaces the confirmed state.
  report.sequence = 8;
  const auto found =
      dispatcher.FindResolutions(state.get_data(), report, At(1));
  BOOST_REQUIRE_EQUAL(found.size(), 1U);
  BOOST_TEST(found[0].observed.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
