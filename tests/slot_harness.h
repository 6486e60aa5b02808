#ifndef EBONY_TESTS_SLOT_HARNESS_H_
#define EBONY_TESTS_SLOT_HARNESS_H_

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "control/permit_allocator.h"
#include "control/permit_relay.h"
#include "core/backend_registry.h"
#include "entry/server_pauses.h"
#include "entry/server_permits.h"
#include "entry/server_selector.h"
#include "fakes/slot_server.h"

namespace ebony::testing {

struct slot_site_options {
  std::size_t gateways = 7;
  std::size_t relays = 0;  // 0: the gateways sync with the leader
  std::size_t servers = 12;
  std::size_t models = 1;  // each server holds one of them
  std::size_t slots = 3;
  std::size_t waiting = 1;         // room of a server beyond its slots
  std::size_t max_rejections = 5;  // in a second
  duration work = std::chrono::milliseconds(200);
  double load = 1.67;  // arrivals, in times what the servers run
  // The share of the arrivals that one model gets beside its equal share.
  double hot_share = 0;
  duration sync_interval = std::chrono::milliseconds(50);
  unsigned seed = 1;
};

// Gateways that share brittle servers through a leader and relays, in simulated
// time. Each request that can't be sent waits for a time.
class slot_site {
  struct waiting_request {
    std::size_t model = 0;
    mono_time until;
    std::vector<backend_name> awaited;
  };
  struct gateway {
    std::unique_ptr<server_permits> permits;
    std::unique_ptr<server_selector> selector;
    std::vector<waiting_request> queue;
    std::map<backend_name, server_load> reported;
    std::uint64_t known_revision = 0;  // of the registry
    mono_time next_sync;
    mono_time frozen_until;
  };
  struct relay {
    permit_relay permits;
    mono_time next_sync;
  };
  struct server {
    slot_server room;
    bool is_up = true;
  };
  struct run {
    std::size_t gateway = 0;
    std::size_t server = 0;
    std::uint64_t start_time_ms = 0;
  };
  struct event {
    mono_time at;
    std::size_t request = 0;
    friend auto operator<(const event& left, const event& right) -> bool {
      return left.at > right.at;
    }
  };

  slot_site_options options_;
  std::mt19937_64 random_;
  mono_time now_{std::chrono::hours(1)};
  backend_registry registry_{backend_registry_options()};
  server_pauses pauses_;
  permit_allocator leader_;
  std::vector<gateway> gateways_;
  std::vector<relay> relays_;
  std::vector<server> servers_;
  std::map<std::size_t, run> runs_;
  std::priority_queue<event> ends_;
  std::map<std::size_t, mono_time> restarts_;
  std::map<backend_name, server_load> totals_;
  mono_time next_totals_;
  std::uint64_t limits_revision_ = 0;
  std::size_t next_request_ = 0;
  double arrivals_due_ = 0;
  std::size_t arrived_ = 0;
  std::size_t served_ = 0;
  std::size_t falls_ = 0;
  std::size_t rejected_ = 0;  // by servers

  auto MakeStatus(std::size_t server) const -> backend_status;
  auto GetId(std::size_t server) const -> backend_name;
  auto PickModel() -> std::size_t;
  // Returns true if the request was sent, or rejected by a server.
  auto TrySend(std::size_t number, waiting_request& request) -> bool;
  auto Send(std::size_t number, std::size_t server, permit_source permit)
      -> void;
  auto TryQueue(std::size_t number) -> void;
  auto EndRun(std::size_t request) -> void;
  auto FallOver(std::size_t server) -> void;
  auto LearnReport(const vm_name& vm, const permit_report& report) -> void;
  auto UpdateLimits() -> void;
  auto SyncGateway(std::size_t number) -> void;
  auto SyncRelay(std::size_t number) -> void;
  auto UpdateTotals() -> void;
  auto Step() -> void;

 public:
  explicit slot_site(const slot_site_options& options);

  auto RunFor(duration time) -> void;
  auto SetLoad(double load) -> void { options_.load = load; }
  // All requests of the gateway end, and it starts again at once.
  auto KillGateway(std::size_t number) -> void;
  auto FreezeGateway(std::size_t number, duration time) -> void;
  // The server falls, whatever it rejects.
  auto FellServer(std::size_t server) -> void { FallOver(server); }
  // Counts anew what is served.
  auto StartCount() -> void { arrived_ = served_ = rejected_ = 0; }
  // Returns the requests served, as a share of what the servers can run.
  auto GetUse(duration time) const -> double;
  auto get_falls() const -> std::size_t { return falls_; }
  auto get_rejected() const -> std::size_t { return rejected_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_SLOT_HARNESS_H_
