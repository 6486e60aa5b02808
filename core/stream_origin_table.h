#ifndef EBONY_CORE_STREAM_ORIGIN_TABLE_H_
#define EBONY_CORE_STREAM_ORIGIN_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/stream_origin.h"

namespace ebony {

// Remembers what began each stream for `kLifetime` to twice as long.
class stream_origin_table {
  struct generation {
    std::unordered_map<stream_key, std::uint32_t> origins;
    std::vector<stream_key> order;  // in which they were added
  };

  std::vector<stream_origin> origins_;  // the values of a generation index it
  std::map<stream_origin, std::uint32_t> indexes_;
  generation current_;
  generation previous_;
  mono_time rotated_;
  std::uint64_t dropped_ = 0;  // streams that were in earlier generations

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
  // Returns the streams that were added after `revision` and whose service is
  // one of `services`, and sets `revision` to that of the last one that was
  // looked at. Looks at no more than `max_streams`.
  auto ListSince(std::uint64_t& revision,
                 const std::set<service_name>& services,
                 std::size_t max_streams) const
      -> std::map<stream_origin, std::vector<stream_key>>;
  auto get_size() const -> std::size_t {
    return current_.order.size() + previous_.order.size();
  }
  // Number of streams that were ever added.
  auto get_revision() const -> std::uint64_t { return dropped_ + get_size(); }
};

}  // namespace ebony

#endif  // EBONY_CORE_STREAM_ORIGIN_TABLE_H_
