#ifndef EBONY_CORE_REQUEST_PRIORITY_H_
#define EBONY_CORE_REQUEST_PRIORITY_H_

#include <optional>

namespace ebony {

// Returns the rank of a request, 0 being the most urgent. The priority of its
// organisation goes before that of its route; without an organisation, the
// route's counts alone.
auto GetRequestRank(std::optional<int> organisation_priority,
                    int route_priority) -> int;

// Returns the priority, 0 to 9, that an engine gets for a request. Engines know
// ten of them, so those of organisations beyond the third and of routes beyond
// the third are not told apart if the request has both.
auto GetEnginePriority(std::optional<int> organisation_priority,
                       int route_priority) -> int;

}  // namespace ebony

#endif  // EBONY_CORE_REQUEST_PRIORITY_H_
