#include "codec/control_codec.h"

#include <utility>

#include "codec/record_codec.h"
#include "schema/control.pb.h"

namespace ebony {

namespace {

auto EncodeBody(const put_record_command& command, schema::command& message)
    -> void {
  auto* body = message.mutable_put_record();
  body->set_request_id(command.id.get());
  *body->mutable_content() = ToSchema(command.content);
}

auto EncodeBody(const delete_record_command& command, schema::command& message)
    -> void {
  auto* body = message.mutable_delete_record();
  body->set_request_id(command.id.get());
  body->set_name(command.name.get());
  body->set_revision(command.revision.get());
}

auto EncodeBody(const put_backend_command& command, schema::command& message)
    -> void {
  *message.mutable_put_backend()->mutable_backend() = ToSchema(command.backend);
}

auto EncodeBody(const suspect_backend_command& command,
                schema::command& message) -> void {
  auto* body = message.mutable_suspect_backend();
  body->set_backend(command.backend.get());
  body->set_incarnation(command.run.get());
}

auto EncodeBody(const drain_backend_command& command, schema::command& message)
    -> void {
  auto* body = message.mutable_drain_backend();
  body->set_request_id(command.id.get());
  body->set_backend(command.backend.get());
  body->set_leaving(command.leaving);
}

auto EncodeBody(const issue_order_command& command, schema::command& message)
    -> void {
  auto* body = message.mutable_issue_order();
  body->set_backend(command.backend.get());
  body->set_accelerator(command.accelerator.get());
  body->set_reason(command.reason);
  AppendToSchema(command.target, body->mutable_target());
}

auto EncodeBody(const resolve_order_command& command, schema::command& message)
    -> void {
  auto* body = message.mutable_resolve_order();
  body->set_id(command.id.get());
  body->set_backend(command.backend.get());
  body->set_accelerator(command.accelerator.get());
  body->set_sequence(command.sequence);
  AppendToSchema(command.observed, body->mutable_observed());
}

auto EncodeBody(const forget_backend_command& command, schema::command& message)
    -> void {
  message.mutable_forget_backend()->set_backend(command.backend.get());
}

auto EncodeBody(const daemon_schema_command& command, schema::command& message)
    -> void {
  auto* body = message.mutable_daemon_schema();
  body->set_vm(command.vm.get());
  body->set_schema_version(command.schema_version);
}

template <typename Messages>
auto ToResidents(const Messages& messages) -> std::vector<resident> {
  auto residents = std::vector<resident>();
  for (const auto& message : messages) {
    residents.push_back(ToDomain(message));
  }
  return residents;
}

auto EncodeOutcome(const change_outcome& outcome) -> schema::change_outcome {
  auto message = schema::change_outcome();
  message.set_request_id(outcome.id.get());
  message.set_applied(outcome.applied);
  message.set_error_code(std::to_string(static_cast<int>(outcome.error)));
  message.set_message(outcome.message);
  message.set_revision(outcome.revision.get());
  message.set_version(outcome.version.get());
  return message;
}

auto DecodeOutcome(const schema::change_outcome& message) -> change_outcome {
  auto outcome = change_outcome();
  outcome.id = change_id(message.request_id());
  outcome.applied = message.applied();
  outcome.error = static_cast<error_kind>(std::stoi(message.error_code()));
  outcome.message = message.message();
  outcome.revision = revision_number(message.revision());
  outcome.version = config_version(message.version());
  return outcome;
}

auto EncodeLedger(const accelerator_ledger& ledger)
    -> schema::accelerator_state {
  auto message = schema::accelerator_state();
  message.set_capacity_mib(ledger.get_capacity().get());
  AppendToSchema(ledger.get_confirmed(), message.mutable_confirmed());
  message.set_resolved_sequence(ledger.get_resolved_sequence());
  if (ledger.get_open()) {
    *message.mutable_open_order() = ToSchema(*ledger.get_open());
    message.set_reason(ledger.get_open()->reason);
  }
  return message;
}

auto DecodeLedger(const schema::accelerator_state& message)
    -> accelerator_ledger {
  auto ledger = accelerator_ledger(mebibytes(message.capacity_mib()), {});
  ledger.Confirm(ToResidents(message.confirmed()), message.resolved_sequence());
  if (message.has_open_order()) {
    auto open = ToDomain(message.open_order());
    open.reason = message.reason();
    ledger.Open(std::move(open));
  }
  return ledger;
}

auto EncodeBackend(const backend_state& entry) -> schema::backend_state {
  auto message = schema::backend_state();
  *message.mutable_info() = ToSchema(entry.info);
  for (const auto& ledger : entry.accelerators) {
    *message.add_accelerators() = EncodeLedger(ledger);
  }
  message.set_suspected(entry.suspected);
  message.set_drained_by_operator(entry.drained_by_operator);
  message.set_forgotten(entry.forgotten);
  message.set_changed(entry.changed.get());
  return message;
}

auto DecodeBackend(const schema::backend_state& message) -> backend_state {
  auto entry = backend_state();
  entry.info = ToDomain(message.info());
  for (const auto& ledger : message.accelerators()) {
    entry.accelerators.push_back(DecodeLedger(ledger));
  }
  entry.suspected = message.suspected();
  entry.drained_by_operator = message.drained_by_operator();
  entry.forgotten = message.forgotten();
  entry.changed = config_version(message.changed());
  return entry;
}

auto EncodeRecord(const record_state& entry) -> schema::record_state {
  auto message = schema::record_state();
  *message.mutable_record()->mutable_content() = ToSchema(entry.accepted);
  message.mutable_record()->set_revision(entry.revision.get());
  message.set_deleted(entry.deleted);
  message.set_changed(entry.changed.get());
  if (entry.has_effective) {
    *message.mutable_effective() = ToSchema(entry.effective);
  }
  return message;
}

auto DecodeRecord(const schema::record_state& message) -> record_state {
  auto entry = record_state();
  entry.accepted = ToDomain(message.record().content());
  entry.revision = revision_number(message.record().revision());
  entry.deleted = message.deleted();
  entry.changed = config_version(message.changed());
  entry.has_effective = message.has_effective();
  if (entry.has_effective) {
    entry.effective = ToDomain(message.effective());
  }
  return entry;
}

}  // namespace

auto EncodeCommand(const control_command& command) -> std::string {
  auto message = schema::command();
  std::visit([&message](const auto& body) { EncodeBody(body, message); },
             command);
  return message.SerializeAsString();
}

auto DecodeCommand(const std::string& bytes) -> control_command {
  auto message = schema::command();
  if (!message.ParseFromString(bytes)) {
    throw ebony_error(error_kind::storage_failed,
                      "log command is not a valid protobuf message");
  }
  switch (message.body_case()) {
    case schema::command::kPutRecord:
      return put_record_command{change_id(message.put_record().request_id()),
                                ToDomain(message.put_record().content())};
    case schema::command::kDeleteRecord:
      return delete_record_command{
          change_id(message.delete_record().request_id()),
          record_name(message.delete_record().name()),
          revision_number(message.delete_record().revision())};
    case schema::command::kPutBackend:
      return put_backend_command{ToDomain(message.put_backend().backend())};
    case schema::command::kSuspectBackend:
      return suspect_backend_command{
          backend_name(message.suspect_backend().backend()),
          incarnation(message.suspect_backend().incarnation())};
    case schema::command::kDrainBackend:
      return drain_backend_command{
          change_id(message.drain_backend().request_id()),
          backend_name(message.drain_backend().backend()),
          message.drain_backend().leaving()};
    case schema::command::kIssueOrder: {
      const auto& body = message.issue_order();
      return issue_order_command{backend_name(body.backend()),
                                 accelerator_index(body.accelerator()),
                                 ToResidents(body.target()), body.reason()};
    }
    case schema::command::kResolveOrder: {
      const auto& body = message.resolve_order();
      return resolve_order_command{
          order_id(body.id()), backend_name(body.backend()),
          accelerator_index(body.accelerator()), ToResidents(body.observed()),
          body.sequence()};
    }
    case schema::command::kForgetBackend:
      return forget_backend_command{
          backend_name(message.forget_backend().backend())};
    case schema::command::kDaemonSchema:
      return daemon_schema_command{vm_name(message.daemon_schema().vm()),
                                   message.daemon_schema().schema_version()};
    case schema::command::BODY_NOT_SET:
      break;
  }
  throw ebony_error(error_kind::storage_failed,
                    "log command has no known kind");
}

auto EncodeState(const control_data& data) -> std::string {
  auto message = schema::control_snapshot();
  for (const auto& [name, entry] : data.records) {
    *message.add_records() = EncodeRecord(entry);
  }
  for (const auto& [name, entry] : data.backends) {
    *message.add_backends() = EncodeBackend(entry);
  }
  for (const auto& outcome : data.outcomes) {
    *message.add_outcomes() = EncodeOutcome(outcome);
  }
  message.set_next_order(data.next_order);
  message.set_version(data.version.get());
  for (const auto& [vm, version] : data.daemon_schemas) {
    (*message.mutable_daemon_schemas())[vm.get()] = version;
  }
  return message.SerializeAsString();
}

auto DecodeState(const std::string& bytes) -> control_data {
  auto message = schema::control_snapshot();
  if (!message.ParseFromString(bytes)) {
    throw ebony_error(error_kind::storage_failed,
                      "control snapshot is not a valid protobuf message");
  }
  auto data = control_data();
  for (const auto& item : message.records()) {
    auto entry = DecodeRecord(item);
    const auto name = entry.accepted.name;
    data.records.emplace(name, std::move(entry));
  }
  for (const auto& item : message.backends()) {
    auto entry = DecodeBackend(item);
    const auto name = entry.info.name;
    data.backends.emplace(name, std::move(entry));
  }
  for (const auto& item : message.outcomes()) {
    data.outcomes.push_back(DecodeOutcome(item));
  }
  data.next_order = message.next_order();
  data.version = config_version(message.version());
  for (const auto& [vm, version] : message.daemon_schemas()) {
    data.daemon_schemas.emplace(vm_name(vm), version);
  }
  return data;
}

}  // namespace ebony
