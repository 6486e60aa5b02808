#ifndef EBONY_CONTROL_PEER_CHOICE_H_
#define EBONY_CONTROL_PEER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "control/gateway_registry.h"
#include "core/peer_gateway.h"

namespace ebony {

// Peers that a gateway is told of. Half of them are of its own data centre if
// there are as many, since bytes between data centres are dear; the others
// serve while its whole data centre is cut off from the servers.
constexpr std::size_t kMaxPeers = 8;

// Returns the peers of a gateway among those that reach servers. Each gateway
// gets others, so that the requests of many spread over all; a change of the
// list moves few of them.
auto ChoosePeers(const gateway_registry& gateways,
                 const vm_name& vm,
                 const data_centre_name& data_centre,
                 mono_time now) -> std::vector<peer_gateway>;

// Returns a hash of the list; 0 only for an empty one.
auto GetPeersDigest(const std::vector<peer_gateway>& peers) -> std::uint32_t;

// The peers of the gateways that a coordinator answers. Lists are made anew
// only now and then, because each takes a look at all gateways.
class peer_lists {
 public:
  struct list {
    std::vector<peer_gateway> peers;
    std::uint32_t digest = 0;
    mono_time made_at;
  };

 private:
  std::map<vm_name, list> lists_;

 public:
  static constexpr duration kMaxAge = std::chrono::milliseconds(1000);
  // For a gateway that hands requests over, or that knows no peer.
  static constexpr duration kUrgentMaxAge = std::chrono::milliseconds(100);

  auto Get(const gateway_registry& gateways,
           const vm_name& vm,
           const data_centre_name& data_centre,
           bool is_urgent,
           mono_time now) -> const list&;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_PEER_CHOICE_H_
