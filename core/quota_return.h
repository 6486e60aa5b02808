#ifndef EBONY_CORE_QUOTA_RETURN_H_
#define EBONY_CORE_QUOTA_RETURN_H_

#include "core/ids.h"

namespace ebony {

// Unused leases are handed back within this time after they expire, or not at
// all: what has accrued since has taken their place.
constexpr duration kQuotaReturnTime = std::chrono::milliseconds(600);

}  // namespace ebony

#endif  // EBONY_CORE_QUOTA_RETURN_H_
