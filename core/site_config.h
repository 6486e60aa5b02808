#ifndef EBONY_CORE_SITE_CONFIG_H_
#define EBONY_CORE_SITE_CONFIG_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/domain.h"
#include "core/ids.h"

namespace ebony {

// Number of a whole configuration, chosen by the operator. The highest wins.
using config_number = strong_type<struct config_number_tag, std::uint64_t>;
using route_name = strong_type<struct route_tag, std::string>;
using token_count = strong_type<struct token_count_tag, std::uint64_t>;

// What running a request twice means.
enum class repeat_rule {
  idempotent,    // may run more than once
  at_most_once,  // must not run twice
  resumable,     // a stream that may go on elsewhere after its last event
};

struct route_target {
  service_name service;
  std::uint32_t weight = 1;
};

// Where requests of one host and path prefix go, and on which terms.
struct route_rule {
  route_name name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  repeat_rule repeat = repeat_rule::at_most_once;
  bool is_stream = false;
  duration time_limit{0};  // longest time until the final answer
  duration objective{0};   // answer, or first event, in time
  duration event_gap{0};   // longest pause of a stream that is in time
  int rank = 0;            // 0 is the most urgent
  int max_attempts = 1;    // servers that one request may be sent to
  std::vector<route_target> targets;
};

// A model that an engine service can load.
struct catalogue_model {
  model_name name;
  double weights_mb = 0;
  duration load_from_store{0};
  duration load_from_memory{0};
  duration load_from_disk{0};
  int adapters = 0;  // named a1, a2, and so on
  double adapter_mb = 0;
};

// What the servers of an engine service hold and how they load.
struct engine_spec {
  std::uint32_t batch_slots = 1;
  token_count kv_tokens;
  double weights_mb = 0;  // for weights and adapters together
  int adapter_slots = 0;
  double loads_per_second = 0;  // from the weight store, over all servers
  int stride = 1;               // tokens in one event of a stream
  std::vector<catalogue_model> models;
};

struct service_spec {
  service_name name;
  std::string health_path;
  std::uint32_t max_connections = 0;
  std::optional<engine_spec> engine;
};

// Bounds on callers.
struct caller_limits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  duration head_time = std::chrono::seconds(3);
  duration idle_time = std::chrono::seconds(15);
};

// A whole configuration of routes, services and engines.
struct site_config {
  config_number number;
  std::vector<route_rule> routes;
  std::map<service_name, service_spec> services;
  caller_limits limits;
};

// A model with its adapters, as a backend server holds it.
struct held_model {
  model_name name;
  std::uint64_t version = 0;
  std::vector<adapter_name> adapters;

  auto operator==(const held_model&) const -> bool = default;
};

// What a backend server last said of itself.
struct backend_status {
  backend_name id;
  service_name service;
  host_port address;
  data_centre_name data_centre;
  std::uint32_t slots = 1;
  bool is_leaving = false;
  std::uint64_t sequence = 0;  // orders what one start says
  std::uint64_t born_ms = 0;   // Unix time of its start; 0: not said
  std::vector<held_model> models;
  std::vector<model_name> in_memory;  // copies of weights at hand
  std::vector<model_name> on_disk;

  auto operator==(const backend_status&) const -> bool = default;
};

}  // namespace ebony

#endif  // EBONY_CORE_SITE_CONFIG_H_
