#ifndef EBONY_ENTRY_ROUTING_TABLE_H_
#define EBONY_ENTRY_ROUTING_TABLE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "core/domain.h"

namespace ebony {

// A model version resident at a backend server.
struct replica_route {
  replica_key key;
  std::vector<adapter_name> adapters;
};

// Routing state of one backend server.
struct backend_route {
  backend_name name;
  host_port address;
  data_centre_name data_centre;
  incarnation run;
  software_version software;
  std::uint32_t slots = 1;  // concurrent requests
  bool leaving = false;
  std::vector<replica_route> replicas;
  std::vector<service_name> services;
  bool removed = false;
};

// The models that one record declares.
struct record_route {
  record_name name;
  std::vector<model_spec> models;
  bool removed = false;
};

// The changes between two versions, or a part of them.
struct routing_update {
  config_version from;
  config_version to;
  std::vector<backend_route> backends;
  std::vector<record_route> records;
};

// A declared model and the backend servers that serve it.
struct model_route {
  model_spec spec;
  // Servers with the declared version, or, when there are none, servers with
  // any other version.
  std::vector<const backend_route*> candidates;
};

// Routing configuration that an entry currently uses.
class routing_table {
  config_version version_;
  std::map<backend_name, backend_route> backends_;
  std::map<record_name, std::vector<model_spec>> records_;
  std::unordered_map<model_name, model_route> models_;
  std::unordered_map<service_name, std::vector<const backend_route*>> services_;

  auto RebuildIndex() -> void;

 public:
  // Applies an update. Returns false, without any change, when the update
  // starts after the current version or ends before it.
  auto Apply(const routing_update& update) -> bool;

  auto get_version() const -> config_version { return version_; }
  // Returns null when the model is not declared.
  auto FindModel(const model_name& name) const -> const model_route*;
  // Returns null when no backend server offers the service.
  auto FindService(const service_name& name) const
      -> const std::vector<const backend_route*>*;
  // Returns null for an unknown backend server.
  auto FindBackend(const backend_name& name) const -> const backend_route*;
  auto ListModels() const -> std::vector<const model_spec*>;
  auto get_backends() const -> const std::map<backend_name, backend_route>& {
    return backends_;
  }
};

// Returns whether `backend` has a replica of the model with the adapter loaded.
// Returns true for an empty adapter name.
auto HoldsAdapter(const backend_route& backend,
                  const model_name& model,
                  const adapter_name& adapter) -> bool;

}  // namespace ebony

#endif  // EBONY_ENTRY_ROUTING_TABLE_H_
