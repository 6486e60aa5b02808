#ifndef EBONY_CONTROL_CONTROL_COMMANDS_H_
#define EBONY_CONTROL_CONTROL_COMMANDS_H_

#include <string>
#include <variant>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Identifies one change by an operator, so that a retransmitted change returns
// the outcome of the first attempt.
using change_id = strong_type<struct change_id_tag, std::string>;

// Creates or replaces a record. `content.revision` is the revision that the
// change was made against.
struct put_record_command {
  change_id id;
  record_content content;
};

// Deletes a record that is at `revision`.
struct delete_record_command {
  change_id id;
  record_name name;
  revision_number revision;
};

// Registers a backend server that joined, restarted, became reachable again or
// changed its announcement.
struct put_backend_command {
  backend_announcement backend;
};

// Marks run `run` of a backend server as suspected.
struct suspect_backend_command {
  backend_name backend;
  incarnation run;
};

// Starts an operator's drain of a backend server, or ends it when `leaving` is
// false.
struct drain_backend_command {
  change_id id;
  backend_name backend;
  bool leaving = true;
};

// Opens an order that changes the residents of one accelerator to `target`.
struct issue_order_command {
  backend_name backend;
  accelerator_index accelerator;
  std::vector<resident> target;
  std::string reason;
};

// Closes order `id` with the state that its engine announced. With `id` 0, no
// order is open and the announced state replaces the ledger's, which differs.
struct resolve_order_command {
  order_id id;
  backend_name backend;
  accelerator_index accelerator;
  std::vector<resident> observed;
  std::uint64_t sequence = 0;
};

// Removes a suspected backend server that is not expected to return.
struct forget_backend_command {
  backend_name backend;
};

// Records the newest record schema that the daemon on `vm` understands.
struct daemon_schema_command {
  vm_name vm;
  std::uint32_t schema_version = 1;
};

using control_command = std::variant<put_record_command,
                                     delete_record_command,
                                     put_backend_command,
                                     suspect_backend_command,
                                     drain_backend_command,
                                     issue_order_command,
                                     resolve_order_command,
                                     forget_backend_command,
                                     daemon_schema_command>;

}  // namespace ebony

#endif  // EBONY_CONTROL_CONTROL_COMMANDS_H_
