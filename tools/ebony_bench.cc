// ebony_bench: measures how the cost of decisions and messages grows with the
// size of the fleet, fits a line to each cost, and computes the figures of
// docs/CAPACITY.md from it.

#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "codec/control_codec.h"
#include "codec/entry_codec.h"
#include "codec/handover_codec.h"
#include "codec/link_codec.h"
#include "codec/record_codec.h"
#include "codec/site_codec.h"
#include "control/peer_choice.h"
#include "control/permit_allocator.h"
#include "control/placement.h"
#include "core/stream_origin_table.h"
#include "entry/claim_table.h"
#include "entry/crash_guard.h"
#include "entry/request_coordinator.h"

namespace ebony {

namespace {

// Size and load of the target fleet in docs/CAPACITY.md.
constexpr double kServers = 5500;
constexpr double kModels = 1300;
constexpr double kEntryDaemons = 403;
constexpr double kRequestsPerSecond = 20000;
constexpr double kChangesPerDay = 5200;
constexpr double kSecondsPerDay = 86400;
constexpr std::size_t kReplicasPerServer = 4;
constexpr std::uint64_t kAcceleratorMib = 80000;
constexpr int kRunsPerMeasurement = 5;

// Least-squares line through measured points.
struct fitted_line {
  double intercept = 0;  // value at size 0
  double slope = 0;      // per unit of size
  double error = 0;      // root mean square of the residuals
};

struct sample {
  double size = 0;
  double value = 0;
};

auto Fit(const std::vector<sample>& samples) -> fitted_line {
  auto n = static_cast<double>(samples.size());
  auto sum_x = 0.0;
  auto sum_y = 0.0;
  auto sum_xx = 0.0;
  auto sum_xy = 0.0;
  for (const auto& item : samples) {
    sum_x += item.size;
    sum_y += item.value;
    sum_xx += item.size * item.size;
    sum_xy += item.size * item.value;
  }
  auto line = fitted_line();
  line.slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  line.intercept = (sum_y - line.slope * sum_x) / n;
  auto squares = 0.0;
  for (const auto& item : samples) {
    const auto residual = item.value - line.intercept - line.slope * item.size;
    squares += residual * residual;
  }
  line.error = std::sqrt(squares / n);
  return line;
}

// Returns the best of several runs of `body`, in microseconds per call.
auto MeasureUs(int calls, const std::function<void()>& body) -> double {
  auto best = 1e18;
  for (auto run = 0; run < kRunsPerMeasurement; ++run) {
    const auto begin = std::chrono::steady_clock::now();
    for (auto i = 0; i < calls; ++i) {
      body();
    }
    const auto took = std::chrono::duration<double, std::micro>(
                          std::chrono::steady_clock::now() - begin)
                          .count();
    best = std::min(best, took / calls);
  }
  return best;
}

// Returns the heap memory in use, in MiB.
auto GetUsedMib() -> double {
  return static_cast<double>(::mallinfo2().uordblks) / (1 << 20);
}

auto MakeModelName(std::size_t i) -> model_name {
  return model_name("model-" + std::to_string(i));
}

auto MakeFleet(std::size_t servers, std::size_t models) -> control_data {
  auto data = control_data();
  auto record = record_state();
  record.accepted.name = record_name("fleet");
  record.accepted.revision = revision_number(1);
  for (auto i = std::size_t{0}; i < models; ++i) {
    auto spec = model_spec();
    spec.key = {MakeModelName(i), version_name("1")};
    spec.weights = mebibytes(15000);
    spec.min_replicas = 2;
    record.accepted.models.push_back(spec);
  }
  record.effective = record.accepted;
  record.has_effective = true;
  record.changed = config_version(1);
  data.records.emplace(record.accepted.name, record);
  for (auto i = std::size_t{0}; i < servers; ++i) {
    auto entry = backend_state();
    entry.info.name = backend_name("server-" + std::to_string(i));
    entry.info.address = host_port("10.0.0.1:8000");
    entry.info.data_centre = data_centre_name("dc" + std::to_string(i % 10));
    entry.info.run = incarnation(1);
    entry.info.slots = 32;
    entry.changed = config_version(2 + i);
    for (auto a = std::size_t{0}; a < kReplicasPerServer; ++a) {
      const auto model = (i * kReplicasPerServer + a) % models;
      const auto item = resident{
          {MakeModelName(model), version_name("1")}, mebibytes(15000), {}};
      entry.info.accelerators.push_back(
          {mebibytes(kAcceleratorMib), {item}, order_id(1)});
      entry.accelerators.emplace_back(mebibytes(kAcceleratorMib),
                                      std::vector<resident>{item});
    }
    data.backends.emplace(entry.info.name, std::move(entry));
  }
  data.version = config_version(servers + 2);
  return data;
}

auto MakeTable(const control_data& data) -> routing_table {
  auto update = schema::entry_update();
  AddChangesSince(data, config_version(), update);
  auto table = routing_table();
  table.Apply(ToDomain(update));
  return table;
}

// Prints the samples, the line fitted to them and its value at size `target`.
auto PrintFit(const std::string& name,
              const std::string& unit,
              const std::vector<sample>& samples,
              double target) -> double {
  const auto line = Fit(samples);
  std::printf("%-34s", name.c_str());
  for (const auto& item : samples) {
    std::printf("  %6.0f: %10.3f", item.size, item.value);
  }
  const auto at_target = line.intercept + line.slope * target;
  std::printf("  | %.4f + %.6f x, error %.4f | at %.0f: %.2f %s\n",
              line.intercept, line.slope, line.error, target, at_target,
              unit.c_str());
  return at_target;
}

auto MakeRandomSource(std::size_t bound) -> router::random_source {
  auto engine = std::make_shared<std::mt19937_64>(bound);
  return [engine](std::uint64_t limit) { return (*engine)() % limit; };
}

// Returns the time of all decisions on one request, from its arrival to the
// delivery of its answer, in microseconds.
auto MeasureRequestUs(std::size_t servers, std::size_t models) -> double {
  const auto data = MakeFleet(servers, models);
  const auto table = MakeTable(data);
  auto backend_router = router({}, MakeRandomSource(1));
  auto claims = claim_coordinator({}, vm_name("e"), incarnation(1), {});
  auto coordinator =
      request_coordinator({}, table, backend_router, claims,
                          MakeRandomSource(2), [](const std::string&) {});
  auto random = std::mt19937_64(3);
  auto number = std::uint64_t{0};
  auto now = mono_time(std::chrono::seconds(1000));
  return MeasureUs(5000, [&] {
    auto request = caller_request();
    request.id = request_id(++number);
    request.model = MakeModelName(random() % models);
    request.prefix_hash = random() % 1000 + 1;
    request.deadline = now + std::chrono::seconds(1);
    coordinator.OnRequest(request, now);
    auto result = attempt_result();
    result.end = attempt_end::complete;
    result.status = 200;
    coordinator.OnAttemptEnd(request.id, attempt_number(1), result, now);
    coordinator.TakeActions();
    now += std::chrono::microseconds(50);
  });
}

auto MeasureFleetSlopes() -> void {
  const auto sizes = std::vector<std::size_t>{15, 500, 1500, 5500};
  auto request = std::vector<sample>();
  auto plan = std::vector<sample>();
  auto full_update = std::vector<sample>();
  auto delta = std::vector<sample>();
  auto apply = std::vector<sample>();
  auto snapshot_kib = std::vector<sample>();
  auto snapshot_ms = std::vector<sample>();
  auto update_kib = std::vector<sample>();
  auto state_mib = std::vector<sample>();
  auto table_mib = std::vector<sample>();
  for (const auto servers : sizes) {
    const auto x = static_cast<double>(servers);
    const auto models = std::max<std::size_t>(
        15, static_cast<std::size_t>(kModels * x / kServers));
    auto before = GetUsedMib();
    const auto data = MakeFleet(servers, models);
    state_mib.push_back({x, GetUsedMib() - before});
    before = GetUsedMib();
    const auto table = MakeTable(data);
    table_mib.push_back({x, GetUsedMib() - before});
    request.push_back({x, MeasureRequestUs(servers, models)});
    const auto planner = placement({});
    plan.push_back(
        {x, MeasureUs(1, [&] { planner.Plan(data, {}, 10); }) / 1000});
    auto update = schema::entry_update();
    full_update.push_back({x, MeasureUs(1, [&] {
                                update.Clear();
                                AddChangesSince(data, config_version(), update);
                              }) / 1000});
    update_kib.push_back(
        {x, static_cast<double>(update.ByteSizeLong()) / 1024});
    auto delta_update = schema::entry_update();
    delta.push_back({x, MeasureUs(10, [&] {
                       delta_update.Clear();
                       AddChangesSince(data, config_version(servers),
                                       delta_update);
                     })});
    const auto rows = ToDomain(update);
    apply.push_back({x, MeasureUs(1, [&] {
                          auto rebuilt = routing_table();
                          rebuilt.Apply(rows);
                        }) / 1000});
    auto bytes = std::string();
    snapshot_ms.push_back(
        {x, MeasureUs(1, [&] { bytes = EncodeState(data); }) / 1000});
    snapshot_kib.push_back({x, static_cast<double>(bytes.size()) / 1024});
  }
  std::printf("\nper server (each with %zu accelerators)\n",
              kReplicasPerServer);
  PrintFit("request decision, us", "us", request, kServers);
  PrintFit("placement round, ms", "ms", plan, kServers);
  PrintFit("full update, fill, ms", "ms", full_update, kServers);
  PrintFit("full update, size, KiB", "KiB", update_kib, kServers);
  PrintFit("update of one change, fill, us", "us", delta, kServers);
  PrintFit("table rebuild at an entry, ms", "ms", apply, kServers);
  PrintFit("snapshot, encode, ms", "ms", snapshot_ms, kServers);
  PrintFit("snapshot, size, KiB", "KiB", snapshot_kib, kServers);
  PrintFit("control state, memory, MiB", "MiB", state_mib, kServers);
  PrintFit("routing table, memory, MiB", "MiB", table_mib, kServers);
}

auto MeasureCandidateSlopes() -> void {
  constexpr auto kBackendServers = std::size_t{1500};
  auto request = std::vector<sample>();
  for (const auto models : {1300U, 400U, 100U, 40U, 15U}) {
    const auto candidates =
        static_cast<double>(kBackendServers * kReplicasPerServer) / models;
    request.push_back({candidates, MeasureRequestUs(kBackendServers, models)});
  }
  std::printf("\nper backend server that holds the model\n");
  PrintFit("request decision, us", "us", request,
           kServers * kReplicasPerServer / kModels);
}

auto MeasureClaimSlopes() -> void {
  auto cost = std::vector<sample>();
  auto memory = std::vector<sample>();
  for (const auto claims : {1000U, 20000U, 60000U, 180000U}) {
    const auto before = GetUsedMib();
    auto table = claim_table({}, mono_time());
    const auto now = mono_time(std::chrono::seconds(1000));
    for (auto i = 0U; i < claims; ++i) {
      table.TryClaim(request_key("caller\nkey-" + std::to_string(i)),
                     {vm_name("e1"), incarnation(1), 1}, i, now);
    }
    memory.push_back({static_cast<double>(claims), GetUsedMib() - before});
    auto number = 0U;
    cost.push_back(
        {static_cast<double>(claims), MeasureUs(1000, [&] {
           table.TryClaim(
               request_key("caller\nkey-" + std::to_string(number++ % claims)),
               {vm_name("e2"), incarnation(1), 1}, 0, now);
         })});
  }
  std::printf("\nper claim held\n");
  PrintFit("claim, us", "us", cost, 180000);
  PrintFit("claims, memory, MiB", "MiB", memory, 180000);
}

// The leader's work for one sync of a daemon that asks for permits by a rate,
// or for slots.
auto MeasurePermits(const request_limit& limit, const char* name) -> void {
  auto cost = std::vector<sample>();
  const auto vm = vm_name("asks");
  const auto now = mono_time(std::chrono::seconds(1000));
  for (const auto servers : {1U, 10U, 50U, 200U}) {
    auto allocator = permit_allocator();
    auto reports = std::vector<permit_report>(servers);
    for (auto i = 0U; i < servers; ++i) {
      reports[i].id = backend_name("server-" + std::to_string(i));
      reports[i].waiting = 1;
      reports[i].held = limit.max_rejections ? 1 : 0;
      auto limited = limited_server();
      limited.id = reports[i].id;
      limited.slots = 9;
      limited.limit = limit;
      allocator.SetLimit(limited, now);
      for (auto daemon = 0; daemon < 7; ++daemon) {
        allocator.Request(vm_name("d" + std::to_string(daemon)), reports[i],
                          now);
      }
    }
    cost.push_back({static_cast<double>(servers), MeasureUs(200, [&] {
                      for (const auto& report : reports) {
                        allocator.Request(vm, report, now);
                      }
                      allocator.Take(vm, now);
                    })});
  }
  PrintFit(name, "us", cost, 50);
}

// The same, and the bytes of a row each way.
auto MeasurePermitSlopes() -> void {
  std::printf("\nper limited server that a daemon asks for\n");
  auto by_rate = request_limit();
  by_rate.rate = request_rate(1600);
  MeasurePermits(by_rate, "request and grant of permits, us");
  auto by_slots = request_limit();
  by_slots.max_rejections = rejection_count(5);
  MeasurePermits(by_slots, "report and grant of slots, us");
  auto request = schema::permit_request_row();
  request.set_number(5000);
  request.set_born_ms(1796374646990);
  request.set_waiting(3);
  request.set_expected(2);
  auto permit = schema::permit_row();
  permit.set_number(5000);
  permit.set_permits(1);
  const auto request_bytes = request.ByteSizeLong();
  request.clear_expected();
  request.set_held(3);
  std::printf("row of a request %zu B, of slots %zu B, of a permit %zu B\n",
              request_bytes, request.ByteSizeLong(), permit.ByteSizeLong());
}

// The work and memory for each stream whose origin a daemon remembers.
auto MeasureOriginSlopes() -> void {
  auto cost = std::vector<sample>();
  auto memory = std::vector<sample>();
  const auto origin = stream_origin{service_name("s"), software_version("v1")};
  const auto now = mono_time(std::chrono::seconds(1000));
  for (const auto streams : {1000U, 20000U, 60000U, 180000U}) {
    const auto before = GetUsedMib();
    auto table = stream_origin_table();
    auto number = std::uint64_t{0};
    const auto key = [&number] {
      return stream_key(++number * 0x9E3779B97F4A7C15ULL);
    };
    for (auto i = 0U; i < streams; ++i) {
      table.Add(key(), origin, now);
    }
    memory.push_back({static_cast<double>(streams), GetUsedMib() - before});
    cost.push_back({static_cast<double>(streams),
                    MeasureUs(1000, [&] { table.Add(key(), origin, now); })});
  }
  auto row = schema::begun_streams_row();
  AddBegunStreams(row, origin, std::vector<stream_key>(100));
  std::printf("\nper stream remembered\n");
  PrintFit("origin added, us", "us", cost, 180000);
  PrintFit("origins, memory, MiB", "MiB", memory, 180000);
  std::printf("report of 100 streams %zu B\n", row.ByteSizeLong());
}

// The work of a coordinator for the streams that it writes to its journal in
// one batch, or passes on to one follower.
auto MeasureStreamCopySlopes() -> void {
  auto cost = std::vector<sample>();
  const auto service = service_name("s");
  const auto origin = stream_origin{service, software_version("v1")};
  for (const auto streams : {10U, 100U, 1000U, 4000U}) {
    auto table = stream_origin_table();
    for (auto i = std::uint64_t{0}; i < streams; ++i) {
      table.Add(stream_key(i * 0x9E3779B97F4A7C15ULL), origin, mono_time());
    }
    cost.push_back({static_cast<double>(streams), MeasureUs(100, [&] {
                      auto revision = std::uint64_t{0};
                      auto batch = schema::fact_batch();
                      const auto list =
                          table.ListSince(revision, {service}, streams);
                      for (const auto& [item, keys] : list) {
                        AddBegunStreams(*batch.add_streams(), item, keys);
                      }
                      static_cast<void>(batch.SerializeAsString());
                    })});
  }
  PrintFit("streams listed and encoded, us", "us", cost, 4000);
}

// The work and memory for each key whose crashes a daemon keeps a record of,
// and for each request that is checked.
auto MeasureCrashSlopes() -> void {
  auto merge = std::vector<sample>();
  auto memory = std::vector<sample>();
  auto check = std::vector<sample>();
  const auto now = mono_time(std::chrono::seconds(1000));
  const auto make_report = [](std::uint64_t number) {
    auto report = crash_report();
    report.record.key = suspect_key(number * 0x9E3779B97F4A7C15ULL);
    report.record.rounds = 2;
    report.record.runs.Add(server_run(number));
    report.record.requests.Add(request_mark(number));
    report.record.organisations.Add(organisation_mark(number));
    return report;
  };
  for (const auto records : {100U, 300U, 600U, 1000U}) {
    const auto before = GetUsedMib();
    auto guard = crash_guard();
    auto number = std::uint64_t{0};
    const auto add = [&] {
      guard.get_ledger().Merge(make_report(++number), true, now);
    };
    for (auto i = 0U; i < records; ++i) {
      add();
    }
    memory.push_back({static_cast<double>(records), GetUsedMib() - before});
    auto metadata = request_metadata();
    metadata.prompt_segments = {{1, 10}, {2, 10}, {3, 10}};
    check.push_back({static_cast<double>(records), MeasureUs(10000, [&] {
                       const auto suspects =
                           GetSuspects(metadata, request_fingerprint(++number),
                                       service_name("s"));
                       guard.Check(suspects, now);
                       guard.OnSent(suspects, now);
                       guard.OnRan(suspects, now);
                     })});
    merge.push_back({static_cast<double>(records), MeasureUs(20, add)});
  }
  const auto row = ToSchema(make_report(1));
  auto trial = schema::trial_row();
  AddTrials(trial, vm_name("edge-hall-d-4"), {suspect_key(1ULL << 60)});
  std::printf("\nper key with a crash record\n");
  PrintFit("record merged, us", "us", merge, 1024);
  PrintFit("records, memory, MiB", "MiB", memory, 1024);
  PrintFit("request checked and proven, us", "us", check, 1024);
  std::printf("record %zu B, trial %zu B\n", row.ByteSizeLong(),
              trial.ByteSizeLong());
}

// The work for a list of the gateways to which one of them can hand requests
// over.
auto MeasurePeerSlopes() -> void {
  constexpr auto kDataCentres = 12;
  auto cost = std::vector<sample>();
  auto bytes = std::size_t{0};
  const auto now = mono_time(std::chrono::hours(1));
  for (const auto count : {50, 100, 200, 403}) {
    auto gateways = gateway_registry();
    for (auto i = 0; i < count; ++i) {
      auto info = gateway_info();
      info.vm = vm_name("edge-region-" + std::to_string(i));
      info.peer_address = host_port("10.128.0." + std::to_string(i) + ":7381");
      info.data_centre =
          data_centre_name("region-" + std::to_string(i % kDataCentres));
      info.is_ready = true;
      info.last_seen = now;
      gateways.Update(info);
    }
    auto answer = schema::sync_answer();
    const auto own = gateways.get_all().begin()->second;
    cost.push_back({static_cast<double>(count), MeasureUs(200, [&] {
                      answer.clear_peers();
                      AddPeers(answer, ChoosePeers(gateways, own.vm,
                                                   own.data_centre, now));
                    })});
    bytes = answer.ByteSizeLong();
  }
  std::printf("\nper gateway\n");
  PrintFit("a list of peers, us", "us", cost, kEntryDaemons);
  std::printf("list of peers %zu B\n", bytes);
}

auto MeasureMessages() -> void {
  auto poll = schema::link_frame();
  poll.set_from("e123");
  poll.mutable_poll()->set_vm("e123");
  poll.mutable_poll()->set_incarnation(1ULL << 50);
  poll.mutable_poll()->set_sequence(1000000);
  poll.mutable_poll()->set_have_version(5000000);
  poll.mutable_poll()->set_schema_version(2);
  auto update = schema::link_frame();
  update.set_from("c1");
  update.mutable_update()->set_sequence(1000000);
  update.mutable_update()->set_entry_incarnation(1ULL << 50);
  update.mutable_update()->set_leader("c1");
  update.mutable_update()->set_from_version(5000000);
  update.mutable_update()->set_to_version(5000000);
  update.mutable_update()->set_lease_ms(1500);
  update.mutable_update()->set_term(12);
  auto data = MakeFleet(1, 15);
  auto delta_update = schema::entry_update();
  AddChangesSince(data, config_version(1), delta_update);
  const auto change = static_cast<double>(delta_update.ByteSizeLong());
  const auto poll_bytes = static_cast<double>(poll.ByteSizeLong());
  const auto update_bytes = static_cast<double>(update.ByteSizeLong());
  auto gossip = schema::link_frame();
  gossip.set_from("e123");
  gossip.mutable_gossip()->set_vm("e123");
  gossip.mutable_gossip()->set_in_flight(50);
  for (auto i = 0; i < 16; ++i) {
    auto* load = gossip.mutable_gossip()->add_loads();
    load->set_backend("server-1234");
    load->set_incarnation(1ULL << 50);
    load->set_sequence(100000);
    load->set_running(20);
    load->set_queued(5);
  }
  const auto gossip_bytes = static_cast<double>(gossip.ByteSizeLong());
  const auto changes = kChangesPerDay / kSecondsPerDay;
  std::printf(
      "\nmessages: poll %.0f B, its answer %.0f B, one changed server %.0f B, "
      "gossip with 16 loads %.0f B\n",
      poll_bytes, update_bytes, change, gossip_bytes);
  std::printf(
      "one entry: 5 polls a second %.2f KiB/s, gossip to 6 peers twice a "
      "second %.2f KiB/s, changes %.3f KiB/s\n",
      5 * (poll_bytes + update_bytes) / 1024, 2 * 6 * gossip_bytes / 1024,
      changes * change / 1024);
  std::printf("leader with %.0f entries polling directly: %.0f KiB/s\n",
              kEntryDaemons,
              kEntryDaemons * 5 * (poll_bytes + update_bytes) / 1024);
  std::printf("requests for one entry: %.1f a second\n",
              kRequestsPerSecond / kEntryDaemons);
}

}  // namespace

}  // namespace ebony

auto main() -> int {
  std::printf("slopes: size: value ... | base + slope x, error | at target\n");
  ebony::MeasureFleetSlopes();
  ebony::MeasureCandidateSlopes();
  ebony::MeasureClaimSlopes();
  ebony::MeasurePermitSlopes();
  ebony::MeasureOriginSlopes();
  ebony::MeasureStreamCopySlopes();
  ebony::MeasureCrashSlopes();
  ebony::MeasurePeerSlopes();
  ebony::MeasureMessages();
  return 0;
}
