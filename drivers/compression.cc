#include "drivers/compression.h"

#include <zlib.h>

#include "core/error_kind.h"

namespace ebony {

namespace {

constexpr std::uint64_t kMaxInflatedBytes = 64 * 1024 * 1024;

auto AsBytes(const std::string& text) -> const Bytef* {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

auto Deflate(const std::string& bytes) -> deflated_bytes {
  auto size = ::compressBound(bytes.size());
  auto deflated = deflated_bytes{std::string(size, '\0'), bytes.size()};
  if (::compress2(reinterpret_cast<Bytef*>(deflated.bytes.data()), &size,
                  AsBytes(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK) {
    throw ebony_error(error_kind::internal, "zlib compression failed");
  }
  deflated.bytes.resize(size);
  return deflated;
}

auto Inflate(const deflated_bytes& deflated) -> std::string {
  auto bytes = std::string();
  auto size = static_cast<uLongf>(deflated.inflated_size);
  if (deflated.inflated_size > kMaxInflatedBytes) {
    throw ebony_error(error_kind::storage_failed,
                      "compressed data is too large");
  }
  bytes.resize(size);
  const auto result =
      ::uncompress(reinterpret_cast<Bytef*>(bytes.data()), &size,
                   AsBytes(deflated.bytes), deflated.bytes.size());
  if (result != Z_OK || size != deflated.inflated_size) {
    throw ebony_error(error_kind::storage_failed, "compressed data is corrupt");
  }
  return bytes;
}

}  // namespace ebony
