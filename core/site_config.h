#ifndef EBONY_CORE_SITE_CONFIG_H_
#define EBONY_CORE_SITE_CONFIG_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/domain.h"
#include "core/ids.h"
#include "core/organisation.h"

namespace ebony {

// Version of a whole configuration, chosen by the operator. The configuration
// with the highest number takes effect.
using config_number = strong_type<struct config_number_tag, std::uint64_t>;
using route_name = strong_type<struct route_tag, std::string>;
using token_count = strong_type<struct token_count_tag, std::uint64_t>;

// Whether a request may be executed more than once.
enum class retry_policy {
  idempotent,    // may be executed more than once
  at_most_once,  // must not be executed twice
  resumable,     // a stream that another server can resume after the last event
};

// A service that a route sends requests to. Its share of them is its weight
// divided by the sum of the route's weights.
struct route_target {
  service_name service;
  std::uint32_t weight = 1;
};

// Routes requests with one host and path prefix, and limits their execution.
struct route_rule {
  route_name name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  retry_policy retry = retry_policy::at_most_once;
  bool is_stream = false;
  duration time_limit{0};  // limit for the complete answer
  // Latency objective for the answer, or for the first event of a stream.
  duration latency_objective{0};
  // Objective for the time between two events of a stream.
  duration event_gap_objective{0};
  int priority = 0;      // 0 is the most urgent
  int max_attempts = 1;  // backend servers that one request may be sent to
  std::vector<route_target> targets;
  // Needs no key, even if the configuration has organisations.
  bool is_public = false;
};

// A model that servers of an engine service can load.
struct catalogue_model {
  model_name name;
  double weights_mb = 0;
  duration load_from_store{0};   // load time from the shared weight store
  duration load_from_memory{0};  // load time from a copy in the server's memory
  duration load_from_disk{0};    // load time from a copy on the server's disk
  int adapters = 0;              // number of adapters, named a1, a2, and so on
  double adapter_mb = 0;
};

// Capacity of each server of an engine service, and the models it can load.
struct engine_spec {
  std::uint32_t batch_slots = 1;  // requests executed at once
  token_count kv_cache_tokens;
  double model_memory_mb = 0;  // for weights and adapters together
  int adapter_slots = 0;
  // Limit of loads from the weight store, for all servers together.
  double loads_per_second = 0;
  int tokens_per_event = 1;
  std::vector<catalogue_model> models;
};

// A service that routes send requests to.
struct service_spec {
  service_name name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  std::optional<engine_spec> engine;  // absent for a service without models
};

// Limits on the requests and connections of callers.
struct caller_limits {
  std::uint32_t max_head_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4 * 1024 * 1024;
  duration head_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

// A whole configuration of routes, services and engines.
struct site_config {
  config_number number;
  std::vector<route_rule> routes;
  std::map<service_name, service_spec> services;
  std::vector<organisation> organisations;  // empty: callers need no key
  caller_limits limits;
};

// A model that a backend server has loaded, with its loaded adapters.
struct loaded_model {
  model_name name;
  std::uint64_t version = 0;
  std::vector<adapter_name> adapters;

  auto operator==(const loaded_model&) const -> bool = default;
};

// State of a backend server as of its last announcement.
struct backend_status {
  backend_name id;
  service_name service;
  host_port address;
  data_centre_name data_centre;
  software_version software;
  std::uint32_t slots = 1;     // requests executed at once
  bool is_leaving = false;     // draining: takes no new requests
  std::uint64_t sequence = 0;  // orders the announcements of one start
  // Unix time in ms at which the server process started; 0 when unknown.
  std::uint64_t start_time_ms = 0;
  std::vector<loaded_model> models;
  // Models whose weights the server has a copy of, in memory or on disk.
  std::vector<model_name> in_memory;
  std::vector<model_name> on_disk;

  auto operator==(const backend_status&) const -> bool = default;
};

}  // namespace ebony

#endif  // EBONY_CORE_SITE_CONFIG_H_
