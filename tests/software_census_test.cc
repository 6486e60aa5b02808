#include "control/software_census.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "codec/site_codec.h"
#include "main/software_replica.h"
#include "main/sync_relay.h"

namespace ebony::testing {

namespace {

using std::chrono::seconds;

auto MakeOrigin(const std::string& software) -> stream_origin {
  return {service_name("s"), software_version(software)};
}

// A registry of servers, and the replicated set that a leader keeps of their
// versions.
struct census_fixture {
  mono_time now = mono_time(std::chrono::hours(1));
  backend_registry registry{backend_registry_options()};
  software_versions versions;
  software_census census;
  version_times times;

  auto Announce(const std::string& id,
                const std::string& software,
                std::uint64_t start) -> void {
    auto status = backend_status();
    status.id = backend_name(id);
    status.service = service_name("s");
    status.software = software_version(software);
    status.start_time_ms = start;
    status.sequence = 1;
    registry.Announce(status, now);
  }

  auto TakeCensus() -> void {
    const auto change = census.Plan(registry, versions, now);
    for (const auto& item : change.added) {
      versions.Add(item);
    }
    for (const auto& item : change.removed) {
      versions.Remove(item);
    }
  }

  auto Wait(duration time) -> void {
    now += time;
    registry.Expire(now);
    TakeCensus();
  }

  auto GetOnly() const -> std::string {
    return versions.GetOnly(service_name("s"))
        .value_or(software_version("none or several"))
        .get();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(software_census_rules, census_fixture)

BOOST_AUTO_TEST_CASE(a_version_counts_as_long_as_a_stream_of_it_can_last) {
  Announce("i-1", "v1", 1);
  BOOST_TEST(!HasAllVersions(versions, registry));
  TakeCensus();
  BOOST_TEST(HasAllVersions(versions, registry));
  BOOST_TEST(GetOnly() == "v1");
  // The server starts again under its name, at another version.
  Announce("i-1", "v2", 2);
  BOOST_TEST(!HasAllVersions(versions, registry));
  TakeCensus();
  BOOST_TEST(GetOnly() == "none or several");
  Wait(software_census::kLifetime);
  BOOST_TEST(GetOnly() == "none or several");
  Announce("i-1", "v2", 3);
  Wait(seconds(1));
  BOOST_TEST(GetOnly() == "v2");
}

BOOST_AUTO_TEST_CASE(a_version_that_has_left_comes_back_into_the_set) {
  Announce("i-1", "v1", 1);
  TakeCensus();
  registry.Leave({backend_name("i-1"), 1, now});
  Wait(seconds(31));
  Wait(software_census::kLifetime + seconds(1));
  BOOST_TEST(versions.get_items().empty());
  Announce("i-1", "v1", 2);
  TakeCensus();
  BOOST_TEST(GetOnly() == "v1");
}

// All processes were killed: the new leader has only the replicated set, and
// the servers of the old version left meanwhile.
BOOST_AUTO_TEST_CASE(a_new_leader_keeps_what_it_was_not_told_of) {
  Announce("i-1", "v1", 1);
  TakeCensus();
  registry = backend_registry(backend_registry_options());
  census.Restart();
  Announce("i-2", "v2", 1);
  TakeCensus();
  Wait(seconds(20));
  Announce("i-2", "v2", 2);
  Wait(seconds(20));
  BOOST_TEST(GetOnly() == "none or several");
}

BOOST_AUTO_TEST_CASE(a_departure_without_a_service_adds_no_version) {
  registry.Leave({backend_name("i-9"), 0, now});
  TakeCensus();
  BOOST_TEST(versions.get_items().empty());
  BOOST_TEST(HasAllVersions(versions, registry));
}

BOOST_AUTO_TEST_CASE(a_daemon_gets_the_set_once_and_then_its_changes) {
  versions.Add(MakeOrigin("v1"));
  auto replica = software_replica();
  const auto sync = [&](const software_versions* known) {
    auto request = schema::sync_request();
    replica.FillRequest(request);
    auto answer = schema::sync_answer();
    AddSoftwareVersions(answer, request, known, times, now);
    replica.ApplyAnswer(answer, now);
    return answer.software_size();
  };
  BOOST_TEST(sync(&versions) == 1);
  BOOST_TEST(sync(&versions) == 0);
  BOOST_TEST((replica.Get()->get_items() == versions.get_items()));
  versions.Add(MakeOrigin("v2"));
  BOOST_TEST(sync(&versions) == 2);
  BOOST_TEST(replica.Get()->get_items().size() == 2U);
  // A leader that does not know all versions.
  BOOST_TEST(sync(nullptr) == 0);
  BOOST_TEST((replica.Get() == nullptr));
}

BOOST_AUTO_TEST_CASE(a_set_that_came_in_part_is_not_used) {
  versions.Add(MakeOrigin("v1"));
  versions.Add(MakeOrigin("v2"));
  auto answer = schema::sync_answer();
  AddSoftwareVersions(answer, schema::sync_request(), &versions, times, now);
  answer.mutable_software()->RemoveLast();
  auto replica = software_replica();
  replica.ApplyAnswer(answer, now);
  BOOST_TEST((replica.Get() == nullptr));
}

BOOST_AUTO_TEST_CASE(a_relay_passes_the_set_on) {
  versions.Add(MakeOrigin("v1"));
  auto relay = sync_relay(vm_name("core-2"), [](std::uint64_t) { return 0U; });
  auto answer = schema::sync_answer();
  AddSoftwareVersions(answer, schema::sync_request(), &versions, times, now);
  relay.ApplyLeaderAnswer(answer, now);
  auto passed = schema::sync_answer();
  relay.FillGatewayAnswer(schema::sync_request(), passed, now);
  BOOST_TEST(passed.software_digest() == versions.GetDigest());
  BOOST_TEST(passed.software_size() == 1);
  // The next leader does not know all versions.
  relay.ApplyLeaderAnswer(schema::sync_answer(), now);
  passed.Clear();
  relay.FillGatewayAnswer(schema::sync_request(), passed, now);
  BOOST_TEST(passed.software_digest() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
