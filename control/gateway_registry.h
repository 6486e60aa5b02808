#ifndef EBONY_CONTROL_GATEWAY_REGISTRY_H_
#define EBONY_CONTROL_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/ids.h"

namespace ebony {

// A gateway as the leader knows it from its syncs.
struct gateway_info {
  vm_name vm;
  host_port caller_address;
  data_centre_name data_centre;
  incarnation run;
  bool is_ready = false;
  mono_time last_seen;
};

// Which gateways callers may be sent to.
class gateway_registry {
  std::map<vm_name, gateway_info> gateways_;

 public:
  // A gateway that was not heard for this long is left out.
  static constexpr duration kSilenceLimit = std::chrono::milliseconds(1500);

  // Returns true when something that callers see has changed. A record that is
  // older than the known one changes nothing.
  auto Update(const gateway_info& record) -> bool;
  // Returns the ready gateways that were heard lately.
  auto ListReady(mono_time now) const -> std::vector<gateway_info>;
  auto CountReady(mono_time now) const -> std::size_t;
  // Gateways heard lately, ready or not.
  auto CountLive(mono_time now) const -> std::size_t;
  auto get_all() const -> const std::map<vm_name, gateway_info>& {
    return gateways_;
  }
  auto Clear() -> void { gateways_.clear(); }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_GATEWAY_REGISTRY_H_
