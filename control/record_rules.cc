#include "control/record_rules.h"

#include <algorithm>
#include <set>

namespace ebony {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxModelsPerRecord = 2000;
constexpr std::size_t kMaxAdaptersPerModel = 500;
constexpr std::uint32_t kMaxReplicas = 1000;
constexpr std::uint64_t kMaxMemoryMib = 16ULL << 20;

// Allows letters, digits and ._-/ only, so that names can be used in URLs and
// metric labels without escaping.
auto IsValidName(const std::string& name) -> bool {
  if (name.empty() || name.size() > kMaxNameLength) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-' || c == '/';
  });
}

auto CheckName(const std::string& field,
               const std::string& name,
               std::vector<std::string>& faults) -> void {
  if (!IsValidName(name)) {
    faults.push_back(field + ": '" + name.substr(0, kMaxNameLength) +
                     "' must be 1 to 128 letters, digits or ._-/");
  }
}

auto CheckMemory(const std::string& field,
                 mebibytes memory,
                 std::vector<std::string>& faults) -> void {
  if (memory.get() == 0 || memory.get() > kMaxMemoryMib) {
    faults.push_back(field + ": must be 1 to " + std::to_string(kMaxMemoryMib) +
                     " MiB");
  }
}

auto CheckModel(const std::string& field,
                const model_spec& model,
                std::vector<std::string>& faults) -> void {
  CheckName(field + ".name", model.key.model.get(), faults);
  CheckName(field + ".version", model.key.version.get(), faults);
  CheckMemory(field + ".weights_mib", model.weights, faults);
  if (model.kv_cache.get() > kMaxMemoryMib) {
    faults.push_back(field + ".kv_cache_mib: must be at most " +
                     std::to_string(kMaxMemoryMib) + " MiB");
  }
  if (model.min_replicas > kMaxReplicas) {
    faults.push_back(field + ".min_replicas: must be at most " +
                     std::to_string(kMaxReplicas));
  }
  if (model.adapters.size() > kMaxAdaptersPerModel) {
    faults.push_back(field + ".adapters: must have at most " +
                     std::to_string(kMaxAdaptersPerModel) + " items");
  }
  auto seen = std::set<adapter_name>();
  for (const auto& adapter : model.adapters) {
    const auto where = field + ".adapters[" + adapter.key.name.get() + "]";
    CheckName(where + ".name", adapter.key.name.get(), faults);
    CheckName(where + ".version", adapter.key.version.get(), faults);
    CheckMemory(where + ".memory_mib", adapter.memory, faults);
    if (!seen.insert(adapter.key.name).second) {
      faults.push_back(where + ": declared twice");
    }
  }
}

}  // namespace

auto FindRecordFaults(const record_content& content)
    -> std::vector<std::string> {
  auto faults = std::vector<std::string>();
  CheckName("name", content.name.get(), faults);
  if (content.schema_version == 0) {
    faults.emplace_back("schema_version: must be 1 or more");
  }
  if (content.models.size() > kMaxModelsPerRecord) {
    faults.push_back("models: must have at most " +
                     std::to_string(kMaxModelsPerRecord) + " items");
  }
  auto seen = std::set<model_name>();
  for (const auto& model : content.models) {
    const auto field = "models[" + model.key.model.get() + "]";
    CheckModel(field, model, faults);
    if (!seen.insert(model.key.model).second) {
      faults.push_back(field + ": declared twice");
    }
    if (content.schema_version < 2 && model.min_data_centres > 1) {
      faults.push_back(field + ".min_data_centres: requires schema_version 2");
    }
  }
  return faults;
}

auto FindSuccessionFaults(const record_content& current,
                          const record_content& next)
    -> std::vector<std::string> {
  auto faults = std::vector<std::string>();
  for (const auto& model : next.models) {
    for (const auto& old : current.models) {
      if (old.key != model.key) {
        continue;
      }
      if (old.weights != model.weights || old.kv_cache != model.kv_cache) {
        faults.push_back(
            "models[" + model.key.model.get() + "]: the memory of version '" +
            model.key.version.get() + "' cannot change; declare a new version");
      }
    }
  }
  return faults;
}

}  // namespace ebony
