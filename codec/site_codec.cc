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

auto ToSchema(const backend_record& record, mono_time now)
    -> schema::backend_status_row {
  const auto& status = record.status;
  auto row = schema::backend_status_row();
  row.set_id(status.id.get());
  row.set_service(status.service.get());
  row.set_address(status.address.get());
  row.set_data_centre(status.data_centre.get());
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
  record.has_left = row.gone();
  record.is_suspected = row.suspected();
  record.last_seen = now - std::chrono::milliseconds(row.silent_ms());
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
