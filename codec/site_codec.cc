#include "codec/site_codec.h"

#include <algorithm>

namespace ebony {

namespace {

auto GetAgeMilliseconds(mono_time since, mono_time now) -> std::uint32_t {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
}

}  // namespace

auto ToSchema(const first_event_sums& sums) -> schema::first_event_row {
  auto row = schema::first_event_row();
  row.set_count(sums.count);
  row.set_tokens(sums.tokens);
  row.set_seconds(sums.seconds);
  row.set_tokens_squared(sums.tokens_squared);
  row.set_tokens_by_seconds(sums.tokens_by_seconds);
  return row;
}

auto ToDomain(const schema::first_event_row& row) -> first_event_sums {
  auto sums = first_event_sums();
  sums.count = row.count();
  sums.tokens = row.tokens();
  sums.seconds = row.seconds();
  sums.tokens_squared = row.tokens_squared();
  sums.tokens_by_seconds = row.tokens_by_seconds();
  return sums;
}

auto ToSchema(const request_limit& limit, mono_time now)
    -> schema::request_limit_row {
  auto row = schema::request_limit_row();
  row.set_limited(limit.rate.has_value());
  row.set_rate(limit.rate.value_or(request_rate()).get());
  row.set_age_ms(GetAgeMilliseconds(limit.observed, now));
  row.set_falls_over(limit.max_rejections.has_value());
  row.set_max_rejections(
      limit.max_rejections.value_or(rejection_count()).get());
  row.set_presumed(limit.is_presumed);
  if (limit.last_rejection != mono_time()) {
    row.set_rejection_age_ms(GetAgeMilliseconds(limit.last_rejection, now) + 1);
  }
  return row;
}

auto ToDomain(const schema::request_limit_row& row, mono_time now)
    -> request_limit {
  auto limit = request_limit();
  if (row.limited()) {
    limit.rate = request_rate(row.rate());
  }
  limit.observed = now - std::chrono::milliseconds(row.age_ms());
  if (row.falls_over()) {
    limit.max_rejections = rejection_count(row.max_rejections());
  }
  limit.is_presumed = row.presumed();
  if (row.rejection_age_ms() > 0) {
    limit.last_rejection =
        now - std::chrono::milliseconds(row.rejection_age_ms() - 1);
  }
  return limit;
}

auto AddPermitRequest(schema::sync_request& request,
                      const permit_report& report,
                      const backend_index& numbers,
                      mono_time now) -> void {
  const auto number = numbers.GetNumber(report.id);
  if (number == 0) {
    return;
  }
  auto* row = request.add_permit_requests();
  row->set_number(number);
  row->set_born_ms(report.start_time_ms);
  if (report.news) {
    *row->mutable_news() = ToSchema(*report.news, now);
  }
  row->set_waiting(report.waiting);
  row->set_expected(report.expected);
  row->set_returned(report.returned);
  row->set_held(report.held);
  row->set_rejected(report.rejected);
}

auto GetPermitReports(const schema::sync_request& request,
                      const backend_index& numbers,
                      mono_time now) -> std::vector<permit_report> {
  auto reports = std::vector<permit_report>();
  for (const auto& row : request.permit_requests()) {
    const auto* id = numbers.FindName(row.number());
    if (id == nullptr) {
      continue;
    }
    auto report = permit_report();
    report.id = *id;
    report.start_time_ms = row.born_ms();
    if (row.has_news()) {
      report.news = ToDomain(row.news(), now);
    }
    report.waiting = row.waiting();
    report.expected = row.expected();
    report.returned = row.returned();
    report.held = row.held();
    report.rejected = row.rejected();
    reports.push_back(std::move(report));
  }
  return reports;
}

auto AddPermits(schema::sync_answer& answer,
                const permit_counts& permits,
                const backend_index& numbers) -> void {
  for (const auto& [id, count] : permits) {
    auto* row = answer.add_permits();
    row->set_number(numbers.GetNumber(id));
    row->set_permits(count);
  }
}

auto GetPermits(const schema::sync_answer& answer, const backend_index& numbers)
    -> permit_counts {
  auto permits = permit_counts();
  for (const auto& row : answer.permits()) {
    if (const auto* id = numbers.FindName(row.number())) {
      permits[*id] += row.permits();
    }
  }
  return permits;
}

auto AddBegunStreams(schema::begun_streams_row& row,
                     const stream_origin& origin,
                     const std::vector<stream_key>& keys) -> void {
  row.set_service(origin.service.get());
  row.set_software(origin.software.get());
  for (const auto& key : keys) {
    row.add_keys(key.get());
  }
}

auto ForEachBegunStream(const schema::begun_streams_row& row,
                        const origin_row_callback& callback) -> void {
  const auto origin = stream_origin{service_name(row.service()),
                                    software_version(row.software())};
  for (const auto key : row.keys()) {
    callback(stream_key(key), origin);
  }
}

auto ToSchema(const stream_origin& item) -> schema::software_row {
  auto row = schema::software_row();
  row.set_service(item.service.get());
  row.set_software(item.software.get());
  return row;
}

auto ToDomain(const schema::software_row& row) -> stream_origin {
  return {service_name(row.service()), software_version(row.software())};
}

auto ToSoftwareVersions(const software_rows& rows) -> software_versions {
  auto versions = software_versions();
  for (const auto& row : rows) {
    versions.Add(ToDomain(row));
  }
  return versions;
}

auto AddSoftwareVersions(schema::sync_answer& answer,
                         const schema::sync_request& request,
                         const software_versions* versions,
                         const version_times& times,
                         mono_time now) -> void {
  if (versions == nullptr) {
    return;
  }
  answer.set_software_digest(versions->GetDigest());
  if (request.have_software() == answer.software_digest()) {
    return;
  }
  for (const auto& item : versions->get_items()) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        times.GetAge(item, now));
    auto* row = answer.add_software();
    *row = ToSchema(item);
    row->set_known_ms(static_cast<std::uint32_t>(age.count()));
  }
}

auto GetRelays(const schema::sync_answer& answer)
    -> std::vector<relay_address> {
  auto relays = std::vector<relay_address>();
  for (const auto& row : answer.relays()) {
    relays.push_back(
        {host_port(row.link()), data_centre_name(row.data_centre())});
  }
  return relays;
}

auto ToSchema(const crash_report& report) -> schema::crash_record_row {
  const auto& record = report.record;
  auto row = schema::crash_record_row();
  row.set_key(record.key.get());
  row.set_is_request(record.kind == suspect_kind::request);
  row.set_clearances(record.clearances);
  row.set_rounds(record.rounds);
  row.set_begun_rounds(record.begun_rounds);
  for (const auto& run : record.runs.get_values()) {
    row.add_runs(run.get());
  }
  for (const auto& request : record.requests.get_values()) {
    row.add_requests(request.get());
  }
  for (const auto& organisation : record.organisations.get_values()) {
    row.add_organisations(organisation.get());
  }
  row.set_isolated(record.is_isolated);
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(report.age);
  row.set_age_ms(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
  return row;
}

auto ToDomain(const schema::crash_record_row& row) -> crash_report {
  auto report = crash_report();
  auto& record = report.record;
  record.key = suspect_key(row.key());
  record.kind =
      row.is_request() ? suspect_kind::request : suspect_kind::segment;
  record.clearances = row.clearances();
  record.rounds = row.rounds();
  record.begun_rounds = row.begun_rounds();
  for (const auto run : row.runs()) {
    record.runs.Add(server_run(run));
  }
  for (const auto request : row.requests()) {
    record.requests.Add(request_mark(request));
  }
  for (const auto organisation : row.organisations()) {
    record.organisations.Add(organisation_mark(organisation));
  }
  record.is_isolated = row.isolated();
  report.age = std::chrono::milliseconds(row.age_ms());
  return report;
}

auto AddTrials(schema::trial_row& row,
               const vm_name& vm,
               const std::vector<suspect_key>& keys) -> void {
  row.set_vm(vm.get());
  for (const auto& key : keys) {
    row.add_keys(key.get());
  }
}

auto GetTrialKeys(const schema::trial_row& row) -> std::vector<suspect_key> {
  auto keys = std::vector<suspect_key>();
  for (const auto key : row.keys()) {
    keys.emplace_back(key);
  }
  return keys;
}

auto ToSchema(const backend_record& record, mono_time now)
    -> schema::backend_status_row {
  const auto& status = record.status;
  auto row = schema::backend_status_row();
  row.set_id(status.id.get());
  row.set_service(status.service.get());
  row.set_address(status.address.get());
  row.set_data_centre(status.data_centre.get());
  row.set_software(status.software.get());
  row.set_said_leaving(record.has_said_leaving);
  row.set_returned(record.has_returned);
  row.set_slots(status.slots);
  row.set_leaving(status.is_leaving);
  row.set_sequence(status.sequence);
  row.set_born_ms(status.start_time_ms);
  for (const auto& model : status.models) {
    auto* model_row = row.add_models();
    model_row->set_name(model.name.get());
    model_row->set_version(model.version);
    for (const auto& adapter : model.adapters) {
      model_row->add_adapters(adapter.get());
    }
  }
  for (const auto& name : status.in_memory) {
    row.add_in_memory(name.get());
  }
  for (const auto& name : status.on_disk) {
    row.add_on_disk(name.get());
  }
  row.set_gone(record.has_left);
  row.set_suspected(record.is_suspected);
  row.set_silent_ms(GetAgeMilliseconds(record.last_seen, now));
  if (record.limit.observed != mono_time()) {
    *row.mutable_limit() = ToSchema(record.limit, now);
  }
  return row;
}

auto ToDomain(const schema::backend_status_row& row, mono_time now)
    -> backend_record {
  auto record = backend_record();
  auto& status = record.status;
  status.id = backend_name(row.id());
  status.service = service_name(row.service());
  status.address = host_port(row.address());
  status.data_centre = data_centre_name(row.data_centre());
  status.software = software_version(row.software());
  status.slots = row.slots();
  status.is_leaving = row.leaving();
  status.sequence = row.sequence();
  status.start_time_ms = row.born_ms();
  for (const auto& model_row : row.models()) {
    auto model = loaded_model();
    model.name = model_name(model_row.name());
    model.version = model_row.version();
    for (const auto& adapter : model_row.adapters()) {
      model.adapters.emplace_back(adapter);
    }
    status.models.push_back(std::move(model));
  }
  for (const auto& name : row.in_memory()) {
    status.in_memory.emplace_back(name);
  }
  for (const auto& name : row.on_disk()) {
    status.on_disk.emplace_back(name);
  }
  record.has_said_leaving = row.said_leaving();
  record.has_returned = row.returned();
  record.has_left = row.gone();
  record.is_suspected = row.suspected();
  record.last_seen = now - std::chrono::milliseconds(row.silent_ms());
  if (row.has_limit()) {
    record.limit = ToDomain(row.limit(), now);
  }
  return record;
}

auto AddLoad(schema::backend_loads& rows,
             std::uint32_t number,
             std::uint32_t requests,
             std::uint64_t tokens) -> void {
  rows.add_numbers(number);
  rows.add_requests(requests);
  rows.add_tokens(tokens);
}

auto AddLoads(schema::backend_loads& rows, const load_report& report) -> void {
  const auto size = static_cast<int>(report.size());
  rows.mutable_numbers()->Reserve(size);
  rows.mutable_requests()->Reserve(size);
  rows.mutable_tokens()->Reserve(size);
  for (const auto& [number, amount] : report) {
    AddLoad(rows, number, static_cast<std::uint32_t>(amount.requests),
            amount.tokens);
  }
}

auto GetLoadReport(const schema::backend_loads& rows,
                   const backend_index& numbers) -> load_report {
  const auto count =
      std::min({rows.numbers_size(), rows.requests_size(), rows.tokens_size()});
  auto report = load_report();
  report.reserve(static_cast<std::size_t>(count));
  for (auto i = 0; i < count; ++i) {
    if (numbers.FindName(rows.numbers(i)) != nullptr) {
      report.push_back({rows.numbers(i), {rows.requests(i), rows.tokens(i)}});
    }
  }
  return report;
}

auto ForEachLoad(const schema::backend_loads& rows,
                 const backend_index& numbers,
                 const load_row_callback& callback) -> void {
  const auto count =
      std::min({rows.numbers_size(), rows.requests_size(), rows.tokens_size()});
  for (auto i = 0; i < count; ++i) {
    if (const auto* id = numbers.FindName(rows.numbers(i))) {
      callback(*id, rows.requests(i), rows.tokens(i));
    }
  }
}

}  // namespace ebony
