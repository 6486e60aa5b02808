#ifndef EBONY_CONTROL_CONTROL_STATE_H_
#define EBONY_CONTROL_CONTROL_STATE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/control_commands.h"
#include "control/memory_ledger.h"
#include "core/domain.h"
#include "core/error_kind.h"

namespace ebony {

// The outcome of an operator's change, kept to answer retransmissions.
struct change_outcome {
  change_id id;
  bool applied = false;
  error_kind error = error_kind::internal;  // when not applied
  std::string message;
  revision_number revision;  // current revision after the change
  config_version version;    // zero when not applied
};

// A record and the content of it that is in effect. A deleted record is kept as
// a tombstone.
struct record_state {
  record_content accepted;
  revision_number revision;
  // The content in effect: `accepted`, or its predecessor while some daemon
  // does not understand the schema of `accepted`.
  record_content effective;
  bool has_effective = false;
  bool deleted = false;
  config_version changed;
};

// A backend server and the memory ledgers of its accelerators.
struct backend_state {
  backend_announcement info;  // without residents and load
  std::vector<accelerator_ledger> accelerators;
  bool suspected = false;
  bool drained_by_operator = false;
  bool forgotten = false;  // removed by a forget_backend_command
  config_version changed;

  auto is_leaving() const -> bool {
    return info.leaving || drained_by_operator;
  }
  auto is_usable() const -> bool {
    return !suspected && !forgotten && !is_leaving();
  }
};

// The state that the control group replicates.
struct control_data {
  std::map<record_name, record_state> records;
  std::map<backend_name, backend_state> backends;
  std::deque<change_outcome> outcomes;
  std::uint64_t next_order = 1;
  config_version version;
  std::map<vm_name, std::uint32_t> daemon_schemas;
};

// The replicated state machine. Each command is validated again when it is
// applied, so that one proposed against an outdated state cannot break an
// invariant.
class control_state {
  control_data data_;
  std::size_t daemon_count_;

  auto FindOutcome(const change_id& id) const -> const change_outcome*;
  auto RecordOutcome(change_outcome outcome) -> change_outcome;
  auto Reject(const change_id& id,
              error_kind kind,
              const std::string& message,
              revision_number current) -> change_outcome;
  auto CheckPut(const put_record_command& command,
                const record_state* current) const
      -> std::optional<change_outcome>;
  auto FindModelOwner(const model_name& model, const record_name& except) const
      -> const record_state*;
  auto PromoteRecords(config_version version) -> void;
  auto GetCommonSchema() const -> std::uint32_t;

  auto Apply(const put_record_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const delete_record_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const put_backend_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const suspect_backend_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const drain_backend_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const issue_order_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const resolve_order_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const forget_backend_command& command, config_version version)
      -> std::optional<change_outcome>;
  auto Apply(const daemon_schema_command& command, config_version version)
      -> std::optional<change_outcome>;

 public:
  // `daemon_count` is the number of daemons that must understand a new record
  // schema before records that use it take effect.
  explicit control_state(std::size_t daemon_count);

  // Applies the command that was committed at `version`. Returns the outcome of
  // an operator's change, and std::nullopt for internal commands.
  auto ApplyCommand(const control_command& command, config_version version)
      -> std::optional<change_outcome>;
  // Advances the applied version to `version` without a command.
  auto AdvanceTo(config_version version) -> void;
  // Replaces the state by that of a snapshot.
  auto Restore(control_data data) -> void;

  auto get_data() const -> const control_data& { return data_; }
  auto get_version() const -> config_version { return data_.version; }
  // Returns the retained outcome of the change with this id, or std::nullopt.
  auto GetOutcome(const change_id& id) const -> std::optional<change_outcome>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_CONTROL_STATE_H_
