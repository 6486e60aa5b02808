#include "entry/routing_table.h"

#include <algorithm>

namespace ebony {

namespace {

auto FindReplica(const backend_route& backend, const model_name& model)
    -> const replica_route* {
  const auto found = std::find_if(
      backend.replicas.begin(), backend.replicas.end(),
      [&model](const auto& replica) { return replica.key.model == model; });
  return found == backend.replicas.end() ? nullptr : &*found;
}

auto HoldsVersion(const backend_route& backend, const replica_key& key)
    -> bool {
  return std::any_of(
      backend.replicas.begin(), backend.replicas.end(),
      [&key](const auto& replica) { return replica.key == key; });
}

}  // namespace

auto routing_table::RebuildIndex() -> void {
  models_.clear();
  services_.clear();
  for (const auto& [name, models] : records_) {
    for (const auto& spec : models) {
      models_[spec.key.model].spec = spec;
    }
  }
  for (const auto& [name, backend] : backends_) {
    for (const auto& service : backend.services) {
      services_[service].push_back(&backend);
    }
    for (const auto& replica : backend.replicas) {
      const auto found = models_.find(replica.key.model);
      if (found == models_.end()) {
        continue;
      }
      auto& candidates = found->second.candidates;
      if (candidates.empty() || candidates.back() != &backend) {
        candidates.push_back(&backend);
      }
    }
  }
  for (auto& [name, route] : models_) {
    const auto& key = route.spec.key;
    const auto has_declared_version =
        std::any_of(route.candidates.begin(), route.candidates.end(),
                    [&key](const auto* b) { return HoldsVersion(*b, key); });
    if (has_declared_version) {
      std::erase_if(route.candidates, [&key](const backend_route* backend) {
        return !HoldsVersion(*backend, key);
      });
    }
  }
}

auto routing_table::Apply(const routing_update& update) -> bool {
  if (update.from > version_ || update.to < version_) {
    return false;
  }
  for (const auto& backend : update.backends) {
    if (backend.removed) {
      backends_.erase(backend.name);
    } else {
      backends_[backend.name] = backend;
    }
  }
  for (const auto& record : update.records) {
    if (record.removed) {
      records_.erase(record.name);
    } else {
      records_[record.name] = record.models;
    }
  }
  version_ = update.to;
  if (!update.backends.empty() || !update.records.empty()) {
    RebuildIndex();
  }
  return true;
}

auto routing_table::FindModel(const model_name& name) const
    -> const model_route* {
  const auto found = models_.find(name);
  return found == models_.end() ? nullptr : &found->second;
}

auto routing_table::FindService(const service_name& name) const
    -> const std::vector<const backend_route*>* {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

auto routing_table::FindBackend(const backend_name& name) const
    -> const backend_route* {
  const auto found = backends_.find(name);
  return found == backends_.end() ? nullptr : &found->second;
}

auto routing_table::ListModels() const -> std::vector<const model_spec*> {
  auto list = std::vector<const model_spec*>();
  for (const auto& [name, models] : records_) {
    for (const auto& spec : models) {
      list.push_back(&spec);
    }
  }
  return list;
}

auto HoldsAdapter(const backend_route& backend,
                  const model_name& model,
                  const adapter_name& adapter) -> bool {
  if (adapter == adapter_name()) {
    return true;
  }
  const auto* replica = FindReplica(backend, model);
  return replica != nullptr &&
         std::find(replica->adapters.begin(), replica->adapters.end(),
                   adapter) != replica->adapters.end();
}

}  // namespace ebony
