#ifndef EBONY_CONTROL_RELAY_SHEDDER_H_
#define EBONY_CONTROL_RELAY_SHEDDER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/ids.h"

namespace ebony {

// A coordinator that answers gateways on behalf of the leader.
struct relay_address {
  host_port link;
  data_centre_name data_centre;
};

// Decides which gateways a relay sends to other relays. After a change of
// leader, the relays that the new one knows first get all gateways, and the
// time between two syncs of a gateway grows with those that its relay serves.
class relay_shedder {
  std::function<std::uint64_t(std::uint64_t)> random_;
  std::vector<relay_address> others_;

 public:
  // A relay keeps up to this many times its even share, since those of a data
  // centre may have more gateways than others.
  static constexpr std::size_t kMaxShares = 2;
  // A gateway above that leaves at one of this many syncs on average.
  static constexpr std::uint64_t kSyncsToLeave = 2;

  // `random` returns a number in [0, bound).
  explicit relay_shedder(std::function<std::uint64_t(std::uint64_t)> random);

  // Takes the relays that the leader knows; `own` is this one.
  auto SetRelays(std::vector<relay_address> relays, const host_port& own)
      -> void;
  // Returns true if the gateway that is answered should turn to another relay,
  // while this one serves `served` gateways of `all`.
  auto MustLeave(std::size_t served, std::size_t all) -> bool;
  auto get_others() const -> const std::vector<relay_address>& {
    return others_;
  }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_RELAY_SHEDDER_H_
