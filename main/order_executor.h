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

// Sends the leader's orders to backend servers, one at a time to each, and
// keeps what is known of their outcome.
class order_executor {
  // What is known of the orders of one start of a server.
  struct desk_entry {
    std::uint64_t born_ms = 0;
    // Orders that the server has accepted, and what it holds after these;
    // nothing while that is not known for sure.
    std::optional<std::uint64_t> accepted;
    std::vector<held_model> held;
    model_name leaving;  // a model whose unload was ordered
    std::unique_ptr<http_call> call;
    timer_id timeout;
    bool is_open = false;  // a call is under way
    mono_time not_before;
  };

  const site_settings& settings_;
  event_loop& loop_;
  http_pool& pool_;
  event_log& log_;
  metrics& metrics_;
  backend_registry& registry_;
  std::function<void()> on_free_;  // a server may get its next order
  std::map<backend_name, desk_entry> desks_;
  std::map<backend_name, double> loads_;  // requests under way
  model_planner planner_;
  mono_time leader_since_;
  bool is_leading_ = false;
  std::uint64_t fencing_number_ = 0;

  auto GetDesk(const backend_status& status) -> desk_entry&;
  auto AskState(const backend_status& status) -> void;
  auto Send(const backend_status& status, const model_order& order) -> void;
  auto OnAnswer(const backend_name& id, const model_order& order, int status)
      -> void;
  auto OnNoAnswer(const backend_name& id, const model_order& order) -> void;
  // Returns what a server holds, without what is about to go, where that is
  // known better here than `status` says.
  auto GetCorrection(const backend_status& status) const
      -> std::optional<std::vector<held_model>>;
  // Tells gateways of such a correction.
  auto Publish(const backend_name& id) -> void;
  auto Forget(const backend_name& id, duration pause) -> void;
  auto Finish(const backend_name& id) -> void;

 public:
  order_executor(const site_settings& settings,
                 event_loop& loop,
                 http_pool& pool,
                 event_log& log,
                 metrics& counters,
                 backend_registry& registry,
                 std::function<void()> on_free);

  auto StartLeading(std::uint64_t term) -> void;
  auto StopLeading() -> void;
  // Brings what a server says up to what was ordered since.
  auto Correct(backend_status& status) const -> void;
  auto NoteDemand(const schema::demand_row& row) -> void;
  auto NoteLoad(const backend_name& id, double requests) -> void;
  // Plans and sends what is due.
  auto Tick(const site_config& config) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_ORDER_EXECUTOR_H_
