#ifndef EBONY_CORE_BACKEND_NUMBERS_H_
#define EBONY_CORE_BACKEND_NUMBERS_H_

#include <cstdint>
#include <map>

#include "core/ids.h"

namespace ebony {

// Short numbers that stand for backend servers in the messages between one
// leader and the gateways, which name all of them many times a second. The
// leader gives them out; gateways learn them with the roster.
class backend_numbers {
  std::map<backend_name, std::uint32_t> numbers_;
  std::map<std::uint32_t, backend_name> names_;
  std::uint32_t last_ = 0;

 public:
  // Returns the number of a server, a new one if it has none yet; never 0.
  auto Assign(const backend_name& id) -> std::uint32_t;
  // Learns a number that the leader gave out; 0 is no number.
  auto Learn(std::uint32_t number, const backend_name& id) -> void;
  // Returns 0 for a server without a number.
  auto GetNumber(const backend_name& id) const -> std::uint32_t;
  // Returns nullptr for a number that stands for no server.
  auto FindName(std::uint32_t number) const -> const backend_name*;
  // Another leader gives out numbers from now on.
  auto Clear() -> void;
};

}  // namespace ebony

#endif  // EBONY_CORE_BACKEND_NUMBERS_H_
