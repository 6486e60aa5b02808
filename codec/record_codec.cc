#include "codec/record_codec.h"

#include <google/protobuf/util/json_util.h>

#include "core/error_kind.h"

namespace ebony {

namespace {

auto ToDomain(const schema::adapter& message) -> adapter_spec {
  return {{adapter_name(message.name()), version_name(message.version())},
          mebibytes(message.memory_mib())};
}

auto ToSchema(const adapter_spec& spec) -> schema::adapter {
  auto message = schema::adapter();
  message.set_name(spec.key.name.get());
  message.set_version(spec.key.version.get());
  message.set_memory_mib(spec.memory.get());
  return message;
}

auto ToDomain(const schema::model& message) -> model_spec {
  auto spec = model_spec();
  spec.key = {model_name(message.name()), version_name(message.version())};
  spec.weights = mebibytes(message.weights_mib());
  spec.kv_cache = mebibytes(message.kv_cache_mib());
  spec.min_replicas = std::max<std::uint32_t>(1, message.min_replicas());
  spec.min_data_centres =
      std::max<std::uint32_t>(1, message.min_data_centres());
  spec.caller_max_in_flight = message.caller_max_in_flight();
  const auto& priority = message.priority();
  const auto parsed =
      priority.empty() ? priority_class::interactive : ParsePriority(priority);
  if (!parsed) {
    throw ebony_error(error_kind::invalid_request,
                      "models[" + message.name() + "].priority: '" + priority +
                          "' must be urgent, interactive or batch");
  }
  spec.priority = *parsed;
  for (const auto& adapter : message.adapters()) {
    spec.adapters.push_back(ToDomain(adapter));
  }
  for (const auto& caller : message.callers()) {
    spec.callers.emplace_back(caller);
  }
  return spec;
}

auto ToSchema(const model_spec& spec) -> schema::model {
  auto message = schema::model();
  message.set_name(spec.key.model.get());
  message.set_version(spec.key.version.get());
  message.set_weights_mib(spec.weights.get());
  message.set_kv_cache_mib(spec.kv_cache.get());
  message.set_min_replicas(spec.min_replicas);
  message.set_priority(std::string(GetPriorityText(spec.priority)));
  message.set_caller_max_in_flight(spec.caller_max_in_flight);
  if (spec.min_data_centres > 1) {
    message.set_min_data_centres(spec.min_data_centres);
  }
  for (const auto& adapter : spec.adapters) {
    *message.add_adapters() = ToSchema(adapter);
  }
  for (const auto& caller : spec.callers) {
    message.add_callers(caller.get());
  }
  return message;
}

template <typename Message>
auto ParseJson(const std::string& text) -> Message {
  auto message = Message();
  const auto status =
      google::protobuf::util::JsonStringToMessage(text, &message);
  if (!status.ok()) {
    throw ebony_error(error_kind::invalid_request,
                      "not a valid JSON " + message.GetDescriptor()->name() +
                          ": " + std::string(status.message()));
  }
  return message;
}

}  // namespace

auto ToDomain(const schema::record& message) -> record_content {
  auto content = record_content();
  content.name = record_name(message.name());
  content.schema_version = message.schema_version();
  content.revision = revision_number(message.revision());
  for (const auto& model : message.models()) {
    content.models.push_back(ToDomain(model));
  }
  content.encoded = message.SerializeAsString();
  return content;
}

auto ToSchema(const record_content& content) -> schema::record {
  auto message = schema::record();
  // The encoded form keeps fields that are unknown to this build's schema.
  if (content.encoded.empty() || !message.ParseFromString(content.encoded)) {
    message.Clear();
    message.set_name(content.name.get());
    message.set_schema_version(content.schema_version);
    for (const auto& model : content.models) {
      *message.add_models() = ToSchema(model);
    }
  }
  message.set_revision(content.revision.get());
  return message;
}

auto ToDomain(const schema::resident& message) -> resident {
  auto value = resident();
  value.key = {model_name(message.model()), version_name(message.version())};
  value.memory = mebibytes(message.memory_mib());
  for (const auto& adapter : message.adapters()) {
    value.adapters.push_back(ToDomain(adapter));
  }
  return value;
}

auto ToSchema(const resident& value) -> schema::resident {
  auto message = schema::resident();
  message.set_model(value.key.model.get());
  message.set_version(value.key.version.get());
  message.set_memory_mib(value.memory.get());
  for (const auto& adapter : value.adapters) {
    *message.add_adapters() = ToSchema(adapter);
  }
  return message;
}

auto ToDomain(const schema::announcement& message) -> backend_announcement {
  auto value = backend_announcement();
  value.name = backend_name(message.backend());
  value.address = host_port(message.address());
  value.data_centre = data_centre_name(message.data_centre());
  value.run = incarnation(message.incarnation());
  value.sequence = message.sequence();
  for (const auto& item : message.accelerators()) {
    auto report = accelerator_report();
    report.capacity = mebibytes(item.capacity_mib());
    report.applied = order_id(item.applied_order());
    for (const auto& loaded : item.residents()) {
      report.residents.push_back(ToDomain(loaded));
    }
    value.accelerators.push_back(std::move(report));
  }
  for (const auto& service : message.services()) {
    value.services.emplace_back(service);
  }
  value.slots = std::max<std::uint32_t>(1, message.slots());
  value.running = message.running();
  value.queued = message.queued();
  value.leaving = message.leaving();
  value.checks_fencing = message.checks_fencing();
  value.checks_sender = message.checks_sender();
  value.role = message.role();
  value.software = software_version(message.software());
  return value;
}

auto ToSchema(const backend_announcement& value) -> schema::announcement {
  auto message = schema::announcement();
  message.set_backend(value.name.get());
  message.set_address(value.address.get());
  message.set_data_centre(value.data_centre.get());
  message.set_incarnation(value.run.get());
  message.set_sequence(value.sequence);
  for (const auto& report : value.accelerators) {
    auto* item = message.add_accelerators();
    item->set_capacity_mib(report.capacity.get());
    item->set_applied_order(report.applied.get());
    AppendToSchema(report.residents, item->mutable_residents());
  }
  for (const auto& service : value.services) {
    message.add_services(service.get());
  }
  message.set_slots(value.slots);
  message.set_running(value.running);
  message.set_queued(value.queued);
  message.set_leaving(value.leaving);
  message.set_checks_fencing(value.checks_fencing);
  message.set_checks_sender(value.checks_sender);
  message.set_role(value.role);
  message.set_software(value.software.get());
  return message;
}

auto ToDomain(const schema::order& message) -> order {
  auto value = order();
  value.id = order_id(message.id());
  value.backend = backend_name(message.backend());
  value.accelerator = accelerator_index(message.accelerator());
  for (const auto& item : message.target()) {
    value.target.push_back(ToDomain(item));
  }
  return value;
}

auto ToSchema(const order& value) -> schema::order {
  auto message = schema::order();
  message.set_id(value.id.get());
  message.set_backend(value.backend.get());
  message.set_accelerator(value.accelerator.get());
  AppendToSchema(value.target, message.mutable_target());
  return message;
}

auto ParseRecordJson(const std::string& text) -> record_content {
  return ToDomain(ParseJson<schema::record>(text));
}

auto ParseRecordBinary(const std::string& bytes) -> record_content {
  auto message = schema::record();
  if (!message.ParseFromString(bytes)) {
    throw ebony_error(error_kind::invalid_request,
                      "not a valid protobuf record");
  }
  return ToDomain(message);
}

auto ParseAnnouncementJson(const std::string& text) -> backend_announcement {
  auto value = ToDomain(ParseJson<schema::announcement>(text));
  if (value.name.get().empty() || value.address.get().empty()) {
    throw ebony_error(error_kind::invalid_request,
                      "announcement: backend and address must be given");
  }
  for (const auto& report : value.accelerators) {
    if (SIZE_MAX / 2 < report.capacity.get()) {
      throw ebony_error(error_kind::invalid_request,
                        "announcement: capacity_mib is too large");
    }
  }
  return value;
}

auto ParseOrderJson(const std::string& text) -> order {
  return ToDomain(ParseJson<schema::order>(text));
}

auto RenderJson(const google::protobuf::Message& message) -> std::string {
  auto options = google::protobuf::util::JsonPrintOptions();
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  auto text = std::string();
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &text, options);
  if (!status.ok()) {
    throw ebony_error(error_kind::internal, "cannot render message as JSON");
  }
  return text;
}

}  // namespace ebony
