#include "core/hashing.h"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace ebony {

auto HashBytes(std::string_view bytes, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto FormatHexadecimal(std::uint64_t number) -> std::string {
  constexpr auto kBase = 16;
  constexpr auto kMaxDigits = 16;
  auto digits = std::array<char, kMaxDigits>();
  const auto end =
      std::to_chars(digits.data(), digits.data() + kMaxDigits, number, kBase);
  return {digits.data(), end.ptr};
}

}  // namespace ebony
