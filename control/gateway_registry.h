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
  std::uint32_t millicores = 0;  // processor share; 0: unknown
  std::uint32_t memory_mb = 0;   // 0: unknown
};

// Tracks the gateways that callers may be directed to.
class gateway_registry {
  // Numbers of gateways, and when they were counted.
  struct counts {
    std::size_t ready = 0;
    double reachable_share = 1;
    mono_time counted_at;
    bool is_valid = false;
  };

  std::map<vm_name, gateway_info> gateways_;
  counts counts_;

  auto Count(mono_time now) -> const counts&;

 public:
  // A gateway whose last sync is older than this is not listed.
  static constexpr duration kTimeout = std::chrono::milliseconds(1500);
  // Numbers of gateways are counted anew after this time, and when one becomes
  // ready or stops being it.
  static constexpr duration kMaxCountAge = std::chrono::milliseconds(50);
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
  auto CountReady(mono_time now) -> std::size_t;
  // Counts the gateways that have not timed out, ready or not.
  auto CountLive(mono_time now) const -> std::size_t;
  // Returns the share of the gateways lately seen ready that have not timed
  // out. The others may be cut off and still serve.
  auto GetReachableShare(mono_time now) -> double;
  auto get_all() const -> const std::map<vm_name, gateway_info>& {
    return gateways_;
  }
  auto Clear() -> void {
    gateways_.clear();
    counts_ = counts();
  }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_GATEWAY_REGISTRY_H_
