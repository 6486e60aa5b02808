#ifndef EBONY_CODEC_LINK_CODEC_H_
#define EBONY_CODEC_LINK_CODEC_H_

#include <string>
#include <vector>

#include "consensus/raft_types.h"
#include "control/control_state.h"
#include "schema/link.pb.h"

namespace ebony {

// Conversions between the Raft types and the link schema.

auto ToSchema(const membership& group) -> schema::membership;
auto ToDomain(const schema::membership& message) -> membership;
auto ToSchema(const log_entry& entry) -> schema::log_entry;
auto ToDomain(const schema::log_entry& message) -> log_entry;
auto ToSchema(const snapshot& snap) -> schema::snapshot;
auto ToDomain(const schema::snapshot& message) -> snapshot;
auto ToSchema(const raft_message& message) -> schema::raft_message;
auto ToDomain(const schema::raft_message& message) -> raft_message;

// Adds every record and backend server that changed after version `from` to
// `update`.
auto AddChangesSince(const control_data& data,
                     config_version from,
                     schema::entry_update& update) -> void;

}  // namespace ebony

#endif  // EBONY_CODEC_LINK_CODEC_H_
