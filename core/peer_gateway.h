#ifndef EBONY_CORE_PEER_GATEWAY_H_
#define EBONY_CORE_PEER_GATEWAY_H_

#include <optional>
#include <string>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/organisation.h"
#include "core/site_config.h"

namespace ebony {

// Another gateway, to which requests can be handed over.
struct peer_gateway {
  vm_name vm;
  host_port address;  // on which it accepts requests of other gateways
  data_centre_name data_centre;

  auto operator==(const peer_gateway&) const -> bool = default;
};

// What a gateway tells a peer of a request that it hands over. The peer makes
// one attempt at it and never hands it on.
struct handover_terms {
  config_number config;  // the peer needs this one or a newer one
  service_name service;
  // Set for a stream that has begun: the version that may go on with it.
  std::optional<software_version> software;
  std::vector<backend_name> tried;  // servers to avoid
  // On whose behalf the request is sent; empty: none. Its key is not passed on.
  organisation_name organisation;
};

// What the peer says of its answer.
struct handover_result {
  // Set for an answer of the peer itself, not of a server.
  std::optional<error_kind> error;
  // The peer cannot reach a server either, or does not know the request's
  // route: another peer may serve the request, which has not run.
  bool is_declined = false;
  duration retry_after{0};  // of an error
  // Set for the answer of a server.
  backend_name backend;
  std::uint64_t start_time_ms = 0;
  software_version software;
};

}  // namespace ebony

#endif  // EBONY_CORE_PEER_GATEWAY_H_
