#include "core/hashing.h"

#include <xxhash.h>

namespace ebony {

auto HashBytes(std::string_view bytes, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace ebony
