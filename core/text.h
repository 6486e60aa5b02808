#ifndef EBONY_CORE_TEXT_H_
#define EBONY_CORE_TEXT_H_

#include <cstddef>
#include <string_view>

namespace ebony {

// Longest name of a server, service, model or the like.
constexpr std::size_t kMaxNameBytes = 256;

// Returns true if the bytes are well-formed UTF-8 (RFC 3629).
auto IsUtf8(std::string_view bytes) -> bool;

// Returns true for a text that may name something: it is not empty, not longer
// than `kMaxNameBytes`, well-formed UTF-8 and without control characters.
auto IsName(std::string_view text) -> bool;

}  // namespace ebony

#endif  // EBONY_CORE_TEXT_H_
