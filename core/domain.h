#ifndef EBONY_CORE_DOMAIN_H_
#define EBONY_CORE_DOMAIN_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Priority classes of requests, most urgent first.
enum class priority_class { urgent, interactive, batch };

constexpr int kPriorityClassCount = 3;

// Returns the class named by `text`, or std::nullopt for an unknown name.
auto ParsePriority(std::string_view text) -> std::optional<priority_class>;
// Returns the name of the class.
auto GetPriorityText(priority_class priority) -> std::string_view;

struct adapter_key {
  adapter_name name;
  version_name version;

  friend auto operator<=>(const adapter_key&, const adapter_key&)
      -> std::strong_ordering = default;
};

struct adapter_spec {
  adapter_key key;
  mebibytes memory;

  friend auto operator<=>(const adapter_spec&, const adapter_spec&)
      -> std::strong_ordering = default;
};

// Identifies one version of a model.
struct replica_key {
  model_name model;
  version_name version;

  friend auto operator<=>(const replica_key&, const replica_key&)
      -> std::strong_ordering = default;
};

// A model as declared by an operator.
struct model_spec {
  replica_key key;
  mebibytes weights;
  mebibytes kv_cache;
  std::uint32_t min_replicas = 1;
  std::uint32_t min_data_centres = 1;
  priority_class priority = priority_class::interactive;
  std::vector<adapter_spec> adapters;
  std::vector<caller_name> callers;        // empty: all callers
  std::uint32_t caller_max_in_flight = 0;  // requests per caller; 0: no limit
};

// The content of a record as written by an operator. `encoded` preserves fields
// that are unknown to this version of the program.
struct record_content {
  record_name name;
  std::uint32_t schema_version = 1;
  revision_number revision;
  std::vector<model_spec> models;
  std::string encoded;
};

// A model loaded on an accelerator, with its adapters. `memory` covers weights
// and KV cache; each adapter has its own.
struct resident {
  replica_key key;
  mebibytes memory;
  std::vector<adapter_spec> adapters;

  friend auto operator<=>(const resident&, const resident&)
      -> std::strong_ordering = default;
};

// The state of one accelerator as reported by its backend server.
struct accelerator_report {
  mebibytes capacity;
  std::vector<resident> residents;
  order_id applied;  // the last order that was applied
};

// The periodic announcement of a backend server.
struct backend_announcement {
  backend_name name;
  host_port address;
  data_centre_name data_centre;
  incarnation run;
  std::uint64_t sequence = 0;
  std::vector<accelerator_report> accelerators;
  std::vector<service_name> services;
  std::uint32_t slots = 1;    // requests executed at once
  std::uint32_t running = 0;  // requests
  std::uint32_t queued = 0;   // requests
  bool leaving = false;
  bool checks_fencing = false;
  bool checks_sender = false;
  std::string role;
  software_version software;
};

// Sets the complete target state of one accelerator. The id is also the fencing
// number.
struct order {
  order_id id;
  backend_name backend;
  accelerator_index accelerator;
  std::vector<resident> target;
  std::string reason;
};

}  // namespace ebony

#endif  // EBONY_CORE_DOMAIN_H_
