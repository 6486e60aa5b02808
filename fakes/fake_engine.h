#ifndef EBONY_FAKES_FAKE_ENGINE_H_
#define EBONY_FAKES_FAKE_ENGINE_H_

#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "core/domain.h"
#include "drivers/http_server.h"
#include "fakes/fake_weight_store.h"

namespace ebony {

struct fake_engine_options {
  backend_name name;
  data_centre_name data_centre;
  std::vector<mebibytes> accelerators;
  std::vector<service_name> services;
  software_version software;
  std::uint32_t slots = 8;  // requests that run concurrently
  // Time per token: the base, plus the part per running request.
  duration token_base = std::chrono::milliseconds(4);
  duration token_per_request = std::chrono::microseconds(400);
  // Time before the first token; a tenth of it for a cached prefix.
  duration prefill = std::chrono::milliseconds(30);
  duration service_time = std::chrono::milliseconds(5);
  std::size_t cached_prefixes = 64;  // capacity of the prefix cache
  bool checks_fencing = true;
  std::string order_key;  // empty: orders are accepted from any sender
};

// Faults injected by a test or benchmark.
struct fake_engine_faults {
  // Closes the connection after the token with this number, which a resumed
  // stream does not repeat; 0: never.
  std::uint32_t cut_after_tokens = 0;
  bool is_stalled = false;      // generates no tokens
  bool loses_orders = false;    // drops orders without an answer
  bool repeats_orders = false;  // applies duplicates of an order again
  bool cannot_resume = false;   // ignores Last-Event-ID
  std::uint32_t fail_next = 0;  // number of requests to answer with status 500
};

// A simulated model engine that also serves plain services. It batches
// continuously, caches prompt prefixes, schedules by priority, resumes and
// cancels streams, and executes orders. Each generated token contains the tag
// of the request, so that a caller can check that the answer is complete and
// belongs to its request. Thread-safe.
class fake_engine {
  struct running_request {
    exchange_pointer exchange;
    std::string tag;
    std::string model;
    int urgency = 3;
    bool is_stream = false;
    std::uint32_t tokens = 16;
    std::uint32_t next_token = 1;
    std::uint64_t prefix = 0;  // hash of the start of the body
    mono_time next_time;
    bool is_started = false;
    std::string text;
  };
  struct accelerator_state {
    mebibytes capacity;
    std::vector<resident> residents;
    order_id applied;
    order_id highest_order;
    std::optional<order> loading;
    mono_time loading_until;
    bool uses_store = false;  // the current load counts in the weight store
  };

  fake_engine_options options_;
  fake_weight_store& store_;
  incarnation run_;
  mutable std::mutex mutex_;
  std::uint64_t sequence_ = 0;
  std::vector<accelerator_state> accelerators_;
  std::list<running_request> running_;
  std::list<running_request> queued_;
  std::deque<std::uint64_t> prefixes_;
  std::map<std::string, int> runs_;
  std::uint64_t served_ = 0;
  std::uint64_t overfilled_ = 0;  // orders that exceeded the memory
  std::uint64_t loads_ = 0;
  std::uint64_t unloads_ = 0;
  fake_engine_faults faults_;
  bool is_leaving_ = false;
  std::vector<std::pair<mono_time, exchange_pointer>> service_calls_;

  auto HandleCompletion(http_request request, const exchange_pointer& exchange)
      -> void;
  auto HandleServiceCall(const http_request& request,
                         const exchange_pointer& exchange) -> void;
  auto HandleOrder(const http_request& request,
                   const exchange_pointer& exchange) -> void;
  auto ApplyOrder(accelerator_state& accelerator,
                  const order& next,
                  mono_time now) -> void;
  auto AdvanceLoads(mono_time now) -> void;
  auto StartQueued(mono_time now) -> void;
  auto AdvanceTokens(mono_time now) -> void;
  auto EmitToken(running_request& request) -> bool;
  auto IsModelResident(const std::string& model) const -> bool;
  auto GetLoadHeader() const -> std::string;

 public:
  fake_engine(fake_engine_options options,
              fake_weight_store& store,
              incarnation run);

  // Handles orders, completions and service calls.
  auto Handle(http_request request, const exchange_pointer& exchange) -> void;
  // Completes loads and generates the tokens that are due at `now`.
  auto Advance(mono_time now) -> void;
  // Returns the announcement to send, with the next sequence number.
  auto Announce(const host_port& address) -> backend_announcement;

  auto SetFaults(const fake_engine_faults& faults) -> void;
  auto SetLeaving(bool leaving) -> void;
  // Simulates a restart: empties the accelerators and aborts all requests. The
  // counters, injected faults and prefix cache are kept.
  auto Restart(incarnation run) -> void;

  // Counters that tests check.
  // Executions per idempotency key.
  auto get_runs() const -> std::map<std::string, int>;
  // Requests completed.
  auto get_served() const -> std::uint64_t;
  // Orders that required more memory than the accelerator has.
  auto get_overfilled() const -> std::uint64_t;
  // Orders that loaded or unloaded weights.
  auto get_loads() const -> std::uint64_t;
  auto get_unloads() const -> std::uint64_t;
  auto get_name() const -> const backend_name& { return options_.name; }
};

}  // namespace ebony

#endif  // EBONY_FAKES_FAKE_ENGINE_H_
