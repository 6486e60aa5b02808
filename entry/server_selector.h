#ifndef EBONY_ENTRY_SERVER_SELECTOR_H_
#define EBONY_ENTRY_SERVER_SELECTOR_H_

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "core/backend_registry.h"
#include "core/site_config.h"

namespace ebony {

// Work under way: requests and the tokens that they still cost.
struct server_load {
  double requests = 0;
  double tokens = 0;
};

struct server_selector_options {
  // Requests for each slot of a plain service that may be under way.
  double plain_overcommit = 2.0;
  // Requests for each batch slot of an engine that may be under way: the server
  // queues the rest, so that a freed slot does not wait for the gateways to
  // hear of it.
  double engine_overcommit = 1.25;
  // Prompt tokens that may wait to be read at one engine; more of them hold up
  // the events of the streams that it is writing.
  double max_prefill_tokens = 3500;
  int failures_to_eject = 3;
  duration eject_min = std::chrono::milliseconds(500);
  duration eject_max = std::chrono::seconds(8);
  // No more than this part of the candidates is ejected at a time.
  double max_ejected_fraction = 0.5;
  // Up to this many gateways each take the server with the least work.
  std::size_t max_gateways_for_least_loaded = 24;
  // What others had under way is halved after each such time without news.
  duration remote_load_half_life = std::chrono::milliseconds(1000);
};

struct server_query {
  service_name service;
  bool is_engine = false;
  model_name model;
  adapter_name adapter;
  double prompt_tokens = 0;
  // The request has waited long enough: only the slots count.
  bool ignores_prefill_limit = false;
  const std::set<backend_name>* avoid = nullptr;  // tried before
};

enum class server_verdict {
  chosen,
  busy,        // servers that could run it have no room
  no_replica,  // no server holds the model or adapter
  no_server,   // the service has no server
};

// Returns a short name for logs.
auto GetServerVerdictText(server_verdict verdict) -> std::string_view;

struct server_choice {
  server_verdict verdict = server_verdict::no_server;
  const backend_status* server = nullptr;
};

// Chooses a server by the work under way at it: this gateway's own, exactly,
// and the other gateways', as of the last exchange with the coordinator.
// Answers the load at which several servers hold the model and the batch of
// each slows down as it fills.
class server_selector {
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;
  struct server_state {
    server_load own;
    server_load reported;  // of `own`, in the exchange under way
    server_load others;    // of the other gateways, at the last exchange
    int failures = 0;      // in a row
    mono_time ejected_until;
    duration next_ejection{0};
    std::uint64_t misdirected_born_ms =
        0;  // start whose address had another server
    bool is_misdirected = false;
  };

  server_selector_options options_;
  random_source random_;
  const backend_registry& registry_;
  std::map<backend_name, server_state> states_;
  mono_time exchanged_;
  std::size_t gateways_ = 1;

  auto HoldsModel(const backend_status& status, const server_query& query) const
      -> bool;
  auto HasCapacity(const backend_status& status,
                   const server_query& query,
                   mono_time now) -> bool;
  auto PickLeastLoaded(const std::vector<const backend_record*>& candidates,
                       bool is_engine,
                       mono_time now) -> const backend_status*;
  auto GetFreeCapacity(const backend_status& status,
                       const server_query& query,
                       mono_time now) -> double;
  // Returns a server by chance, in proportion to its room.
  auto DrawByCapacity(const std::vector<const backend_record*>& candidates,
                      const server_query& query,
                      mono_time now) -> const backend_status*;
  auto DropEjected(std::vector<const backend_record*>& candidates,
                   mono_time now) -> void;

 public:
  server_selector(server_selector_options options,
                  const backend_registry& registry,
                  random_source random);

  auto Choose(const server_query& query, mono_time now) -> server_choice;

  // Many gateways hear of each other's work late: they draw among the engines
  // with room, since all would take the same one otherwise.
  auto SetGatewayCount(std::size_t count) -> void { gateways_ = count; }
  // What this gateway does.
  auto OnStarted(const backend_name& id, double tokens) -> void;
  auto OnPrefilled(const backend_name& id, double tokens) -> void;
  auto OnEnded(const backend_name& id, double tokens) -> void;
  auto OnAnswered(const backend_name& id) -> void;
  // Returns true when the failure ejects the server.
  auto OnFailed(const backend_name& id, mono_time now) -> bool;
  // Another server answered at this one's address.
  auto OnMisdirected(const backend_name& id) -> void;

  // The exchange of loads with the other gateways.
  auto TakeLoadReport() -> std::map<backend_name, server_load>;
  // `loads` is the answer to the last report: of all gateways together.
  auto SetTotalLoads(const std::map<backend_name, server_load>& loads,
                     mono_time now) -> void;
  // Load of a server as this gateway believes it. What the other gateways had
  // under way counts less and less while no exchange comes about.
  auto GetLoad(const backend_name& id, mono_time now) -> server_load;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SERVER_SELECTOR_H_
