#ifndef EBONY_CORE_STREAM_ORIGIN_TABLE_H_
#define EBONY_CORE_STREAM_ORIGIN_TABLE_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/stream_origin.h"

namespace ebony {

// Remembers what began each stream for `kLifetime` to twice as long.
class stream_origin_table {
  using generation = std::unordered_map<stream_key, std::uint32_t>;

  std::vector<stream_origin> origins_;  // the values of a generation index it
  std::map<stream_origin, std::uint32_t> indexes_;
  generation current_;
  generation previous_;
  mono_time rotated_;

  auto Rotate(mono_time now) -> void;

 public:
  // Longer than the time limit of any stream.
  static constexpr duration kLifetime = std::chrono::seconds(60);

  // Remembers the origin of a stream. The first one stays.
  auto Add(stream_key key, const stream_origin& origin, mono_time now) -> void;
  // Returns nullptr for an unknown stream.
  auto Find(stream_key key) const -> const stream_origin*;
  // Returns all streams by origin.
  auto List() const -> std::map<stream_origin, std::vector<stream_key>>;
  auto get_size() const -> std::size_t {
    return current_.size() + previous_.size();
  }
};

}  // namespace ebony

#endif  // EBONY_CORE_STREAM_ORIGIN_TABLE_H_
