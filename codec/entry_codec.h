#ifndef EBONY_CODEC_ENTRY_CODEC_H_
#define EBONY_CODEC_ENTRY_CODEC_H_

#include "entry/claim_coordinator.h"
#include "entry/routing_table.h"
#include "schema/link.pb.h"

namespace ebony {

// Conversions between the link schema and the entry's routing and claims.

auto ToDomain(const schema::entry_update& message) -> routing_update;

auto ToSchema(const claim_request& request) -> schema::claim_ask;
auto ToSchema(const claim_completion& completion) -> schema::claim_finish;
auto ToSchema(const claim_reply& reply) -> schema::claim_answer;
auto ToDomain(const schema::claim_answer& message) -> claim_reply;
auto GetOwner(const schema::claim_ask& message) -> claim_owner;
auto GetOwner(const schema::claim_finish& message) -> claim_owner;
// Returns std::nullopt if the message reports that the request did not run.
auto GetOutcome(const schema::claim_finish& message)
    -> std::optional<claim_outcome>;

}  // namespace ebony

#endif  // EBONY_CODEC_ENTRY_CODEC_H_
