#ifndef EBONY_CONTROL_GATEWAY_REGISTRY_H_
#define EBONY_CONTROL_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

// State of a gateway as of its last sync with the leader.
struct gateway_info {
  vm_name vm;
  host_port caller_address;
  data_centre_name data_centre;
  incarnation run;
  bool is_ready = false;
  mono_time last_seen;
  host_port peer_address;  // for requests that other gateways hand over
  bool reaches_no_server = false;
};

// Tracks the gateways that callers may be directed to.
class gateway_registry {
  std::map<vm_name, gateway_info> gateways_;

 public:
  // A gateway whose last sync is older than this is not listed.
  static constexpr duration kTimeout = std::chrono::milliseconds(1500);
  // A gateway that was ready and has been silent for longer is taken as gone.
  static constexpr duration kGoneTimeout = std::chrono::seconds(30);

  // Stores the state of a gateway, unless a newer one is stored already.
  // Returns true when an attribute that is visible to callers changed.
  auto Update(const gateway_info& info) -> bool;
  // Returns the gateways that are ready and have not timed out.
  auto ListReady(mono_time now) const -> std::vector<gateway_info>;
  // Returns those of them that callers should use: without those that reach no
  // server, unless there are no others.
  auto ListForCallers(mono_time now) const -> std::vector<gateway_info>;
  auto CountReady(mono_time now) const -> std::size_t;
  // Counts the gateways that have not timed out, ready or not.
  auto CountLive(mono_time now) const -> std::size_t;
  // Returns the share of the gateways lately seen ready that have not timed
  // out. The others may be cut off and still serve.
  auto GetReachableShare(mono_time now) const -> double;
  auto get_all() const -> const std::map<vm_name, gateway_info>& {
    return gateways_;
  }
  auto Clear() -> void { gateways_.clear(); }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_GATEWAY_REGISTRY_H_
