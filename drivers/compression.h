#ifndef EBONY_DRIVERS_COMPRESSION_H_
#define EBONY_DRIVERS_COMPRESSION_H_

#include <cstdint>
#include <string>

namespace ebony {

// Data compressed with zlib.
struct deflated_bytes {
  std::string bytes;
  std::uint64_t inflated_size = 0;  // bytes
};

// Compresses at zlib's fastest level. Throws ebony_error when zlib fails.
auto Deflate(const std::string& bytes) -> deflated_bytes;
// Decompresses. Throws ebony_error of kind storage_failed when the data is
// corrupt, does not have its stated size, or states more than 64 MiB.
auto Inflate(const deflated_bytes& deflated) -> std::string;

}  // namespace ebony

#endif  // EBONY_DRIVERS_COMPRESSION_H_
