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

// Classes of requests, most urgent first.
enum class priority_class { urgent, interactive, batch };

constexpr int kPriorityClassCount = 3;

// Returns the class named by `text`, or nothing.
auto ParsePriority(std::string_view text) -> std::optional<priority_class>;
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

// One version of a model, as placed on accelerators.
struct replica_key {
  model_name model;
  version_name version;

  friend auto operator<=>(const replica_key&, const replica_key&)
      -> std::strong_ordering = default;
};

// A model that an operator declared.
struct model_spec {
  replica_key key;
  mebibytes weights;
  mebibytes kv_cache;
  std::uint32_t min_replicas = 1;
  std::uint32_t min_data_centres = 1;
  priority_class priority = priority_class::interactive;
  std::vector<adapter_spec> adapters;
  std::vector<caller_name> callers;        // empty: everybody
  std::uint32_t caller_max_in_flight = 0;  // 0: no limit
};

// A record as an operator wrote it. `encoded` keeps the fields that this build
// does not know.
struct record_content {
  record_name name;
  std::uint32_t schema_version = 1;
  revision_number revision;
  std::vector<model_spec> models;
  std::string encoded;
};

// A model with its adapters on one accelerator. `memory` counts weights and KV
// cache; each adapter counts its own.
struct resident {
  replica_key key;
  mebibytes memory;
  std::vector<adapter_spec> adapters;

  friend auto operator<=>(const resident&, const resident&)
      -> std::strong_ordering = default;
};

struct accelerator_report {
  mebibytes capacity;
  std::vector<resident> residents;
  order_id applied;
};

// What a backend server says of itself.
struct backend_announcement {
  backend_name name;
  host_port address;
  data_centre_name data_centre;
  incarnation run;
  std::uint64_t sequence = 0;
  std::vector<accelerator_report> accelerators;
  std::vector<service_name> services;
  std::uint32_t slots = 1;    // requests that run at once
  std::uint32_t running = 0;  // requests
  std::uint32_t queued = 0;   // requests
  bool leaving = false;
  bool checks_fencing = false;
  bool checks_sender = false;
  std::string role;
};

// The absolute state that one accelerator has to reach. The id is also the
// fencing number.
struct order {
  order_id id;
  backend_name backend;
  accelerator_index accelerator;
  std::vector<resident> target;
  std::string reason;
};

}  // namespace ebony

#endif  // EBONY_CORE_DOMAIN_H_
