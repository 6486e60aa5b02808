#ifndef EBONY_CORE_STREAM_ORIGIN_H_
#define EBONY_CORE_STREAM_ORIGIN_H_

#include <compare>
#include <cstdint>

#include "core/hashing.h"
#include "core/ids.h"
#include "core/request_metadata.h"

namespace ebony {

// Identifies a stream: a hash of the id of the request that brought its first
// event.
using stream_key = strong_type<struct stream_key_tag, std::uint64_t>;

inline auto GetStreamKey(const caller_request_id& id) -> stream_key {
  return stream_key(HashBytes(id.get()));
}

// What began a stream. Only the same may go on with it.
struct stream_origin {
  service_name service;
  software_version software;

  friend auto operator<=>(const stream_origin&, const stream_origin&)
      -> std::strong_ordering = default;
};

}  // namespace ebony

#endif  // EBONY_CORE_STREAM_ORIGIN_H_
