#ifndef EBONY_ENTRY_ROUTER_H_
#define EBONY_ENTRY_ROUTER_H_

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

#include "entry/routing_table.h"

namespace ebony {

// How the router chooses; the others are baselines to measure against.
enum class routing_policy { expected_wait, least_outstanding, round_robin };

struct router_options {
  routing_policy policy = routing_policy::expected_wait;
  data_centre_name local_data_centre;
  // Candidates that are sampled for one choice, against herding.
  std::size_t samples = 2;
  bool use_reports = true;
  bool use_prefix_hints = true;
  bool use_distance = true;
  duration remote_penalty = std::chrono::milliseconds(2);
  duration report_decay = std::chrono::milliseconds(2000);
  duration prefix_decay = std::chrono::seconds(60);
  // Share of the service time that a cached prefix saves.
  double prefix_saving = 0.3;
  // Requests per slot that may be sent before a request waits here instead.
  double overcommit = 1.25;
  double urgent_overcommit = 2.0;
  int failures_to_eject = 3;
  duration eject_min = std::chrono::milliseconds(500);
  duration eject_max = std::chrono::seconds(30);
};

// What one choice is about.
struct route_query {
  const std::vector<const backend_route*>* candidates = nullptr;
  model_name model;
  adapter_name adapter;
  priority_class priority = priority_class::interactive;
  std::uint64_t prefix_hash = 0;                  // 0: none
  const std::set<backend_name>* avoid = nullptr;  // tried before
};

enum class route_verdict { chosen, all_busy, none_usable };

struct route_choice {
  route_verdict verdict = route_verdict::none_usable;
  const backend_route* backend = nullptr;
};

// Chooses a backend server by the expected time to its first token, from what
// this entry itself has sent, lagging load reports, hints on cached prompt
// prefixes, distance and health.
class router {
 public:
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

 private:
  struct backend_load {
    incarnation run;
    std::uint32_t own = 0;  // requests of this entry under way
    double others = 0;      // requests of others at the last report
    mono_time reported;
    double service_seconds = 0.2;  // smoothed time of one request
    int failures = 0;              // in a row
    mono_time ejected_until;
    duration next_ejection{0};
    bool leaving = false;
  };
  struct prefix_hint {
    backend_name backend;
    mono_time used;
  };

  router_options options_;
  random_source random_;
  std::unordered_map<backend_name, backend_load> loads_;
  std::unordered_map<std::uint64_t, prefix_hint> prefixes_;
  std::uint64_t next_index_ = 0;

  auto IsUsable(const backend_route& backend,
                const route_query& query,
                mono_time now) -> bool;
  auto GetLoad(const backend_route& backend) -> backend_load&;
  auto EstimateLoad(const backend_load& load, mono_time now) const -> double;
  auto HasCapacity(const backend_route& backend,
                   priority_class priority,
                   mono_time now) -> bool;
  auto Score(const backend_route& backend,
             const route_query& query,
             mono_time now) -> double;
  auto FindHinted(const std::vector<const backend_route*>& usable,
                  const route_query& query,
                  mono_time now) const -> const backend_route*;
  auto Sample(const std::vector<const backend_route*>& usable,
              const route_query& query,
              mono_time now) -> const backend_route*;

 public:
  router(router_options options, random_source random);

  auto Choose(const route_query& query, mono_time now) -> route_choice;

  // What this entry does.
  auto OnSent(const backend_route& backend,
              std::uint64_t prefix_hash,
              mono_time now) -> void;
  auto OnFinished(const backend_name& backend, duration service) -> void;
  auto OnEnded(const backend_name& backend) -> void;
  // Returns true when the failure ejects the backend server.
  auto OnFailed(const backend_name& backend, mono_time now) -> bool;

  // What others say.
  auto OnReport(const backend_name& backend,
                incarnation run,
                std::uint32_t running,
                std::uint32_t queued,
                mono_time now) -> void;
  auto SetLeaving(const backend_name& backend, bool leaving) -> void;

  // Smoothed time of one request, over the candidates.
  auto GetServiceTime(const std::vector<const backend_route*>& candidates)
      -> duration;
  auto Prune(const routing_table& table, mono_time now) -> void;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ROUTER_H_
