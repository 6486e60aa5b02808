// Facts that daemons tell each other outlive all processes that know them, and
// what is old, foreign or damaged on a disk misleads nobody.

#include "main/durable_facts.h"

#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <fstream>
#include <memory>
#include <set>
#include <string>

#include "codec/site_codec.h"
#include "tests/coordinator_harness.h"
#include "tests/test_folder.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const auto kOrigin = stream_origin{service_name("s"), software_version("v1")};
const auto kNode = node_id("10.0.0.1:1.0");
constexpr auto kStart = wall_time(seconds(1'800'000'000));
// Longer than a coordinator takes to write what is new.
constexpr auto kWriteTime = milliseconds(600);

// What one run of a coordinator knows, on a disk that outlives it.
struct facts_run {
  event_log log{"test", 0};
  metrics counters;
  durable_facts facts;
  crash_ledger crashes;
  backend_registry registry{backend_registry_options()};
  stream_origin_table streams;
  std::set<service_name> services = {service_name("s")};
  mono_time now{std::chrono::hours(1)};

  explicit facts_run(const test_folder& folder)
      : facts(MakeOptions(folder), log, counters) {}

  static auto MakeOptions(const test_folder& folder) -> fact_journal::options {
    auto options = fact_journal::options();
    options.folder = folder.get_path();
    return options;
  }
  auto GetKnown() -> known_facts {
    return {crashes, streams, services, registry, "epoch"};
  }
  auto Load(wall_time wall, const node_id& node = kNode) -> void {
    auto receivers = fact_receivers();
    receivers.on_crash_record = [this](const crash_report& report) {
      crashes.Merge(report, false, now);
    };
    receivers.on_stream = [this](stream_key key, const stream_origin& origin) {
      streams.Add(key, origin, now);
    };
    receivers.on_departure = [this](const backend_record& record) {
      registry.Merge(record, now);
    };
    facts.Load(node, receivers, now, wall);
    facts.OnRestored(GetKnown());
  }
  // Lets so much time pass that what is new is written.
  auto Write(wall_time wall) -> void {
    now += durable_facts::kWriteInterval;
    facts.Tick(GetKnown(), now, wall);
    facts.Flush();
  }
};

auto Knows(const facts_run& run, std::uint64_t key) -> bool {
  const auto* origin = run.streams.Find(stream_key(key));
  return origin != nullptr && *origin == kOrigin;
}

// Writes one stream, number 7, on the disk.
auto WriteStream(const test_folder& folder, wall_time wall) -> void {
  auto run = facts_run(folder);
  run.Load(wall);
  run.streams.Add(stream_key(7), kOrigin, run.now);
  run.Write(wall);
}

// A gateway tells that a stream began.
auto MakeBegunReport(std::uint64_t key) -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm("edge-1");
  request.set_caller_address("127.0.0.1:1");
  AddBegunStreams(*request.add_begun_streams(), kOrigin, {stream_key(key)});
  return request;
}

auto MakeQuestion(std::uint64_t key) -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm("edge-2");
  request.set_caller_address("127.0.0.1:2");
  request.add_origin_questions(key);
  return request;
}

auto MakeFollowerSync(const std::string& vm) -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm(vm);
  request.set_relay_link("127.0.0.1:3");
  request.set_keeps_streams(true);
  return request;
}

// Returns the keys of all streams in an answer.
auto ListStreams(const schema::sync_answer& answer) -> std::set<std::uint64_t> {
  auto keys = std::set<std::uint64_t>();
  for (const auto& row : answer.origins()) {
    ForEachBegunStream(row, [&](stream_key key, const stream_origin& origin) {
      BOOST_TEST((origin == kOrigin));
      keys.insert(key.get());
    });
  }
  return keys;
}

constexpr auto kBadKey = suspect_key(0xbad);

// Returns a record that proves that a segment crashes servers.
auto MakeProof() -> crash_record {
  auto record = crash_record();
  record.key = kBadKey;
  record.rounds = 4;
  record.begun_rounds = 4;
  for (auto i = std::uint64_t{1}; i <= 4; ++i) {
    record.runs.Add(server_run(i));
    record.requests.Add(request_mark(i));
  }
  record.is_isolated = true;
  return record;
}

// A gateway tells what it knows, and asks for what it doesn't.
auto MakeCrashSync(bool tells) -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm("edge-1");
  request.set_caller_address("127.0.0.1:1");
  if (tells) {
    *request.add_crashes() = ToSchema(crash_report{MakeProof(), seconds(1)});
  }
  return request;
}

// Writes the proof on a disk.
auto WriteProof(const test_folder& folder) -> void {
  auto run = facts_run(folder);
  run.Load(kStart);
  run.crashes.Add(MakeProof(), run.now);
  run.Write(kStart);
}

// Returns what a start so much later finds.
auto JudgeAfter(const test_folder& folder, seconds time) -> suspicion {
  auto run = facts_run(folder);
  run.Load(kStart + time);
  return run.crashes.Judge(kBadKey, run.now);
}

// The heartbeat of a run of a server.
auto MakeHeartbeat(std::uint64_t start_time_ms, std::uint64_t sequence)
    -> backend_status {
  auto status = backend_status();
  status.id = backend_name("a");
  status.service = service_name("s");
  status.address = host_port("10.0.0.9:8080");
  status.start_time_ms = start_time_ms;
  status.sequence = sequence;
  return status;
}

// The server leaves, and the disk has it.
auto WriteDeparture(const test_folder& folder, std::uint64_t start_time_ms)
    -> void {
  auto run = facts_run(folder);
  run.Load(kStart);
  run.registry.Announce(MakeHeartbeat(start_time_ms, 1), run.now);
  run.registry.Leave({backend_name("a"), 0, run.now});
  run.Write(kStart);
}

// Returns what a heartbeat does that arrives so long after the departure, at a
// coordinator that has just started.
auto AnnounceAfter(const test_folder& folder,
                   seconds time,
                   const backend_status& status) -> announce_result {
  auto run = facts_run(folder);
  run.Load(kStart + time);
  return run.registry.Announce(status, run.now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(durable_facts_rules)

// LOST: streams that callers take up went on nowhere after the leader and the
// gateways that had begun them were killed at once.
BOOST_AUTO_TEST_CASE(what_began_a_stream_outlives_all_processes) {
  const auto machine = std::make_shared<coordinator_machine>();
  {
    auto site = coordinator_harness(machine);
    site.AwaitLeadership();
    site.Announce({"a"}, "v1");
    site.Announce({"b"}, "v2");
    site.RunFor(milliseconds(200));  // until both versions are replicated
    site.Sync(MakeBegunReport(7));
    site.RunFor(kWriteTime);
  }
  auto site = coordinator_harness(machine);
  site.AwaitLeadership();
  const auto answer = site.Sync(MakeQuestion(7));
  BOOST_TEST(ListStreams(answer) == std::set<std::uint64_t>{7});
}

// The second version came after the stream had begun.
BOOST_AUTO_TEST_CASE(streams_before_a_new_version_are_kept_too) {
  const auto machine = std::make_shared<coordinator_machine>();
  {
    auto site = coordinator_harness(machine);
    site.AwaitLeadership();
    site.Announce({"a"}, "v1");
    site.Sync(MakeBegunReport(7));
    site.RunFor(kWriteTime);
    site.Announce({"b"}, "v2");
    site.RunFor(kWriteTime);
  }
  auto site = coordinator_harness(machine);
  site.AwaitLeadership();
  BOOST_TEST(ListStreams(site.Sync(MakeQuestion(7))) ==
             std::set<std::uint64_t>{7});
}

// The leader's disk may be lost with it.
BOOST_AUTO_TEST_CASE(two_followers_keep_copies_of_what_began_each_stream) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  site.Announce({"a"}, "v1");
  site.Sync(MakeBegunReport(7));
  const auto calm = site.Sync(MakeFollowerSync("core-2"));
  BOOST_TEST(calm.origins().empty());  // one version: nothing has to be kept
  site.Announce({"b"}, "v2");
  site.RunFor(milliseconds(200));
  auto request = MakeFollowerSync("core-2");
  auto answer = site.Sync(request);
  BOOST_TEST(ListStreams(answer) == std::set<std::uint64_t>{7});
  site.Sync(MakeBegunReport(8));
  request.set_stream_source(answer.stream_source());
  request.set_have_streams(answer.stream_revision());
  answer = site.Sync(request);
  BOOST_TEST(ListStreams(answer) == std::set<std::uint64_t>{8});
  // A list of another leader is not this one.
  request.set_stream_source(answer.stream_source() + 1);
  BOOST_TEST(ListStreams(site.Sync(request)).size() == 2U);
  BOOST_TEST(ListStreams(site.Sync(MakeFollowerSync("core-3"))).size() == 2U);
  BOOST_TEST(site.Sync(MakeFollowerSync("core-4")).origins().empty());
  // The next one takes the place of a follower that is gone.
  for (auto i = 0; i < 10; ++i) {
    site.RunFor(milliseconds(200));
    site.Sync(MakeFollowerSync("core-2"));
    site.Sync(MakeFollowerSync("core-4"));
  }
  BOOST_TEST(ListStreams(site.Sync(MakeFollowerSync("core-4"))).size() == 2U);
}

// Their gateways tell them, so that the leader need not.
BOOST_AUTO_TEST_CASE(relays_are_sent_no_copies) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  site.Announce({"a"}, "v1");
  site.Announce({"b"}, "v2");
  site.RunFor(milliseconds(200));
  site.Sync(MakeBegunReport(7));
  BOOST_TEST(site.Sync(MakeFollowerSync("core-2")).origins_size() == 1);
  auto relay = MakeFollowerSync("core-2");
  for (auto i = 0; i < 30; ++i) {
    auto* row = relay.add_relayed();
    row->set_vm("edge-" + std::to_string(100 + i));
    row->set_caller_address("127.0.0.1:4");
    row->set_ready(true);
  }
  site.Sync(relay);
  BOOST_TEST(site.Sync(relay).origins().empty());
}

// A follower of an earlier build does not ask for copies.
BOOST_AUTO_TEST_CASE(a_follower_that_keeps_nothing_is_sent_nothing) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  site.Announce({"a"}, "v1");
  site.Announce({"b"}, "v2");
  site.RunFor(milliseconds(200));
  site.Sync(MakeBegunReport(7));
  auto request = MakeFollowerSync("core-2");
  request.set_keeps_streams(false);
  BOOST_TEST(site.Sync(request).origins().empty());
}

BOOST_AUTO_TEST_CASE(only_services_with_several_versions_are_written) {
  const auto folder = test_folder();
  {
    auto run = facts_run(folder);
    run.Load(kStart);
    run.streams.Add(stream_key(7), kOrigin, run.now);
    run.streams.Add(stream_key(8), {service_name("t"), kOrigin.software},
                    run.now);
    run.Write(kStart);
  }
  auto run = facts_run(folder);
  run.Load(kStart);
  BOOST_TEST(Knows(run, 7));
  BOOST_TEST(run.streams.get_size() == 1U);
}

// Whoever began so long ago has ended, and its key may come again.
BOOST_AUTO_TEST_CASE(an_origin_is_not_kept_longer_than_in_memory) {
  const auto folder = test_folder();
  WriteStream(folder, kStart);
  const auto is_known_after = [&folder](seconds time) {
    auto run = facts_run(folder);
    run.Load(kStart + time);
    return Knows(run, 7);
  };
  BOOST_TEST(is_known_after(seconds(0)));
  BOOST_TEST(is_known_after(seconds(100)));
  BOOST_TEST(!is_known_after(seconds(121)));
  // The clock was set back: the batch counts as new.
  BOOST_TEST(is_known_after(seconds(-86400)));
}

// A data folder of another site or of an earlier machine.
BOOST_AUTO_TEST_CASE(what_another_disk_has_written_is_left_out) {
  const auto folder = test_folder();
  WriteStream(folder, kStart);
  auto run = facts_run(folder);
  run.Load(kStart, node_id("10.0.0.2:1.0"));
  BOOST_TEST(run.streams.get_size() == 0U);
}

BOOST_AUTO_TEST_CASE(damage_costs_only_what_is_damaged) {
  const auto folder = test_folder();
  WriteStream(folder, kStart);
  {
    auto out = std::ofstream(folder.get_path() + "/facts.0",
                             std::ios::binary | std::ios::app);
    out << std::string(10000, 'x');
  }
  {
    auto run = facts_run(folder);
    run.Load(kStart);
    BOOST_TEST(Knows(run, 7));
    run.streams.Add(stream_key(8), kOrigin, run.now);
    run.Write(kStart);
  }
  auto run = facts_run(folder);
  run.Load(kStart);
  BOOST_TEST(Knows(run, 7));
  BOOST_TEST(Knows(run, 8));
}

// Rows with a name that is none, or of more than its longest size.
BOOST_AUTO_TEST_CASE(rows_that_name_nothing_are_left_out) {
  const auto folder = test_folder();
  {
    auto batch = schema::fact_batch();
    batch.set_node(kNode.get());
    batch.set_written_ms(1'800'000'000'000);
    for (const auto& name :
         {std::string(), std::string("\xff\xfe"), std::string(10000, 'x')}) {
      AddBegunStreams(*batch.add_streams(),
                      {service_name(name), software_version("v1")},
                      {stream_key(1)});
      AddBegunStreams(*batch.add_streams(),
                      {service_name("s"), software_version(name)},
                      {stream_key(2)});
    }
    AddBegunStreams(*batch.add_streams(), kOrigin, {stream_key(7)});
    auto journal = fact_journal(facts_run::MakeOptions(folder));
    journal.Load();
    journal.Append(batch.SerializeAsString());
    journal.Append("no message");
  }
  auto run = facts_run(folder);
  run.Load(kStart);
  BOOST_TEST(Knows(run, 7));
  BOOST_TEST(run.streams.get_size() == 1U);
}

BOOST_AUTO_TEST_CASE(streams_outlive_each_change_of_files) {
  const auto folder = test_folder();
  auto wall = kStart;
  {
    auto run = facts_run(folder);
    run.Load(wall);
    // One stream a second for three minutes.
    for (auto second = std::uint64_t{0}; second < 180; ++second) {
      run.streams.Add(stream_key(second + 1), kOrigin, run.now);
      run.Write(wall);
      run.now += seconds(1) - durable_facts::kWriteInterval;
      wall += seconds(1);
    }
  }
  auto run = facts_run(folder);
  run.Load(wall);
  for (auto second = std::uint64_t{121}; second <= 180; ++second) {
    BOOST_TEST(Knows(run, second));
  }
  BOOST_TEST(run.streams.get_size() <= 130U);
}

// All streams that still count are written once the disk works again.
BOOST_AUTO_TEST_CASE(what_a_failed_write_lost_is_written_again) {
  const auto folder = test_folder();
  auto is_full = std::atomic<bool>(true);
  {
    auto options = facts_run::MakeOptions(folder);
    options.write = [&is_full](int fd, const void* bytes, std::size_t count) {
      errno = ENOSPC;
      return is_full ? ssize_t{-1} : ::write(fd, bytes, count);
    };
    auto run = facts_run(folder);
    auto log = event_log("test", 0);
    auto counters = metrics();
    auto facts = durable_facts(options, log, counters);
    facts.Load(kNode, {}, run.now, kStart);
    run.streams.Add(stream_key(7), kOrigin, run.now);
    for (auto i = 0; i < 50; ++i) {
      is_full = i < 25;
      run.now += durable_facts::kWriteInterval;
      facts.Tick(run.GetKnown(), run.now, kStart);
      facts.Flush();
    }
  }
  auto run = facts_run(folder);
  run.Load(kStart);
  BOOST_TEST(Knows(run, 7));
}

// BUDGET: after a kill of all processes, requests with a part that was known to
// crash servers crashed them again.
BOOST_AUTO_TEST_CASE(what_crashes_servers_outlives_all_processes) {
  const auto machine = std::make_shared<coordinator_machine>();
  {
    auto site = coordinator_harness(machine);
    site.AwaitLeadership();
    site.Sync(MakeCrashSync(true));
    site.RunFor(kWriteTime);
  }
  auto site = coordinator_harness(machine);
  site.AwaitLeadership();
  const auto answer = site.Sync(MakeCrashSync(false));
  BOOST_REQUIRE(answer.crashes_size() == 1);
  const auto report = ToDomain(answer.crashes(0));
  BOOST_TEST(IsProvenCrasher(report.record));
  BOOST_TEST((report.age >= seconds(1) && report.age < seconds(30)));
}

// The verdict holds as long as it would have held in memory.
BOOST_AUTO_TEST_CASE(a_verdict_is_not_kept_longer_than_in_memory) {
  const auto folder = test_folder();
  WriteProof(folder);
  BOOST_TEST((JudgeAfter(folder, seconds(0)) == suspicion::quarantined));
  BOOST_TEST((JudgeAfter(folder, seconds(290)) == suspicion::quarantined));
  BOOST_TEST((JudgeAfter(folder, seconds(301)) == suspicion::suspected));
  {
    auto run = facts_run(folder);
    run.Load(kStart + std::chrono::hours(1));
    run.crashes.Forget(run.now);
    BOOST_TEST(run.crashes.get_size() == 0U);
  }
  // A clock that was set back makes it as young as it was, not younger.
  BOOST_TEST((JudgeAfter(folder, seconds(-86400)) == suspicion::quarantined));
}

// The part has stopped crashing servers, and requests with it are served.
BOOST_AUTO_TEST_CASE(a_cleared_verdict_does_not_come_back) {
  const auto folder = test_folder();
  const auto other_folder = test_folder();
  WriteProof(folder);
  WriteProof(other_folder);
  {
    auto run = facts_run(folder);
    run.Load(kStart + seconds(1));
    BOOST_TEST(run.crashes.Clear(kBadKey, run.now));
    run.Write(kStart + seconds(1));
  }
  BOOST_TEST((JudgeAfter(folder, seconds(2)) == suspicion::none));
  // The older copy of another disk is reported to a leader that knows better.
  auto leader = facts_run(folder);
  leader.Load(kStart + seconds(2));
  auto follower = facts_run(other_folder);
  follower.Load(kStart + seconds(2));
  for (const auto& report : follower.crashes.TakeReport(follower.now)) {
    leader.crashes.Merge(report, true, leader.now);
  }
  BOOST_TEST((leader.crashes.Judge(kBadKey, leader.now) == suspicion::none));
}

// An older copy with one more server would have ended the quarantine early.
BOOST_AUTO_TEST_CASE(an_older_copy_makes_no_record_older) {
  auto ledger = crash_ledger();
  const auto now = mono_time(std::chrono::hours(1));
  ledger.Add(MakeProof(), now);
  auto older = MakeProof();
  older.runs.Add(server_run(5));
  BOOST_TEST(ledger.Merge({older, seconds(400)}, false, now));
  BOOST_TEST((ledger.Judge(kBadKey, now) == suspicion::quarantined));
}

// A file has all records from its beginning, as the one before is dropped.
BOOST_AUTO_TEST_CASE(verdicts_outlive_each_change_of_files) {
  const auto folder = test_folder();
  WriteProof(folder);
  {
    auto run = facts_run(folder);
    run.Load(kStart);
    // A stream a second, so that files change.
    for (auto second = std::uint64_t{1}; second < 200; ++second) {
      run.streams.Add(stream_key(second), kOrigin, run.now);
      run.Write(kStart + seconds(second));
      run.now += seconds(1) - durable_facts::kWriteInterval;
    }
  }
  BOOST_TEST((JudgeAfter(folder, seconds(200)) == suspicion::quarantined));
}

// DRAIN: after a kill of all processes, a late heartbeat brought a server back
// whose departure had been acknowledged.
BOOST_AUTO_TEST_CASE(a_departure_outlives_all_processes) {
  const auto machine = std::make_shared<coordinator_machine>();
  {
    auto site = coordinator_harness(machine);
    site.AwaitLeadership();
    site.Announce({"a", "b"});
    BOOST_TEST(site.Leave("a") == 200);
    site.RunFor(kWriteTime);
  }
  auto site = coordinator_harness(machine);
  site.AwaitLeadership();
  site.Announce({"a", "b"});
  auto servers_ready = std::set<std::string>();
  const auto answer = site.Sync(MakeCrashSync(false));
  for (const auto& row : answer.backends()) {
    if (!row.gone()) {
      servers_ready.insert(row.id());
    }
  }
  BOOST_TEST(servers_ready == std::set<std::string>{"b"});
}

BOOST_AUTO_TEST_CASE(a_departure_binds_no_later_run_of_the_server) {
  for (const auto start_time_ms : {std::uint64_t{0}, std::uint64_t{1000}}) {
    const auto folder = test_folder();
    WriteDeparture(folder, start_time_ms);
    BOOST_TEST(
        (AnnounceAfter(folder, seconds(9), MakeHeartbeat(start_time_ms, 2)) ==
         announce_result::has_left));
    BOOST_TEST((AnnounceAfter(folder, seconds(9), MakeHeartbeat(2000, 1)) ==
                announce_result::changed));
    // As in memory: forgotten once no heartbeat can still be on its way.
    BOOST_TEST(
        (AnnounceAfter(folder, seconds(31), MakeHeartbeat(start_time_ms, 2)) ==
         announce_result::changed));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
