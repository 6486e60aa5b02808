#include "codec/entry_codec.h"

#include <algorithm>

#include "codec/record_codec.h"

namespace ebony {

namespace {

auto ToDomain(const schema::backend_row& row) -> backend_route {
  auto route = backend_route();
  route.name = backend_name(row.backend());
  route.address = host_port(row.address());
  route.data_centre = data_centre_name(row.data_centre());
  route.run = incarnation(row.incarnation());
  route.slots = std::max<std::uint32_t>(1, row.slots());
  route.software = software_version(row.software());
  route.leaving = row.leaving();
  route.removed = row.removed();
  for (const auto& item : row.replicas()) {
    auto replica = replica_route();
    replica.key = {model_name(item.model()), version_name(item.version())};
    for (const auto& adapter : item.adapters()) {
      replica.adapters.emplace_back(adapter);
    }
    route.replicas.push_back(std::move(replica));
  }
  for (const auto& service : row.services()) {
    route.services.emplace_back(service);
  }
  return route;
}

auto ToSchema(const claim_outcome& outcome) -> schema::claim_outcome {
  auto message = schema::claim_outcome();
  message.set_status(static_cast<std::uint32_t>(outcome.status));
  message.set_content_type(outcome.content_type);
  message.set_body(outcome.body);
  return message;
}

auto ToDomain(const schema::claim_outcome& message) -> claim_outcome {
  return {static_cast<int>(message.status()), message.content_type(),
          message.body()};
}

}  // namespace

auto ToDomain(const schema::entry_update& message) -> routing_update {
  auto update = routing_update();
  update.from = config_version(message.from_version());
  update.to = config_version(message.to_version());
  for (const auto& row : message.backends()) {
    update.backends.push_back(ToDomain(row));
  }
  for (const auto& row : message.records()) {
    auto record = record_route();
    record.removed = row.removed();
    const auto content = ToDomain(row.content());
    record.name = content.name;
    record.models = content.models;
    update.records.push_back(std::move(record));
  }
  return update;
}

auto ToSchema(const claim_request& request) -> schema::claim_ask {
  auto message = schema::claim_ask();
  message.set_key(request.key.get());
  message.set_owner(request.owner.vm.get());
  message.set_owner_incarnation(request.owner.run.get());
  message.set_attempt(request.owner.attempt);
  message.set_fingerprint(request.fingerprint);
  return message;
}

auto ToSchema(const claim_completion& completion) -> schema::claim_finish {
  auto message = schema::claim_finish();
  message.set_key(completion.key.get());
  message.set_owner(completion.owner.vm.get());
  message.set_owner_incarnation(completion.owner.run.get());
  message.set_attempt(completion.owner.attempt);
  message.set_never_ran(!completion.outcome.has_value());
  if (completion.outcome) {
    *message.mutable_outcome() = ToSchema(*completion.outcome);
  }
  return message;
}

auto ToSchema(const claim_reply& reply) -> schema::claim_answer {
  auto message = schema::claim_answer();
  message.set_verdict(static_cast<schema::claim_verdict>(reply.verdict));
  if (reply.verdict == claim_verdict::done) {
    *message.mutable_outcome() = ToSchema(reply.outcome);
  }
  return message;
}

auto ToDomain(const schema::claim_answer& message) -> claim_reply {
  return {static_cast<claim_verdict>(message.verdict()),
          ToDomain(message.outcome())};
}

auto GetOwner(const schema::claim_ask& message) -> claim_owner {
  return {vm_name(message.owner()), incarnation(message.owner_incarnation()),
          message.attempt()};
}

auto GetOwner(const schema::claim_finish& message) -> claim_owner {
  return {vm_name(message.owner()), incarnation(message.owner_incarnation()),
          message.attempt()};
}

auto GetOutcome(const schema::claim_finish& message)
    -> std::optional<claim_outcome> {
  if (message.never_ran()) {
    return std::nullopt;
  }
  return ToDomain(message.outcome());
}

}  // namespace ebony
