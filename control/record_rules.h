#ifndef EBONY_CONTROL_RECORD_RULES_H_
#define EBONY_CONTROL_RECORD_RULES_H_

#include <string>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Newest record schema that this build understands.
constexpr std::uint32_t kNewestSchemaVersion = 2;

// Validates a record on its own. Returns one message per fault, each prefixed
// with the field, or an empty list when the record is valid.
auto FindRecordFaults(const record_content& content)
    -> std::vector<std::string>;

// Validates `next` as a successor of `current`: the memory sizes of a model
// version are immutable. Returns one message per fault.
auto FindSuccessionFaults(const record_content& current,
                          const record_content& next)
    -> std::vector<std::string>;

}  // namespace ebony

#endif  // EBONY_CONTROL_RECORD_RULES_H_
