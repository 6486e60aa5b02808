#ifndef EBONY_CONTROL_RECORD_RULES_H_
#define EBONY_CONTROL_RECORD_RULES_H_

#include <string>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Newest record schema that this build understands.
constexpr std::uint32_t kNewestSchemaVersion = 2;

// Returns every fault of a record by itself, each naming the field; empty when
// the record is good.
auto FindRecordFaults(const record_content& content)
    -> std::vector<std::string>;

// Returns the faults of `next` as a successor of `current`.
auto FindSuccessionFaults(const record_content& current,
                          const record_content& next)
    -> std::vector<std::string>;

}  // namespace ebony

#endif  // EBONY_CONTROL_RECORD_RULES_H_
