#include <boost/test/unit_test.hpp>

#include "codec/site_codec.h"
#include "core/backend_registry.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

auto MakeStatus(std::uint64_t start_time_ms,
                std::uint64_t sequence,
                bool is_leaving = false) -> backend_status {
  auto status = backend_status();
  status.id = backend_name("b");
  status.service = service_name("s");
  status.address = host_port("10.0.0.1:1");
  status.start_time_ms = start_time_ms;
  status.sequence = sequence;
  status.is_leaving = is_leaving;
  return status;
}

auto MakeRegistry() -> backend_registry {
  return backend_registry(backend_registry_options());
}

auto Leave(backend_registry& registry,
           std::uint64_t start_time_ms,
           mono_time said_at) -> departure_result {
  return registry.Leave({backend_name("b"), start_time_ms, said_at});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(backend_registry_rules)

BOOST_AUTO_TEST_CASE(stale_announcements_are_rejected) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 5, true), At(0));
  BOOST_TEST((registry.Announce(MakeStatus(10, 4), At(10)) ==
              announce_result::superseded));
  BOOST_TEST((registry.Announce(MakeStatus(9, 99), At(10)) ==
              announce_result::earlier_start));
  BOOST_TEST(registry.Find(backend_name("b"))->status.is_leaving);
}

BOOST_AUTO_TEST_CASE(a_restart_resets_the_sequence) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 50, true), At(0));
  BOOST_TEST((registry.Announce(MakeStatus(11, 1), At(10)) ==
              announce_result::changed));
  BOOST_TEST(!registry.Find(backend_name("b"))->status.is_leaving);
}

BOOST_AUTO_TEST_CASE(after_a_leave_only_a_restart_is_accepted) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 5), At(0));
  BOOST_TEST((Leave(registry, 0, At(10)) == departure_result::recorded));
  BOOST_TEST((registry.Announce(MakeStatus(10, 6), At(20)) ==
              announce_result::has_left));
  BOOST_TEST(registry.Find(backend_name("b"))->has_left);
  registry.Announce(MakeStatus(11, 1), At(30));
  BOOST_TEST(!registry.Find(backend_name("b"))->has_left);
}

BOOST_AUTO_TEST_CASE(a_leave_of_an_earlier_start_is_rejected) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(11, 1), At(0));
  BOOST_TEST((Leave(registry, 10, At(10)) == departure_result::known));
  BOOST_TEST(!registry.Find(backend_name("b"))->has_left);
}

BOOST_AUTO_TEST_CASE(a_leave_before_the_first_announcement_takes_effect) {
  auto registry = MakeRegistry();
  Leave(registry, 10, At(0));
  registry.Announce(MakeStatus(10, 3), At(10));
  BOOST_TEST(registry.Find(backend_name("b"))->has_left);
}

BOOST_AUTO_TEST_CASE(only_new_content_increments_the_revision) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 1), At(0));
  const auto revision = registry.get_revision();
  BOOST_TEST((registry.Announce(MakeStatus(10, 2), At(10)) ==
              announce_result::unchanged));
  BOOST_TEST(registry.get_revision() == revision);
  BOOST_TEST(registry.ListSince(revision).empty());
  registry.Announce(MakeStatus(10, 3, true), At(20));
  BOOST_TEST(registry.ListSince(revision).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_server_is_suspected_until_it_announces) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 1), At(0));
  BOOST_TEST(registry.Expire(At(2600)).empty());
  BOOST_TEST(registry.Expire(At(2800)).size() == 1U);
  BOOST_TEST(registry.Find(backend_name("b"))->is_suspected);
  registry.Announce(MakeStatus(10, 2), At(4200));
  BOOST_TEST(!registry.Find(backend_name("b"))->is_suspected);
}

BOOST_AUTO_TEST_CASE(a_gateway_merges_the_records_of_the_leader) {
  auto leader = MakeRegistry();
  auto gateway = MakeRegistry();
  const auto sync = [&](std::int64_t ms) {
    for (const auto* record : leader.ListSince(0)) {
      gateway.Merge(ToDomain(ToSchema(*record, At(ms)), At(ms)), At(ms));
    }
  };
  leader.Announce(MakeStatus(10, 1), At(0));
  sync(10);
  BOOST_TEST(gateway.Find(backend_name("b")) != nullptr);
  leader.Announce(MakeStatus(10, 2, true), At(20));
  sync(30);
  BOOST_TEST(gateway.Find(backend_name("b"))->status.is_leaving);
  Leave(leader, 10, At(40));
  sync(50);
  BOOST_TEST(gateway.Find(backend_name("b"))->has_left);
  // An older record of a new leader does not restore the server.
  auto new_leader = MakeRegistry();
  new_leader.Announce(MakeStatus(10, 1), At(60));
  gateway.Merge(*new_leader.Find(backend_name("b")), At(60));
  BOOST_TEST(gateway.Find(backend_name("b"))->has_left);
}

// A new leader may learn of a server only by its departure, and then knows
// neither its start nor its sequence.
BOOST_AUTO_TEST_CASE(a_departure_that_names_no_start_reaches_the_gateways) {
  for (const auto start_time_ms : {std::uint64_t{0}, std::uint64_t{10}}) {
    auto gateway = MakeRegistry();
    gateway.Announce(MakeStatus(10, 9), At(0));
    auto new_leader = MakeRegistry();
    Leave(new_leader, start_time_ms, At(20));
    BOOST_TEST(gateway.Merge(*new_leader.Find(backend_name("b")), At(30)));
    const auto& record = *gateway.Find(backend_name("b"));
    BOOST_TEST(record.has_left);
    BOOST_TEST(record.status.address.get() == "10.0.0.1:1");
    // A later start of the server is not affected.
    auto restarted = backend_record();
    restarted.status = MakeStatus(11, 1);
    BOOST_TEST(gateway.Merge(restarted, At(40)));
    BOOST_TEST(!gateway.Find(backend_name("b"))->has_left);
  }
}

// A new leader starts from an older copy of the registry, so its record may
// have a lower sequence than the gateway's.
BOOST_AUTO_TEST_CASE(a_suspicion_is_merged_whatever_its_sequence) {
  auto gateway = MakeRegistry();
  gateway.Announce(MakeStatus(10, 9), At(0));
  auto record = backend_record();
  record.status = MakeStatus(10, 4);
  record.is_suspected = true;
  BOOST_TEST(gateway.Merge(record, At(10)));
  BOOST_TEST(gateway.Find(backend_name("b"))->is_suspected);
  BOOST_TEST(gateway.Find(backend_name("b"))->status.sequence == 9U);
  record.status.start_time_ms = 9;
  gateway.Announce(MakeStatus(10, 10), At(20));
  BOOST_TEST(!gateway.Merge(record, At(30)));
  BOOST_TEST(!gateway.Find(backend_name("b"))->is_suspected);
}

BOOST_AUTO_TEST_CASE(a_departure_of_an_earlier_start_is_not_merged) {
  auto gateway = MakeRegistry();
  gateway.Announce(MakeStatus(11, 1), At(0));
  auto departure = backend_record();
  departure.status = MakeStatus(10, 99);
  departure.has_left = true;
  BOOST_TEST(!gateway.Merge(departure, At(10)));
  BOOST_TEST(!gateway.Find(backend_name("b"))->has_left);
}

// Records of another registry have revisions of their own, which must not mix
// with those of this one.
BOOST_AUTO_TEST_CASE(changes_are_listed_by_the_revisions_of_this_registry) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(1, 1), At(0));
  auto merged = backend_record();
  merged.status = MakeStatus(1, 1);
  merged.status.id = backend_name("c");
  merged.revision = 1;
  registry.Merge(merged, At(0));
  auto departed = merged;
  departed.status.id = backend_name("d");
  departed.has_left = true;
  departed.revision = 2;
  registry.Merge(departed, At(0));
  const auto list = [&registry](std::uint64_t revision) {
    auto names = std::string();
    for (const auto* record : registry.ListSince(revision)) {
      names += record->status.id.get();
    }
    return names;
  };
  BOOST_TEST(list(0) == "bcd");
  BOOST_TEST(list(1) == "cd");
  BOOST_TEST(list(registry.get_revision()).empty());
  // What changes again moves to the end.
  const auto before = registry.get_revision();
  registry.Announce(MakeStatus(1, 2, true), At(10));
  BOOST_TEST(list(before) == "b");
  BOOST_TEST(list(0) == "cdb");
  registry.Remove(backend_name("c"));
  BOOST_TEST(list(0) == "db");
  registry.Expire(At(40000));
  BOOST_TEST(list(0).empty());
}

// Guards against a late departure of an earlier start that ends the present one
// (review/12): such a departure names no start.
BOOST_AUTO_TEST_CASE(a_departure_ends_no_start_that_was_heard_of_later) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 5), At(0));
  registry.Announce(MakeStatus(11, 1), At(1000));
  BOOST_TEST((Leave(registry, 0, At(999)) == departure_result::ambiguous));
  BOOST_TEST(!registry.Find(backend_name("b"))->has_left);
  auto departure = backend_record();
  departure.status.id = backend_name("b");
  departure.has_left = true;
  departure.last_seen = At(999);
  BOOST_TEST(!registry.Merge(departure, At(2000)));
  BOOST_TEST(!registry.Find(backend_name("b"))->has_left);
  // Said again by the present start, it counts.
  BOOST_TEST((Leave(registry, 0, At(1000)) == departure_result::recorded));
  BOOST_TEST(registry.Find(backend_name("b"))->has_left);
}

// The answer to a departure may be lost, and the departure be said again.
BOOST_AUTO_TEST_CASE(a_departure_that_is_said_again_is_known) {
  for (const auto start_time_ms : {std::uint64_t{0}, std::uint64_t{10}}) {
    auto registry = MakeRegistry();
    registry.Announce(MakeStatus(10, 5), At(0));
    BOOST_TEST((Leave(registry, start_time_ms, At(100)) ==
                departure_result::recorded));
    BOOST_TEST(
        (Leave(registry, start_time_ms, At(1100)) == departure_result::known));
    BOOST_TEST(registry.Find(backend_name("b"))->has_left);
  }
}

// Guards against a late announcement of a start whose departure came when only
// that of the start before was known.
BOOST_AUTO_TEST_CASE(a_departure_of_a_later_start_is_recorded_after_another) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 5), At(0));
  Leave(registry, 10, At(100));
  BOOST_TEST((Leave(registry, 11, At(200)) == departure_result::recorded));
  BOOST_TEST((registry.Announce(MakeStatus(11, 3), At(300)) ==
              announce_result::has_left));
  BOOST_TEST((registry.Announce(MakeStatus(12, 1), At(400)) ==
              announce_result::changed));
}

// Guards against a server that is at work and never used again, at the leader
// and at all that have its registry.
BOOST_AUTO_TEST_CASE(a_start_that_goes_on_after_its_departure_is_in_use_again) {
  for (const auto next_start : {std::uint64_t{10}, std::uint64_t{9}}) {
    auto leader = MakeRegistry();
    auto gateway = MakeRegistry();
    const auto sync = [&](std::int64_t ms) {
      for (const auto* record : leader.ListSince(0)) {
        gateway.Merge(ToDomain(ToSchema(*record, At(ms)), At(ms)), At(ms));
      }
    };
    leader.Announce(MakeStatus(10, 5), At(0));
    Leave(leader, 10, At(1000));
    sync(1000);
    // A delayed announcement changes nothing, nor does one that says it leaves.
    leader.Announce(MakeStatus(next_start, 6), At(29000));
    leader.Expire(At(32000));
    leader.Announce(MakeStatus(next_start, 7, true), At(32000));
    BOOST_TEST(leader.Find(backend_name("b"))->has_left);
    BOOST_TEST((leader.Announce(MakeStatus(next_start, 8), At(33000)) ==
                announce_result::changed));
    sync(33000);
    BOOST_TEST(!leader.Find(backend_name("b"))->has_left);
    BOOST_TEST(!gateway.Find(backend_name("b"))->has_left);
    // It can leave again.
    Leave(leader, next_start, At(34000));
    sync(34000);
    BOOST_TEST(gateway.Find(backend_name("b"))->has_left);
  }
}

// Servers that name no start time are used again as soon as the others.
BOOST_AUTO_TEST_CASE(a_departed_server_without_a_start_time_returns) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(0, 50), At(0));
  Leave(registry, 0, At(1000));
  BOOST_TEST((registry.Announce(MakeStatus(0, 1), At(20000)) ==
              announce_result::has_left));
  BOOST_TEST((registry.Announce(MakeStatus(0, 10), At(31500)) ==
              announce_result::changed));
}

// Guards against a server that counts as alive by an announcement that lay
// somewhere while the server has died.
BOOST_AUTO_TEST_CASE(an_announcement_that_was_said_long_ago_revives_nothing) {
  auto registry = MakeRegistry();
  registry.Announce(MakeStatus(10, 1), At(0));
  registry.Expire(At(2800));
  BOOST_TEST(registry.Find(backend_name("b"))->is_suspected);
  registry.Announce(MakeStatus(10, 2), At(4500), At(1000));
  BOOST_TEST(registry.Find(backend_name("b"))->is_suspected);
  registry.Announce(MakeStatus(10, 3), At(4600), At(4500));
  BOOST_TEST(!registry.Find(backend_name("b"))->is_suspected);
}

BOOST_AUTO_TEST_CASE(a_record_is_unchanged_by_encoding_and_decoding) {
  auto record = backend_record();
  record.status = MakeStatus(10, 7, true);
  record.status.models = {{model_name("m"), 2, {adapter_name("a1")}}};
  record.status.in_memory = {model_name("m")};
  record.status.on_disk = {model_name("n")};
  record.status.slots = 64;
  record.is_suspected = true;
  record.has_returned = true;
  record.last_seen = At(100);
  const auto decoded = ToDomain(ToSchema(record, At(350)), At(1350));
  BOOST_TEST((decoded.status == record.status));
  BOOST_TEST(decoded.is_suspected);
  BOOST_TEST(decoded.has_returned);
  BOOST_TEST((decoded.last_seen == At(1100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
