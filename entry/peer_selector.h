#ifndef EBONY_ENTRY_PEER_SELECTOR_H_
#define EBONY_ENTRY_PEER_SELECTOR_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/peer_gateway.h"

namespace ebony {

// Chooses the peer that a request is handed over to: one of this gateway's data
// centre if any of them serves, with the fewest requests in flight from here.
class peer_selector {
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;
  struct peer_state {
    int in_flight = 0;
    mono_time excluded_until;
  };

  data_centre_name data_centre_;
  random_source random_;
  std::vector<peer_gateway> peers_;
  std::map<vm_name, peer_state> states_;

 public:
  // Time for which a peer that could not serve is not chosen.
  static constexpr duration kExclusion = std::chrono::milliseconds(500);

  peer_selector(data_centre_name data_centre, random_source random);

  auto SetPeers(std::vector<peer_gateway> peers) -> void;
  // Returns no peer if there is none, or all are in `avoid` or excluded.
  auto Choose(const std::set<vm_name>& avoid, mono_time now)
      -> const peer_gateway*;
  auto OnStarted(const vm_name& peer) -> void;
  auto OnEnded(const vm_name& peer) -> void;
  // The peer could not be connected to, or declined a request.
  auto OnFailed(const vm_name& peer, mono_time now) -> void;

  auto get_peers() const -> const std::vector<peer_gateway>& { return peers_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_PEER_SELECTOR_H_
