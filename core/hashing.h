#ifndef EBONY_CORE_HASHING_H_
#define EBONY_CORE_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace ebony {

// Returns a 64-bit hash that is the same in every process and build.
auto HashBytes(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

// Returns a number in hexadecimal digits, without leading zeros.
auto FormatHexadecimal(std::uint64_t number) -> std::string;

}  // namespace ebony

#endif  // EBONY_CORE_HASHING_H_
