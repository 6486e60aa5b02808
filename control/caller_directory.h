#ifndef EBONY_CONTROL_CALLER_DIRECTORY_H_
#define EBONY_CONTROL_CALLER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control/gateway_registry.h"
#include "core/ids.h"

namespace ebony {

// Chooses the gateways that the answer to a caller's look-up lists. Where there
// are more than an answer holds, each gets a sample of its own, so that all
// gateways are used.
class caller_directory {
 public:
  // Returns a random number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

 private:
  random_source random_;
  std::map<data_centre_name, std::vector<host_port>> addresses_;
  mono_time updated_;
  bool is_updated_ = false;

  // Moves a random sample to the front of the list.
  auto Sample(std::vector<host_port>& list, std::size_t count) -> void;

 public:
  // Gateways in an answer.
  static constexpr std::size_t kMaxAddresses = 64;
  // Of these, those in the caller's data centre, unless there are too few
  // elsewhere. Callers that crowd in one data centre then still reach the
  // gateways of the others.
  static constexpr std::size_t kMaxNearAddresses = 32;
  // The list of gateways is made anew after this time.
  static constexpr duration kMaxAge = std::chrono::milliseconds(100);

  explicit caller_directory(random_source random);

  // Takes the gateways that callers should use, at most once in `kMaxAge`.
  auto Update(const gateway_registry& gateways, mono_time now) -> void;
  // Returns the gateways for a caller in a data centre, none if there are none.
  auto Choose(const data_centre_name& data_centre) -> std::vector<host_port>;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_CALLER_DIRECTORY_H_
