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
// gateways are used. Where gateways differ in what they can carry, each is
// listed as often as its capacity demands, since callers choose at random among
// those listed.
class caller_directory {
 public:
  // Returns a random number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

 private:
  struct listed_gateway {
    host_port address;
    double capacity = 1;  // relative to the largest
  };

  random_source random_;
  std::map<data_centre_name, std::vector<listed_gateway>> addresses_;
  bool are_uneven_ = false;
  mono_time updated_;
  bool is_updated_ = false;

  // Sets the capacities of gateways that differ.
  auto SetCapacities(const std::vector<gateway_info>& gateways) -> void;
  // Moves a random sample to the front of the list.
  auto Sample(std::vector<listed_gateway>& list, std::size_t count) -> void;
  // Leaves gateways out at random so that each remains in proportion to its
  // capacity, but not fewer than `least`, which are the largest.
  auto Thin(std::vector<listed_gateway>& list, std::size_t least) -> void;

 public:
  // Gateways in an answer.
  static constexpr std::size_t kMaxAddresses = 64;
  // Of these, those in the caller's data centre, unless there are too few
  // elsewhere. Callers that crowd in one data centre then still reach the
  // gateways of the others.
  static constexpr std::size_t kMaxNearAddresses = 32;
  // Capacities that differ by less are equal.
  static constexpr double kMinDifference = 1.25;
  // Answers hold no fewer gateways for the sake of their capacities, so that
  // callers have others to turn to.
  static constexpr std::size_t kMinAddresses = 8;
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
