#ifndef EBONY_CORE_BACKEND_INDEX_H_
#define EBONY_CORE_BACKEND_INDEX_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Maps backend servers to short numbers. Messages between the leader and the
// gateways list all servers many times a second, and a number takes less space
// than a name. The leader assigns the numbers; gateways receive them with the
// registry records. They are valid for one leader only.
class backend_index {
  std::unordered_map<backend_name, std::uint32_t> numbers_;
  std::vector<backend_name> names_;  // by number; empty for an unused one
  std::uint32_t last_number_ = 0;

 public:
  // Higher numbers are ignored: names are stored in a table by number.
  static constexpr std::uint32_t kMaxNumber = 1U << 18U;

  // Returns the number of a server and assigns one if it has none; never 0.
  auto Assign(const backend_name& id) -> std::uint32_t;
  // Adds a number that the leader assigned. A number of 0 is ignored.
  auto Insert(std::uint32_t number, const backend_name& id) -> void;
  // Returns the number of a server, or 0 if it has none.
  auto GetNumber(const backend_name& id) const -> std::uint32_t;
  // Returns the server with this number, or nullptr if there is none.
  auto FindName(std::uint32_t number) const -> const backend_name*;
  // Removes all numbers, after a change of leader.
  auto Clear() -> void;
};

}  // namespace ebony

#endif  // EBONY_CORE_BACKEND_INDEX_H_
