#ifndef EBONY_ENTRY_ADMISSION_POLICY_H_
#define EBONY_ENTRY_ADMISSION_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/site_config.h"
#include "entry/pending_queue.h"
#include "entry/smoothed_rate.h"

namespace ebony {

// What a decision about a request depends on, apart from the load.
struct admission_terms {
  service_name service;
  model_name model;
  // Requests of one kind are compared with those of the others, so that none
  // starves.
  std::pair<route_name, organisation_name> kind;
  int rank = 0;             // 0 is the most urgent
  bool is_patient = false;  // see objective_ranges
  mono_time arrived_at;
  duration objective{0};
  // The earlier of the deadline and the time at which the caller is assumed to
  // abandon the request.
  mono_time give_up_at;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;
};

// What is known of the servers that could execute a request.
struct admission_room {
  bool has_room = false;
  // Hardly any room is left at the server that the request would start at.
  bool is_last_room = false;
  // Expected time until the first of them holds the model.
  duration load_time{0};
};

enum class admission_action { start, wait, refuse };

struct admission_decision {
  admission_action action = admission_action::start;
  queue_order order;          // among the requests that wait
  mono_time until;            // `wait`: when to decide again
  duration expected_wait{0};  // `refuse`: until there may be room
};

// Decides which requests for a service wait or are refused when there is not
// room for all, so that the sum over the callers of what being late or refused
// costs them is low. The rank stands for the value of an answer in time.
// Requests are served in this order:
// - those of a kind that gets less than a quarter of its share;
// - those that can meet their objective: by latest start, which a less urgent
//   rank puts off, and work;
// - patient ones, as long as they have slack;
// - those that have missed their objective: by rank and work.
// A patient request leaves the last room of a server to the others as long as
// it has slack.
class admission_policy {
  // Requests of one model, or of a service.
  struct queue_state {
    smoothed_rate started;
    // Number by the rank of their order and their own rank.
    std::map<std::pair<int, int>, std::size_t> waiting;

    queue_state();
  };
  struct kind_state {
    smoothed_rate started;
    smoothed_rate refused;

    kind_state();
    auto GetServedPart(mono_time now) const -> double;
  };
  struct service_state {
    queue_state all;
    std::map<model_name, queue_state> models;
    kind_state all_kinds;
    std::map<std::pair<route_name, organisation_name>, kind_state> kinds;
    // Mean time of servers to the first bytes, by route.
    std::map<route_name, duration> start_times;
  };

  std::map<service_name, service_state> services_;

  auto Find(const service_name& service) const -> const service_state*;
  // Returns the time that a server is assumed to take to the first bytes, or
  // std::nullopt if none has been measured.
  auto GetStartTime(const admission_terms& terms) const
      -> std::optional<duration>;
  // Returns the time from which an answer would come after the caller has left.
  auto GetUselessFrom(const admission_terms& terms) const -> mono_time;
  auto GetYieldEnd(const admission_terms& terms) const -> mono_time;
  auto GetOrder(const admission_terms& terms, mono_time now) const
      -> queue_order;

 public:
  // A request that could not start has been queued in this order for want of
  // room.
  auto OnQueued(const admission_terms& terms, const queue_order& order) -> void;
  auto OnLeftQueue(const admission_terms& terms, const queue_order& order)
      -> void;
  auto OnStarted(const admission_terms& terms, mono_time now) -> void;
  // The request has ended without being sent to a server.
  auto OnRefused(const admission_terms& terms, mono_time now) -> void;
  // A server took this time to its first bytes.
  auto OnAnswered(const admission_terms& terms, duration time) -> void;

  // Decides what happens now to a request that could start or wait.
  auto Decide(const admission_terms& terms,
              const admission_room& room,
              mono_time now) const -> admission_decision;
  // Returns true if a request leaves the room that there is to others.
  auto MustYield(const admission_terms& terms,
                 const admission_room& room,
                 mono_time now) const -> bool;
  // Returns true if the kind was served less than a quarter as often as all.
  auto IsStarved(const admission_terms& terms, mono_time now) const -> bool;
  // Returns the latest time at which the request can start to meet its
  // objective.
  auto GetLatestStart(const admission_terms& terms) const -> mono_time;
  // Returns the time until which the request waits for room.
  auto GetLastStart(const admission_terms& terms) const -> mono_time;
  // Returns the numbers that an expected wait is the sum of, at most.
  auto CountPlaces(const service_name& service) const -> std::size_t;
  // Returns the expected wait of a request that is queued with this rank, or
  // std::nullopt if too few requests have started lately to tell.
  auto GetExpectedWait(const admission_terms& terms,
                       int order_rank,
                       mono_time now) const -> std::optional<duration>;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ADMISSION_POLICY_H_
