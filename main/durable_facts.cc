#include "main/durable_facts.h"

#include <algorithm>
#include <utility>

#include "codec/message_reader.h"
#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "core/hashing.h"
#include "core/text.h"

namespace ebony {

namespace {

// Longer than anything is kept; larger ages are no ages.
constexpr duration kLongestAge = std::chrono::hours(24 * 365);

auto ToUnixMs(wall_time wall) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, wall.time_since_epoch().count()));
}

// Returns the time since a batch was written. A clock that was set back gives
// 0, so that nothing is dropped too early.
auto GetBatchAge(const schema::fact_batch& batch, wall_time wall) -> duration {
  const auto now_ms = ToUnixMs(wall);
  const auto age_ms = now_ms - std::min(now_ms, batch.written_ms());
  return std::min<duration>(kLongestAge, std::chrono::milliseconds(age_ms));
}

// Returns what has to be known of a server that has left.
auto MakeDepartureRow(const backend_record& record, mono_time now)
    -> schema::backend_status_row {
  auto departure = backend_record();
  departure.status.id = record.status.id;
  departure.status.start_time_ms = record.status.start_time_ms;
  departure.has_left = true;
  departure.last_seen = record.last_seen;
  return ToSchema(departure, now);
}

auto IsEmpty(const schema::fact_batch& batch) -> bool {
  return batch.crashes().empty() && batch.streams().empty() &&
         batch.departures().empty();
}

}  // namespace

auto GetWallTime() -> wall_time {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

auto GetStreamSource(const std::string& epoch,
                     const std::set<service_name>& services) -> std::uint64_t {
  if (services.empty()) {
    return 0;
  }
  auto source = HashBytes(epoch);
  for (const auto& service : services) {
    source = HashBytes(service.get(), source);
  }
  return std::max<std::uint64_t>(1, source);
}

durable_facts::durable_facts(fact_journal::options options,
                             event_log& log,
                             metrics& counters)
    : journal_(std::move(options)), log_(log), metrics_(counters) {}

auto durable_facts::Restore(const schema::fact_batch& batch,
                            const fact_receivers& receivers,
                            mono_time now,
                            wall_time wall) -> void {
  const auto age = GetBatchAge(batch, wall);
  for (const auto& row : batch.crashes()) {
    auto report = ToDomain(row);
    report.age =
        std::clamp<duration>(report.age, duration(0), kLongestAge) + age;
    receivers.on_crash_record(report);
  }
  for (const auto& row : batch.departures()) {
    auto record = ToDomain(row, now);
    record.last_seen -= age;
    const auto is_current =
        now - record.last_seen <= backend_registry_options().remove_after;
    if (record.has_left && IsName(row.id()) && is_current) {
      receivers.on_departure(record);
    }
  }
  if (age >= 2 * stream_origin_table::kLifetime) {
    return;
  }
  for (const auto& row : batch.streams()) {
    if (IsName(row.service()) && IsName(row.software())) {
      ForEachBegunStream(row, receivers.on_stream);
    }
  }
}

auto durable_facts::Load(const node_id& node,
                         const fact_receivers& receivers,
                         mono_time now,
                         wall_time wall) -> void {
  node_ = node.get();
  file_begun_ = now;
  auto contents = journal_contents();
  try {
    contents = journal_.Load();
  } catch (const ebony_error& error) {
    log_.Write(event_category::state, "facts_unreadable",
               {{"error", error.what()}});
  }
  auto foreign = std::int64_t{0};
  auto unreadable = std::int64_t{0};
  for (const auto& payload : contents.payloads) {
    auto batch = schema::fact_batch();
    const auto bad_rows = ReadMessage(payload, batch);
    unreadable += static_cast<std::int64_t>(bad_rows.value_or(1));
    if (bad_rows && batch.node() == node_) {
      Restore(batch, receivers, now, wall);
    } else if (bad_rows) {
      ++foreign;
    }
  }
  log_.Write(
      event_category::state, "facts_loaded",
      {{"batches", static_cast<std::int64_t>(contents.payloads.size())},
       {"damaged_bytes", static_cast<std::int64_t>(contents.damaged_bytes)},
       {"unreadable_rows", unreadable},
       {"of_other_disks", foreign}});
}

auto durable_facts::OnRestored(const known_facts& facts) -> void {
  crash_revision_ = facts.crashes.get_revision();
  stream_source_ = GetStreamSource({}, facts.services);
  stream_revision_ = facts.streams.get_revision();
}

auto durable_facts::AddCrashes(const known_facts& facts,
                               mono_time now,
                               schema::fact_batch& batch) -> void {
  while (crash_revision_ < facts.crashes.get_revision()) {
    for (const auto& report : facts.crashes.ListSince(crash_revision_, now)) {
      *batch.add_crashes() = ToSchema(report);
    }
  }
}

auto durable_facts::AddDepartures(const known_facts& facts,
                                  mono_time now,
                                  schema::fact_batch& batch) -> void {
  if (facts.registry_epoch != registry_epoch_) {
    registry_epoch_ = facts.registry_epoch;
    registry_revision_ = 0;
  }
  for (const auto* record : facts.registry.ListSince(registry_revision_)) {
    if (record->has_left) {
      *batch.add_departures() = MakeDepartureRow(*record, now);
    }
  }
  registry_revision_ = facts.registry.get_revision();
}

auto durable_facts::AddStreams(const known_facts& facts,
                               schema::fact_batch& batch) -> void {
  // A service that has just got a second version begins with all its streams.
  const auto source = GetStreamSource({}, facts.services);
  if (std::exchange(stream_source_, source) != source) {
    stream_revision_ = 0;
  }
  const auto streams =
      facts.streams.ListSince(stream_revision_, facts.services, kMaxStreams);
  for (const auto& [origin, keys] : streams) {
    AddBegunStreams(*batch.add_streams(), origin, keys);
  }
}

auto durable_facts::FillBatch(const known_facts& facts,
                              bool rotates,
                              mono_time now,
                              schema::fact_batch& batch) -> void {
  if (rotates) {
    crash_revision_ = 0;
    registry_revision_ = 0;
  }
  if (must_rewrite_) {
    stream_revision_ = 0;
  }
  AddCrashes(facts, now, batch);
  AddDepartures(facts, now, batch);
  AddStreams(facts, batch);
}

auto durable_facts::Write(const schema::fact_batch& batch,
                          bool rotates,
                          mono_time now) -> void {
  last_write_ = now;
  const auto bytes = batch.SerializeAsString();
  const auto is_queued =
      rotates ? journal_.Rotate(bytes) : journal_.Append(bytes);
  if (!is_queued) {
    metrics_.Count("ebony_fact_batches_dropped_total");
    return;
  }
  metrics_.Count("ebony_fact_batches_total");
  metrics_.Count("ebony_fact_bytes_total", bytes.size());
  if (rotates) {
    file_begun_ = now;
    must_rewrite_ = false;
  }
}

auto durable_facts::Tick(const known_facts& facts,
                         mono_time now,
                         wall_time wall) -> void {
  if (const auto failure = journal_.TakeFailure()) {
    metrics_.Count("ebony_fact_write_failures_total");
    log_.Write(event_category::state, "facts_not_written",
               {{"error", *failure}});
    must_rewrite_ = true;
    next_retry_ = now + kRetryInterval;
  }
  const auto is_waiting = must_rewrite_ && now < next_retry_;
  if (now - last_write_ < kWriteInterval || is_waiting) {
    return;
  }
  const auto rotates = must_rewrite_ || now - file_begun_ >= kFileTime;
  auto batch = schema::fact_batch();
  FillBatch(facts, rotates, now, batch);
  if (IsEmpty(batch)) {
    return;
  }
  batch.set_node(node_);
  batch.set_written_ms(ToUnixMs(wall));
  Write(batch, rotates, now);
}

}  // namespace ebony
