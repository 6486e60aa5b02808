#ifndef EBONY_CONSENSUS_RAFT_TYPES_H_
#define EBONY_CONSENSUS_RAFT_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace ebony {

enum class entry_kind { command, membership, barrier };

// A replacement of one voter by another that has begun and is not complete.
// Until it is, a decision needs a majority of the voters without `joining` and
// a majority of those without `leaving` (joint consensus).
// Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.3.
struct voter_swap {
  node_id joining;
  node_id leaving;

  auto operator==(const voter_swap&) const -> bool = default;
};

// The voters and learners of the control group. During a swap both of its nodes
// are among the voters.
struct membership {
  std::vector<node_id> voters;
  std::vector<node_id> learners;
  std::optional<voter_swap> swap = {};

  auto operator==(const membership&) const -> bool = default;
};

// One entry of the replicated log. `group` is set in entries of kind
// `membership`; a barrier has no content.
struct log_entry {
  term_number term;
  log_index index;
  entry_kind kind = entry_kind::command;
  std::string payload;
  membership group;
};

// State besides the log that must be durable before a message depends on it.
struct hard_state {
  term_number term;
  node_id voted_for;

  auto operator==(const hard_state&) const -> bool = default;
};

// State machine at `index`. It replaces the log up to and including `index`.
struct snapshot {
  log_index index;
  term_number term;
  membership group;
  std::string state;
};

enum class message_kind {
  pre_vote,
  pre_vote_reply,
  vote,
  vote_reply,
  append,
  append_reply,
  install_snapshot,
};

// A message between two members of the group. One struct serves all kinds.
struct raft_message {
  message_kind kind = message_kind::append;
  node_id from;
  node_id to;
  term_number term;
  // By kind: entry before `entries`, last entry of the log, or last match.
  log_index index;
  term_number log_term;  // term of the entry at `index`
  log_index commit;
  std::uint64_t round = 0;  // heartbeat round, echoed in the reply
  bool granted = false;
  bool supports_swaps = false;  // the sender's build knows `voter_swap`
  std::vector<log_entry> entries;
  std::optional<snapshot> snap;
};

// Pending work for the caller, to be done in this order: persist `hard`,
// `install` and `append`, send `messages`, apply `committed`.
struct raft_ready {
  std::optional<hard_state> hard;
  std::optional<snapshot> install;
  std::vector<log_entry> append;  // overwrites the log from its first index on
  std::vector<raft_message> messages;
  std::vector<log_entry> committed;

  auto NeedsPersist() const -> bool {
    return hard.has_value() || install.has_value() || !append.empty();
  }
};

// State that a member loads from its disk at startup.
struct raft_persistent_state {
  hard_state hard;
  snapshot snap;
  std::vector<log_entry> entries;
};

}  // namespace ebony

#endif  // EBONY_CONSENSUS_RAFT_TYPES_H_
