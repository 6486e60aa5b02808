#ifndef EBONY_ENTRY_ROUTER_H_
#define EBONY_ENTRY_ROUTER_H_

#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

#include "entry/routing_table.h"
#include "entry/server_pauses.h"
#include "entry/server_permits.h"

namespace ebony {

// `expected_wait` is the regular policy. The others are baselines for
// measurements.
enum class routing_policy { expected_wait, least_outstanding, round_robin };

struct router_options {
  routing_policy policy = routing_policy::expected_wait;
  data_centre_name local_data_centre;
  // Candidates sampled for each choice. Comparing all of them would make every
  // entry choose the same server.
  std::size_t samples = 2;
  bool use_reports = true;
  bool use_prefix_hints = true;
  bool use_distance = true;
  // Added to the expected wait at servers in other data centres.
  duration remote_penalty = std::chrono::milliseconds(2);
  // Time constants of the exponential decay of load reports and prefix hints.
  duration report_decay = std::chrono::milliseconds(2000);
  duration prefix_decay = std::chrono::seconds(60);
  // Fraction of the service time that a cached prefix saves.
  double prefix_saving = 0.3;
  // Requests per slot in flight at a server, above which further requests are
  // queued at the entry.
  double overcommit = 1.25;
  double urgent_overcommit = 2.0;
  int failures_to_eject = 3;  // consecutive failures
  // Bounds of the ejection time, which doubles with each ejection in a row.
  duration eject_min = std::chrono::milliseconds(500);
  duration eject_max = std::chrono::seconds(30);
};

// Requirements of the request to route.
struct route_query {
  const std::vector<const backend_route*>* candidates = nullptr;
  model_name model;
  adapter_name adapter;
  priority_class priority = priority_class::interactive;
  std::uint64_t prefix_hash = 0;                  // 0: none
  const std::set<backend_name>* avoid = nullptr;  // tried before; may be null
  // Set for a stream that has begun: the version that may go on with it.
  const software_version* software = nullptr;
};

enum class route_verdict {
  chosen,
  all_busy,     // every usable backend server is at its capacity
  none_usable,  // no backend server can execute the request now
};

struct route_choice {
  route_verdict verdict = route_verdict::none_usable;
  const backend_route* backend = nullptr;  // set for `chosen`
};

// Chooses the backend server with the lowest expected time to first token. The
// estimate uses the requests in flight from this entry, the load reports of the
// servers (which lag), hints on cached prompt prefixes, the data centre and the
// health of the server.
class router {
 public:
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;

 private:
  struct backend_load {
    incarnation run;
    std::uint32_t own_requests = 0;  // requests in flight from this entry
    double other_requests = 0;       // other requests at the last report
    mono_time reported;
    double service_seconds = 0.2;  // moving average of the service time
    int failures = 0;              // consecutive
    mono_time ejected_until;
    duration next_ejection{0};
    bool leaving = false;
    bool has_said_leaving = false;  // in a response, whatever it announces
  };
  struct prefix_hint {
    backend_name backend;
    mono_time used;
  };

  router_options options_;
  random_source random_;
  // An entry has no coordinator that grants permits, so it uses its own share.
  server_permits permits_;
  server_pauses pauses_;
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
  auto FindPrefixHolder(const std::vector<const backend_route*>& usable,
                        const route_query& query,
                        mono_time now) const -> const backend_route*;
  auto ChooseBySample(const std::vector<const backend_route*>& usable,
                      const route_query& query,
                      mono_time now) -> const backend_route*;

 public:
  router(router_options options, random_source random);

  // Chooses a backend server among the candidates of the query.
  auto Choose(const route_query& query, mono_time now) -> route_choice;

  // Events of the requests of this entry. `OnSent` is followed by `OnEnded`,
  // and additionally by `OnFinished` or `OnFailed` when the attempt gives
  // evidence of the health of the server.
  auto OnSent(const backend_route& backend,
              std::uint64_t prefix_hash,
              mono_time now) -> void;
  auto OnFinished(const backend_name& backend, duration service) -> void;
  auto OnEnded(const backend_name& backend) -> void;
  // Returns true when the failure ejects the backend server.
  auto OnFailed(const backend_name& backend, mono_time now) -> bool;

  // Handles a load report of a run of a backend server; `running` and `queued`
  // are counts of requests. Reports of earlier runs are ignored.
  auto OnReport(const backend_name& backend,
                incarnation run,
                std::uint32_t running,
                std::uint32_t queued,
                mono_time now) -> void;
  // Sets whether a backend server is shutting down. Such a server receives no
  // further requests.
  auto SetLeaving(const backend_name& backend, bool leaving) -> void;

  // A run of a server said in a response that it is about to stop. Returns true
  // if that was not known.
  auto OnSaidLeaving(const backend_route& backend) -> bool;
  // The pauses that servers asked this entry for.
  auto get_pauses() -> server_pauses& { return pauses_; }
  // The limits that servers name for all entries together.
  auto get_permits() -> server_permits& { return permits_; }
  // Returns the mean service time of the candidates.
  auto GetServiceTime(const std::vector<const backend_route*>& candidates)
      -> duration;
  // Drops the state of servers that are no longer in `table` and expired hints.
  auto Prune(const routing_table& table, mono_time now) -> void;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ROUTER_H_
