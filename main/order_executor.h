#ifndef EBONY_MAIN_ORDER_EXECUTOR_H_
#define EBONY_MAIN_ORDER_EXECUTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "control/model_planner.h"
#include "core/backend_registry.h"
#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_pool.h"
#include "schema/site.pb.h"

namespace ebony {

// Plans and sends the leader's load and unload orders. Each backend server has
// at most one order in flight. Tracks which models each of them holds after its
// orders.
class order_executor {
  // Orders to one incarnation of a backend server.
  struct server_state {
    std::uint64_t start_time_ms = 0;
    // Number of orders that the server has accepted, and the models that it
    // holds after them. std::nullopt until a report confirms the number; `held`
    // is valid only while it has a value.
    std::optional<std::uint64_t> accepted;
    std::vector<loaded_model> held;
    model_name unloading;  // a model whose unload was ordered
    std::unique_ptr<pooled_call> call;
    timer_id timeout;
    bool is_busy = false;  // a call is in flight or an adapter is loading
    mono_time not_before;  // no calls before this time
    std::unique_ptr<pooled_call> check;  // of its reachability
  };

  const site_settings& settings_;
  event_loop& loop_;
  http_pool& pool_;
  event_log& log_;
  metrics& metrics_;
  backend_registry& registry_;
  std::function<bool()> is_confirmed_leader_;
  // Returns the requests in flight at a server, of all gateways.
  std::function<double(const backend_name&)> get_requests_;
  std::function<void()> on_server_ready_;  // a server can take its next order
  std::map<backend_name, server_state> server_states_;
  model_planner planner_;
  mono_time leader_since_;
  bool is_leading_ = false;
  std::uint64_t fencing_number_ = 0;

  auto GetServerState(const backend_status& status) -> server_state&;
  auto RequestReport(const backend_status& status) -> void;
  auto SendOrder(const backend_status& status, const model_order& order)
      -> void;
  auto OnOrderAnswered(const backend_name& id,
                       const model_order& order,
                       int status) -> void;
  auto OnOrderUnanswered(const backend_name& id, const model_order& order)
      -> void;
  // Returns the models that a server holds, without one that is being unloaded.
  // Returns std::nullopt when `status` already lists the same models, or when
  // no call was made to this incarnation.
  auto GetKnownModels(const backend_status& status) const
      -> std::optional<std::vector<loaded_model>>;
  // Writes these models to the registry, which gateways replicate.
  auto PublishKnownModels(const backend_name& id) -> void;
  auto InvalidateReport(const backend_name& id, duration backoff) -> void;
  auto OnUnreachable(const backend_name& id) -> void;
  auto EndCall(const backend_name& id) -> void;

 public:
  order_executor(const site_settings& settings,
                 event_loop& loop,
                 http_pool& pool,
                 event_log& log,
                 metrics& counters,
                 backend_registry& registry,
                 std::function<bool()> is_confirmed_leader,
                 std::function<double(const backend_name&)> get_requests,
                 std::function<void()> on_server_ready);

  // `term` becomes the fencing number of all orders.
  auto StartLeading(std::uint64_t term) -> void;
  // Cancels the calls in flight.
  auto StopLeading() -> void;
  // Replaces the models in an announcement by those known from later orders.
  auto ApplyKnownModels(backend_status& status) const -> void;
  auto RecordFirstEvents(const first_event_sums& sums) -> void {
    planner_.AddFirstEvents(sums);
  }
  // Adds a gateway's report of arrived and refused requests to the demand.
  auto RecordDemand(const schema::demand_row& row) -> void;
  // Calls a server that a gateway could not connect to, and suspects it if it
  // cannot be reached from here either.
  auto VerifyReachable(const backend_name& id) -> void;
  // Plans orders and sends them to the servers that can take one. Sends none
  // until the order lease of the previous leader has expired, and no byte of an
  // order while `is_confirmed_leader` returns false.
  auto Tick(const site_config& config) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_ORDER_EXECUTOR_H_
