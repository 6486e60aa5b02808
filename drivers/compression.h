#ifndef EBONY_DRIVERS_COMPRESSION_H_
#define EBONY_DRIVERS_COMPRESSION_H_

#include <cstdint>
#include <string>

namespace ebony {

// Bytes deflated with zlib, and how many they are once inflated.
struct deflated_bytes {
  std::string bytes;
  std::uint64_t inflated_size = 0;
};

auto Deflate(const std::string& bytes) -> deflated_bytes;
// Throws ebony_error of kind storage_failed when the bytes are damaged or are
// not as many as they should be.
auto Inflate(const deflated_bytes& deflated) -> std::string;

}  // namespace ebony

#endif  // EBONY_DRIVERS_COMPRESSION_H_
