#ifndef EBONY_ENTRY_SERVER_SELECTOR_H_
#define EBONY_ENTRY_SERVER_SELECTOR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "core/backend_registry.h"
#include "core/site_config.h"
#include "entry/server_pace.h"
#include "entry/server_pauses.h"
#include "entry/server_permits.h"

namespace ebony {

// Load of a server: requests in flight and their prompt tokens that are not yet
// processed.
struct server_load {
  double requests = 0;
  double tokens = 0;
};

struct server_selector_options {
  // Limit of the requests in flight per slot of a service that is not an
  // engine.
  double plain_overcommit = 2.0;
  // Bounds of the requests that an engine may have beyond its batch slots, so
  // that a freed slot is refilled before the gateways learn of it: in requests,
  // and as a fraction of its slots. Whatever an engine queues is late.
  double min_engine_queue = 1;
  double max_engine_queue_fraction = 0.25;
  // Longest time for which an engine that had no room for a request gets no
  // further one.
  duration max_full_time = std::chrono::milliseconds(800);
  // Limit of the unprocessed prompt tokens at one engine. Prefill of more
  // tokens delays the events of the streams that the engine is producing.
  double max_prefill_tokens = 3500;
  int failures_to_eject = 3;  // consecutive failures
  // Consecutive connection failures after which a server is unreachable, and
  // bounds of the time until it is tried again.
  int connect_failures_to_exclude = 2;
  duration retry_min = std::chrono::milliseconds(500);
  duration retry_max = std::chrono::milliseconds(2000);
  // Bounds of the ejection time, which doubles with each ejection in a row.
  duration eject_min = std::chrono::milliseconds(500);
  duration eject_max = std::chrono::seconds(8);
  // Ejections are ignored while they would exclude more than this fraction of
  // the candidates.
  double max_ejected_fraction = 0.5;
  // Up to this number of gateways, each chooses the least loaded server.
  std::size_t max_gateways_for_least_loaded = 24;
  // The same for a service whose servers differ in speed.
  std::size_t max_gateways_for_least_loaded_uneven = 1;
  // Half-life of the load of the other gateways, from the last exchange.
  duration remote_load_half_life = std::chrono::milliseconds(1000);
  // A server that is limited by its slots has spare room up to this fraction of
  // them.
  double spare_room_fraction = 0.5;
};

// Requirements of the request to send.
struct server_query {
  service_name service;
  bool is_engine = false;
  // Set for a service whose servers many gateways share without models: each
  // chooses at random by free capacity, as for engines.
  bool is_spread = false;
  model_name model;
  adapter_name adapter;
  double prompt_tokens = 0;
  // Set for a stream that has begun: the version that may go on with it.
  const software_version* software = nullptr;
  // Set for a request that has waited: only the request limit applies to it.
  bool ignores_prefill_limit = false;
  // Set for a request that only this gateway can send: it is tried though the
  // paths to the servers are closed.
  bool ignores_closed_paths = false;
  const std::set<backend_name>* avoid = nullptr;  // tried before; may be null
  // Returns true if the request may begin at a server that runs this software
  // now; empty: it may at any.
  std::function<bool(const software_version&)> may_begin_at = {};
};

enum class server_verdict {
  chosen,
  busy,         // every server that could execute the request is at its limit
  no_replica,   // no server holds the model or adapter
  no_server,    // the service has no server
  no_version,   // no server runs the required software version
  paused,       // those that could execute it asked for a pause
  no_path,      // those that could execute it can't be connected to from here
  await_trial,  // not offered to any: a request like it is on trial
};

// Returns the name used in log lines.
auto GetServerVerdictText(server_verdict verdict) -> std::string_view;

struct server_choice {
  server_verdict verdict = server_verdict::no_server;
  const backend_status* server = nullptr;           // set for `chosen`
  permit_source permit = permit_source::unlimited;  // of that server
  // Servers that could execute the request, but for a permit.
  std::vector<backend_name> without_permit = {};
  // One of these is limited by its slots.
  bool awaits_slot = false;
  // Set for `paused`: until the first of the servers may get a request.
  duration pause_left{0};
};

// Chooses a server by load: the requests in flight from this gateway, counted
// exactly, and those of the other gateways as of the last exchange with the
// coordinator. Balancing matters when several servers hold a model, because a
// server slows down as its batch fills.
class server_selector {
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;
  struct server_state {
    server_load own;
    server_load reported;  // `own` at the last report
    server_load others;    // of the other gateways, at the last exchange
    int failures = 0;      // consecutive
    mono_time ejected_until;
    duration next_ejection{0};
    // Start time of the run at whose address another server answered.
    std::uint64_t misdirected_start_time_ms = 0;
    bool is_misdirected = false;
    int connect_failures = 0;  // consecutive
    std::uint64_t unreachable_start_time_ms = 0;
    mono_time unreachable_until;
    duration next_retry{0};
    // No room until then: the server has turned a request away.
    mono_time full_until;
    duration full_time{0};  // the last time for which it counted as full
    // Relative to the others of its service, which differ; of one run.
    std::optional<double> speed;
    std::uint64_t speed_start_time_ms = 0;
  };

  server_selector_options options_;
  random_source random_;
  const backend_registry& registry_;
  server_permits& permits_;
  const server_pauses& pauses_;
  std::map<backend_name, server_state> states_;
  mono_time last_exchange_;
  // Smoothed: the interval of the exchanges, and the time for which a request
  // holds a slot.
  duration exchange_interval_ = std::chrono::milliseconds(50);
  duration slot_time_ = std::chrono::seconds(1);
  // Age of the loads of the other gateways at the time of an exchange.
  duration source_delay_{0};
  std::vector<backend_name> newly_unreachable_;
  std::size_t gateway_count_ = 1;
  bool are_paths_closed_ = false;
  bool has_speeds_ = false;

  // What a look at all servers of a service has found.
  struct server_search {
    std::vector<const backend_record*> candidates;
    std::vector<const backend_record*> suspected;
    bool has_server = false;
    bool has_version = false;      // runs the required software
    bool has_unsettled = false;    // runs software where the request may begin
                                   // soon
    bool has_unreachable = false;  // could execute it
    std::optional<duration> pause_left;  // the shortest of those that could
  };

  auto Search(const server_query& query, mono_time now) -> server_search;
  // Returns why a search has found no candidate.
  static auto GetAbsence(const server_search& found, const server_query& query)
      -> server_choice;
  auto HoldsModel(const backend_status& status, const server_query& query) const
      -> bool;
  auto HasCapacity(const backend_status& status,
                   const server_query& query,
                   mono_time now) -> bool;
  // Returns the load by which servers are compared, per slot.
  auto GetScore(const backend_status& status,
                bool is_engine,
                bool are_uneven,
                mono_time now) -> double;
  auto ChooseLeastLoaded(const std::vector<const backend_record*>& candidates,
                         bool is_engine,
                         mono_time now) -> const backend_status*;
  // Returns the measured speed of the server's run if the speeds of its service
  // differ.
  auto FindSpeed(const backend_status& status) -> std::optional<double>;
  auto GetSpeed(const backend_status& status) -> double;
  // Returns the requests that end at an engine before this gateway learns of
  // it.
  auto GetEngineQueue(const backend_status& status) -> double;
  auto GetFreeCapacity(const backend_status& status,
                       const server_query& query,
                       mono_time now) -> double;
  // Returns the work that a server of a service with uneven ones could begin,
  // in requests at speed 1.
  auto GetFreeWork(const backend_status& status,
                   const server_query& query,
                   mono_time now) -> double;
  // Chooses a server at random, in proportion to its free capacity.
  auto ChooseByCapacity(const std::vector<const backend_record*>& candidates,
                        const server_query& query,
                        mono_time now) -> const backend_status*;
  auto IsUnreachable(const backend_status& status, mono_time now) -> bool;
  auto IsFull(const backend_name& id, mono_time now) -> bool;
  auto GetPermit(const backend_status& status, mono_time now) -> permit_source;
  // Removes the candidates that no request may be sent to for lack of a permit,
  // and returns their names.
  auto RemoveWithoutPermit(std::vector<const backend_record*>& candidates,
                           mono_time now) -> std::vector<backend_name>;
  // Returns true if a speed is known of any of these servers.
  auto AreUneven(const std::vector<const backend_record*>& candidates) -> bool;
  auto RemoveEjected(std::vector<const backend_record*>& candidates,
                     mono_time now) -> void;

 public:
  server_selector(server_selector_options options,
                  const backend_registry& registry,
                  server_permits& permits,
                  const server_pauses& pauses,
                  random_source random);

  // Chooses a server among those announced for the service.
  auto Choose(const server_query& query, mono_time now) -> server_choice;

  // Sets the number of gateways. Many gateways choose engines at random by free
  // capacity: each learns of the load of the others late, so otherwise all of
  // them would choose the same engine.
  auto SetGatewayCount(std::size_t count) -> void { gateway_count_ = count; }
  // Events of the requests of this gateway. `tokens` are the prompt tokens that
  // were counted at the start and are not yet processed.
  auto OnStarted(const backend_name& id, double tokens) -> void;
  auto OnPrefilled(const backend_name& id, double tokens) -> void;
  auto OnEnded(const backend_name& id, double tokens) -> void;
  auto OnAnswered(const backend_name& id) -> void;
  // Records that an engine has turned a request away for want of room: the
  // loads known here are too old. Returns the time for which it counts as full,
  // about as long as a slot takes to become free, twice as long each time in a
  // row, and at random, so that the gateways do not come back together.
  auto OnFull(const backend_name& id, mono_time now) -> duration;
  // Returns true if not all slots of the server are in use, as far as is known
  // here.
  auto HasFreeSlot(const backend_name& id, mono_time now) -> bool;
  // Returns the requests in flight from this gateway.
  auto GetOwnRequests(const backend_name& id) const -> std::uint32_t;
  // Returns true when the failure ejects the server.
  auto OnFailed(const backend_name& id, mono_time now) -> bool;
  // Records that no connection to the server could be made. Excludes it for a
  // time that doubles with each failure in a row.
  auto OnUnreachable(const backend_name& id, mono_time now) -> void;
  // Sets whether no server can be connected to from here. When that ends, what
  // failed connections said of single servers is forgotten.
  auto SetPathsClosed(bool are_closed) -> void;
  // Returns the servers that became unreachable since the last call.
  auto TakeUnreachable() -> std::vector<backend_name>;
  // Excludes a server until it restarts, because another server answered at its
  // address.
  auto OnMisdirected(const backend_name& id) -> void;

  // Returns the load of this gateway, by server, for the exchange with the
  // other gateways.
  auto TakeLoadReport() -> std::map<backend_name, server_load>;
  // Sets the total load of all gateways, which is the answer to the last
  // report.
  auto SetTotalLoads(const std::map<backend_name, server_load>& loads,
                     mono_time now) -> void;
  // Sets the speeds of the servers of services whose servers differ. All others
  // have speed 1.
  auto SetSpeeds(const server_pace::speed_map& speeds) -> void;
  // Returns the requests in flight per slot, as far as is known here.
  auto GetLoadPerSlot(const backend_name& id, mono_time now) -> double;
  // Sets the delay of the loads that an exchange returns.
  auto SetSourceDelay(duration delay) -> void { source_delay_ = delay; }
  // Adds the time for which a request held a slot of an engine.
  auto AddSlotTime(duration time) -> void;
  // Returns the estimated load of a server. The load of the other gateways
  // decays while no exchange takes place.
  auto GetLoad(const backend_name& id, mono_time now) -> server_load;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SERVER_SELECTOR_H_
