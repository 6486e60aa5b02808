#ifndef EBONY_CONTROL_CONTROL_COMMANDS_H_
#define EBONY_CONTROL_CONTROL_COMMANDS_H_

#include <string>
#include <variant>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Names one operator's change, so that a resend gets the first answer.
using change_id = strong_type<struct change_id_tag, std::string>;

struct put_record_command {
  change_id id;
  record_content content;
};

struct delete_record_command {
  change_id id;
  record_name name;
  revision_number revision;
};

// A backend server joined, restarted, came back or changed.
struct put_backend_command {
  backend_announcement backend;
};

struct suspect_backend_command {
  backend_name backend;
  incarnation run;
};

struct drain_backend_command {
  change_id id;
  backend_name backend;
  bool leaving = true;
};

struct issue_order_command {
  backend_name backend;
  accelerator_index accelerator;
  std::vector<resident> target;
  std::string reason;
};

// The outcome of an order, or a state that differs from the ledger when `id`
// is 0.
struct resolve_order_command {
  order_id id;
  backend_name backend;
  accelerator_index accelerator;
  std::vector<resident> observed;
  std::uint64_t sequence = 0;
};

// Drops a suspected backend server that will not come back.
struct forget_backend_command {
  backend_name backend;
};

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
