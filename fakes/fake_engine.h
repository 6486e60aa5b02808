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
  data_centre_name site;
  std::vector<mebibytes> accelerators;
  std::vector<service_name> services;
  std::uint32_t slots = 8;
  duration token_base = std::chrono::milliseconds(4);
  duration token_per_request = std::chrono::microseconds(400);
  duration prefill = std::chrono::milliseconds(30);
  duration service_time = std::chrono::milliseconds(5);
  std::size_t cached_prefixes = 64;
  bool checks_fencing = true;
  std::string order_key;  // empty: does not check who orders
};

// Faults that a test or a bench asks for.
struct fake_engine_faults {
  std::uint32_t cut_after_tokens = 0;  // cuts each stream there, once each
  bool is_stalled = false;
  bool loses_orders = false;
  bool repeats_orders = false;
  bool cannot_resume = false;
  std::uint32_t fail_next = 0;  // answers 500 this many times
};

// A stand-in for a model engine with plain services beside it: batches
// continuously, caches prompt prefixes, honours priorities, resumes and cancels
// streams, and takes orders. Each generated token names the request's own tag,
// so that a caller can check that the answer is whole and its own.
class fake_engine {
  struct running_request {
    exchange_pointer exchange;
    std::string tag;
    std::string model;
    int urgency = 3;
    bool is_stream = false;
    std::uint32_t tokens = 16;
    std::uint32_t next_token = 1;
    std::uint64_t prefix = 0;
    mono_time next_time;
    bool is_started = false;
    std::string text;
  };
  struct accelerator_state {
    mebibytes capacity;
    std::vector<resident> residents;
    order_id applied;
    order_id highest;
    std::optional<order> loading;
    mono_time loading_until;
    bool uses_store = false;
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
  std::uint64_t overfilled_ = 0;
  std::uint64_t loads_ = 0;
  std::uint64_t unloads_ = 0;
  fake_engine_faults faults_;
  bool is_leaving_ = false;
  std::vector<std::pair<mono_time, exchange_pointer>> service_calls_;

  auto Complete(http_request request, const exchange_pointer& exchange) -> void;
  auto CallService(const http_request& request,
                   const exchange_pointer& exchange) -> void;
  auto TakeOrder(const http_request& request, const exchange_pointer& exchange)
      -> void;
  auto ApplyOrder(accelerator_state& accelerator,
                  const order& next,
                  mono_time now) -> void;
  auto AdvanceLoads(mono_time now) -> void;
  auto StartQueued(mono_time now) -> void;
  auto AdvanceTokens(mono_time now) -> void;
  auto EmitToken(running_request& request) -> bool;
  auto HoldsModel(const std::string& model) const -> bool;
  auto GetLoadHeader() const -> std::string;

 public:
  fake_engine(fake_engine_options options,
              fake_weight_store& store,
              incarnation run);

  auto Handle(http_request request, const exchange_pointer& exchange) -> void;
  auto Advance(mono_time now) -> void;
  // Returns the announcement to post; each has a larger sequence.
  auto Announce(const host_port& address) -> backend_announcement;

  auto SetFaults(const fake_engine_faults& faults) -> void;
  auto SetLeaving(bool leaving) -> void;
  // Forgets everything, as a restart does.
  auto Restart(incarnation run) -> void;

  // What the judges ask.
  auto get_runs() const -> std::map<std::string, int>;
  auto get_served() const -> std::uint64_t;
  auto get_overfilled() const -> std::uint64_t;
  auto get_loads() const -> std::uint64_t;
  auto get_unloads() const -> std::uint64_t;
  auto get_name() const -> const backend_name& { return options_.name; }
};

}  // namespace ebony

#endif  // EBONY_FAKES_FAKE_ENGINE_H_
