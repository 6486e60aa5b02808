#include "control/control_state.h"

#include <algorithm>
#include <utility>

#include "control/record_rules.h"

namespace ebony {

namespace {

// Number of most recent change outcomes kept to answer retransmissions.
constexpr std::size_t kMaxOutcomes = 10000;

auto JoinFaults(const std::vector<std::string>& faults) -> std::string {
  auto text = std::string();
  for (const auto& fault : faults) {
    text += (text.empty() ? "" : "; ") + fault;
  }
  return text;
}

auto MakeLedgers(const backend_announcement& info)
    -> std::vector<accelerator_ledger> {
  auto ledgers = std::vector<accelerator_ledger>();
  for (const auto& report : info.accelerators) {
    ledgers.emplace_back(report.capacity, report.residents);
  }
  return ledgers;
}

// A copy of an order may still arrive at a restarted engine, so an open order
// stays open across a restart.
auto KeepOpenOrders(const std::vector<accelerator_ledger>& previous,
                    std::vector<accelerator_ledger>& ledgers) -> void {
  for (auto i = std::size_t{0}; i < std::min(previous.size(), ledgers.size());
       ++i) {
    if (previous[i].get_open()) {
      ledgers[i].Open(*previous[i].get_open());
    }
  }
}

}  // namespace

control_state::control_state(std::size_t daemon_count)
    : daemon_count_(daemon_count) {}

auto control_state::FindOutcome(const change_id& id) const
    -> const change_outcome* {
  const auto found = std::find_if(
      data_.outcomes.rbegin(), data_.outcomes.rend(),
      [&id](const change_outcome& outcome) { return outcome.id == id; });
  return found == data_.outcomes.rend() ? nullptr : &*found;
}

auto control_state::RecordOutcome(change_outcome outcome) -> change_outcome {
  data_.outcomes.push_back(outcome);
  if (data_.outcomes.size() > kMaxOutcomes) {
    data_.outcomes.pop_front();
  }
  return outcome;
}

auto control_state::Reject(const change_id& id,
                           error_kind kind,
                           const std::string& message,
                           revision_number current) -> change_outcome {
  auto outcome = change_outcome();
  outcome.id = id;
  outcome.error = kind;
  outcome.message = message;
  outcome.revision = current;
  return RecordOutcome(std::move(outcome));
}

auto control_state::FindModelOwner(const model_name& model,
                                   const record_name& except) const
    -> const record_state* {
  for (const auto& [name, entry] : data_.records) {
    if (name == except || entry.deleted) {
      continue;
    }
    for (const auto& spec : entry.accepted.models) {
      if (spec.key.model == model) {
        return &entry;
      }
    }
  }
  return nullptr;
}

auto control_state::GetCommonSchema() const -> std::uint32_t {
  if (data_.daemon_schemas.size() < daemon_count_) {
    return 1;
  }
  auto common = kNewestSchemaVersion;
  for (const auto& [vm, schema] : data_.daemon_schemas) {
    common = std::min(common, schema);
  }
  return common;
}

auto control_state::PromoteRecords(config_version version) -> void {
  const auto common = GetCommonSchema();
  for (auto& [name, entry] : data_.records) {
    if (entry.deleted || entry.accepted.schema_version > common) {
      continue;
    }
    const auto is_effective =
        entry.has_effective &&
        entry.effective.revision == entry.accepted.revision;
    if (!is_effective) {
      entry.effective = entry.accepted;
      entry.has_effective = true;
      entry.changed = version;
    }
  }
}

auto control_state::CheckPut(const put_record_command& command,
                             const record_state* current) const
    -> std::optional<change_outcome> {
  const auto revision = current == nullptr || current->deleted
                            ? revision_number()
                            : current->revision;
  auto rejection = change_outcome();
  rejection.id = command.id;
  rejection.revision = revision;
  auto faults = FindRecordFaults(command.content);
  if (current != nullptr && !current->deleted) {
    const auto succession_faults =
        FindSuccessionFaults(current->accepted, command.content);
    faults.insert(faults.end(), succession_faults.begin(),
                  succession_faults.end());
  }
  for (const auto& model : command.content.models) {
    const auto* owner = FindModelOwner(model.key.model, command.content.name);
    if (owner != nullptr) {
      faults.push_back("models[" + model.key.model.get() +
                       "]: already declared by record '" +
                       owner->accepted.name.get() + "'");
    }
  }
  if (!faults.empty()) {
    rejection.error = error_kind::invalid_request;
    rejection.message = JoinFaults(faults);
    return rejection;
  }
  if (command.content.revision != revision) {
    rejection.error = error_kind::revision_conflict;
    rejection.message = "record '" + command.content.name.get() +
                        "' is at revision " + std::to_string(revision.get()) +
                        ", the change was made against " +
                        std::to_string(command.content.revision.get());
    return rejection;
  }
  return std::nullopt;
}

auto control_state::Apply(const put_record_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  if (const auto* existing = FindOutcome(command.id)) {
    return *existing;
  }
  const auto found = data_.records.find(command.content.name);
  const auto* current = found == data_.records.end() ? nullptr : &found->second;
  if (auto rejection = CheckPut(command, current)) {
    return RecordOutcome(std::move(*rejection));
  }
  auto& entry = data_.records[command.content.name];
  entry.revision = revision_number(entry.revision.get() + 1);
  if (entry.deleted) {
    entry.has_effective = false;
  }
  entry.deleted = false;
  entry.accepted = command.content;
  entry.accepted.revision = entry.revision;
  PromoteRecords(version);

  auto outcome = change_outcome();
  outcome.id = command.id;
  outcome.applied = true;
  outcome.revision = entry.revision;
  outcome.version = version;
  return RecordOutcome(std::move(outcome));
}

auto control_state::Apply(const delete_record_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  if (const auto* existing = FindOutcome(command.id)) {
    return *existing;
  }
  const auto found = data_.records.find(command.name);
  if (found == data_.records.end() || found->second.deleted) {
    return Reject(command.id, error_kind::not_found,
                  "record '" + command.name.get() + "' does not exist",
                  revision_number());
  }
  auto& entry = found->second;
  if (entry.revision != command.revision) {
    return Reject(command.id, error_kind::revision_conflict,
                  "record '" + command.name.get() + "' is at revision " +
                      std::to_string(entry.revision.get()),
                  entry.revision);
  }
  // The record stays as a tombstone, so that its revisions are never reused.
  entry.deleted = true;
  entry.has_effective = false;
  entry.accepted.models.clear();
  entry.effective = record_content();
  entry.revision = revision_number(entry.revision.get() + 1);
  entry.changed = version;

  auto outcome = change_outcome();
  outcome.id = command.id;
  outcome.applied = true;
  outcome.revision = entry.revision;
  outcome.version = version;
  return RecordOutcome(std::move(outcome));
}

auto control_state::Apply(const put_backend_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  const auto& info = command.backend;
  const auto found = data_.backends.find(info.name);
  if (found == data_.backends.end()) {
    auto entry = backend_state();
    entry.info = info;
    entry.accelerators = MakeLedgers(info);
    entry.changed = version;
    data_.backends.emplace(info.name, std::move(entry));
    return std::nullopt;
  }
  auto& entry = found->second;
  if (info.run < entry.info.run) {
    return std::nullopt;  // A delayed announcement of an earlier run.
  }
  if (info.run > entry.info.run || entry.forgotten) {
    auto ledgers = MakeLedgers(info);
    KeepOpenOrders(entry.accelerators, ledgers);
    entry.accelerators = std::move(ledgers);
    entry.drained_by_operator = false;
  }
  entry.info = info;
  entry.suspected = false;
  entry.forgotten = false;
  entry.changed = version;
  return std::nullopt;
}

auto control_state::Apply(const suspect_backend_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  const auto found = data_.backends.find(command.backend);
  if (found == data_.backends.end() || found->second.info.run != command.run ||
      found->second.suspected) {
    return std::nullopt;
  }
  found->second.suspected = true;
  found->second.changed = version;
  return std::nullopt;
}

auto control_state::Apply(const drain_backend_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  if (const auto* existing = FindOutcome(command.id)) {
    return *existing;
  }
  const auto found = data_.backends.find(command.backend);
  if (found == data_.backends.end() || found->second.forgotten) {
    return Reject(
        command.id, error_kind::not_found,
        "backend server '" + command.backend.get() + "' never announced itself",
        revision_number());
  }
  found->second.drained_by_operator = command.leaving;
  found->second.changed = version;
  auto outcome = change_outcome();
  outcome.id = command.id;
  outcome.applied = true;
  outcome.version = version;
  return RecordOutcome(std::move(outcome));
}

auto control_state::Apply(const issue_order_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  const auto found = data_.backends.find(command.backend);
  if (found == data_.backends.end() || found->second.suspected ||
      found->second.forgotten) {
    return std::nullopt;
  }
  auto& entry = found->second;
  if (command.accelerator.get() >= entry.accelerators.size()) {
    return std::nullopt;
  }
  auto& ledger = entry.accelerators[command.accelerator.get()];
  // At most one open order per accelerator, and never more memory than it has.
  if (ledger.get_open() || !ledger.Fits(command.target)) {
    return std::nullopt;
  }
  auto next = order();
  next.id = order_id(data_.next_order++);
  next.backend = command.backend;
  next.accelerator = command.accelerator;
  next.target = command.target;
  next.reason = command.reason;
  ledger.Open(std::move(next));
  entry.changed = version;
  return std::nullopt;
}

auto control_state::Apply(const resolve_order_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  const auto found = data_.backends.find(command.backend);
  if (found == data_.backends.end() ||
      command.accelerator.get() >= found->second.accelerators.size()) {
    return std::nullopt;
  }
  auto& ledger = found->second.accelerators[command.accelerator.get()];
  const auto open_id = ledger.get_open() ? ledger.get_open()->id : order_id();
  if (open_id != command.id) {
    return std::nullopt;
  }
  ledger.CloseOrder();
  ledger.Confirm(command.observed, command.sequence);
  found->second.changed = version;
  return std::nullopt;
}

auto control_state::Apply(const forget_backend_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  const auto found = data_.backends.find(command.backend);
  if (found == data_.backends.end() || !found->second.suspected) {
    return std::nullopt;
  }
  found->second.forgotten = true;
  found->second.changed = version;
  return std::nullopt;
}

auto control_state::Apply(const daemon_schema_command& command,
                          config_version version)
    -> std::optional<change_outcome> {
  data_.daemon_schemas[command.vm] = command.schema_version;
  PromoteRecords(version);
  return std::nullopt;
}

auto control_state::ApplyCommand(const control_command& command,
                                 config_version version)
    -> std::optional<change_outcome> {
  AdvanceTo(version);
  return std::visit(
      [this, version](const auto& body) { return Apply(body, version); },
      command);
}

auto control_state::AdvanceTo(config_version version) -> void {
  data_.version = std::max(data_.version, version);
}

auto control_state::Restore(control_data data) -> void {
  data_ = std::move(data);
}

auto control_state::GetOutcome(const change_id& id) const
    -> std::optional<change_outcome> {
  const auto* found = FindOutcome(id);
  return found == nullptr ? std::nullopt
                          : std::optional<change_outcome>(*found);
}

}  // namespace ebony
