#ifndef EBONY_ENTRY_ROUTING_TABLE_H_
#define EBONY_ENTRY_ROUTING_TABLE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "core/domain.h"

namespace ebony {

struct replica_route {
  replica_key key;
  std::vector<adapter_name> adapters;
};

// What an entry knows of one backend server.
struct backend_route {
  backend_name name;
  host_port address;
  data_centre_name data_centre;
  incarnation run;
  std::uint32_t slots = 1;  // requests that run at once
  bool leaving = false;
  std::vector<replica_route> replicas;
  std::vector<service_name> services;
  bool removed = false;
};

struct record_route {
  record_name name;
  std::vector<model_spec> models;
  bool removed = false;
};

// Changes from one version to another, or a part of them.
struct routing_update {
  config_version from;
  config_version to;
  std::vector<backend_route> backends;
  std::vector<record_route> records;
};

// A declared model and the backend servers that serve it.
struct model_route {
  model_spec spec;
  // The declared version where it is resident, else any other version.
  std::vector<const backend_route*> candidates;
};

// The configuration in force at one entry.
class routing_table {
  config_version version_;
  std::map<backend_name, backend_route> backends_;
  std::map<record_name, std::vector<model_spec>> records_;
  std::unordered_map<model_name, model_route> models_;
  std::unordered_map<service_name, std::vector<const backend_route*>> services_;

  auto RebuildIndex() -> void;

 public:
  // Applies a newer state. Returns false, and changes nothing, for an update
  // that starts after this version or ends before it.
  auto Apply(const routing_update& update) -> bool;

  auto get_version() const -> config_version { return version_; }
  auto FindModel(const model_name& name) const -> const model_route*;
  // Returns null when no backend server offers the service.
  auto FindService(const service_name& name) const
      -> const std::vector<const backend_route*>*;
  auto FindBackend(const backend_name& name) const -> const backend_route*;
  auto ListModels() const -> std::vector<const model_spec*>;
  auto get_backends() const -> const std::map<backend_name, backend_route>& {
    return backends_;
  }
};

// True when `backend` holds the adapter with a replica of the model. An empty
// adapter is always held.
auto HoldsAdapter(const backend_route& backend,
                  const model_name& model,
                  const adapter_name& adapter) -> bool;

}  // namespace ebony

#endif  // EBONY_ENTRY_ROUTING_TABLE_H_
