#include "codec/link_codec.h"

#include <algorithm>

#include "codec/record_codec.h"

namespace ebony {

namespace {

auto EncodeReplicas(const backend_state& entry, schema::backend_row& row)
    -> void {
  for (const auto& ledger : entry.accelerators) {
    for (const auto& item : ledger.GetGuaranteed()) {
      auto* replica = row.add_replicas();
      replica->set_model(item.key.model.get());
      replica->set_version(item.key.version.get());
      replica->set_routable(true);
      for (const auto& adapter : item.adapters) {
        replica->add_adapters(adapter.key.name.get());
      }
    }
  }
}

auto EncodeBackendRow(const backend_state& entry) -> schema::backend_row {
  auto row = schema::backend_row();
  row.set_backend(entry.info.name.get());
  row.set_changed(entry.changed.get());
  row.set_incarnation(entry.info.run.get());
  row.set_removed(entry.suspected || entry.forgotten);
  if (row.removed()) {
    return row;
  }
  row.set_address(entry.info.address.get());
  row.set_data_centre(entry.info.data_centre.get());
  row.set_slots(entry.info.slots);
  row.set_role(entry.info.role);
  row.set_software(entry.info.software.get());
  row.set_leaving(entry.is_leaving());
  for (const auto& service : entry.info.services) {
    row.add_services(service.get());
  }
  EncodeReplicas(entry, row);
  return row;
}

}  // namespace

auto ToSchema(const membership& group) -> schema::membership {
  auto message = schema::membership();
  for (const auto& id : group.voters) {
    message.add_voters(id.get());
  }
  for (const auto& id : group.learners) {
    message.add_learners(id.get());
  }
  if (group.swap) {
    message.set_joining(group.swap->joining.get());
    message.set_leaving(group.swap->leaving.get());
  }
  return message;
}

auto ToDomain(const schema::membership& message) -> membership {
  auto group = membership();
  for (const auto& id : message.voters()) {
    group.voters.emplace_back(id);
  }
  for (const auto& id : message.learners()) {
    group.learners.emplace_back(id);
  }
  if (!message.joining().empty()) {
    group.swap = {node_id(message.joining()), node_id(message.leaving())};
  }
  return group;
}

auto ToSchema(const log_entry& entry) -> schema::log_entry {
  auto message = schema::log_entry();
  message.set_term(entry.term.get());
  message.set_index(entry.index.get());
  message.set_kind(static_cast<std::uint32_t>(entry.kind));
  message.set_payload(entry.payload);
  if (entry.kind == entry_kind::membership) {
    *message.mutable_group() = ToSchema(entry.group);
  }
  return message;
}

auto ToDomain(const schema::log_entry& message) -> log_entry {
  auto entry = log_entry();
  entry.term = term_number(message.term());
  entry.index = log_index(message.index());
  entry.kind = static_cast<entry_kind>(message.kind());
  entry.payload = message.payload();
  entry.group = ToDomain(message.group());
  return entry;
}

auto ToSchema(const snapshot& snap) -> schema::snapshot {
  auto message = schema::snapshot();
  message.set_index(snap.index.get());
  message.set_term(snap.term.get());
  *message.mutable_group() = ToSchema(snap.group);
  message.set_state(snap.state);
  return message;
}

auto ToDomain(const schema::snapshot& message) -> snapshot {
  auto snap = snapshot();
  snap.index = log_index(message.index());
  snap.term = term_number(message.term());
  snap.group = ToDomain(message.group());
  snap.state = message.state();
  return snap;
}

auto ToSchema(const raft_message& value) -> schema::raft_message {
  auto message = schema::raft_message();
  message.set_kind(static_cast<std::uint32_t>(value.kind));
  message.set_from(value.from.get());
  message.set_to(value.to.get());
  message.set_term(value.term.get());
  message.set_index(value.index.get());
  message.set_log_term(value.log_term.get());
  message.set_commit(value.commit.get());
  message.set_round(value.round);
  message.set_granted(value.granted);
  message.set_supports_swaps(value.supports_swaps);
  AppendToSchema(value.entries, message.mutable_entries());
  if (value.snap) {
    *message.mutable_snap() = ToSchema(*value.snap);
  }
  return message;
}

auto ToDomain(const schema::raft_message& message) -> raft_message {
  auto value = raft_message();
  value.kind = static_cast<message_kind>(message.kind());
  value.from = node_id(message.from());
  value.to = node_id(message.to());
  value.term = term_number(message.term());
  value.index = log_index(message.index());
  value.log_term = term_number(message.log_term());
  value.commit = log_index(message.commit());
  value.round = message.round();
  value.granted = message.granted();
  value.supports_swaps = message.supports_swaps();
  for (const auto& entry : message.entries()) {
    value.entries.push_back(ToDomain(entry));
  }
  if (message.has_snap()) {
    value.snap = ToDomain(message.snap());
  }
  return value;
}

auto AddChangesSince(const control_data& data,
                     config_version from,
                     schema::entry_update& update) -> void {
  update.set_from_version(from.get());
  update.set_to_version(data.version.get());
  for (const auto& [name, entry] : data.backends) {
    if (entry.changed > from) {
      *update.add_backends() = EncodeBackendRow(entry);
    }
  }
  for (const auto& [name, entry] : data.records) {
    if (entry.changed <= from) {
      continue;
    }
    auto* row = update.add_records();
    row->set_changed(entry.changed.get());
    row->set_removed(!entry.has_effective);
    if (entry.has_effective) {
      *row->mutable_content() = ToSchema(entry.effective);
    } else {
      row->mutable_content()->set_name(name.get());
    }
  }
}

}  // namespace ebony
