#ifndef EBONY_TESTS_LIMIT_HARNESS_H_
#define EBONY_TESTS_LIMIT_HARNESS_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "control/permit_allocator.h"
#include "control/permit_relay.h"
#include "entry/server_permits.h"

namespace ebony::testing {

struct limit_site_options {
  std::size_t gateways = 7;
  std::size_t relays = 0;  // 0: the gateways sync with the leader
  double limit = 1.6;      // requests a second
  // Requests that arrive at all gateways, in times the limit.
  double demand = 3;
  duration sync_interval = std::chrono::milliseconds(50);
  double lost_syncs = 0;  // share of the syncs whose answer is lost
  unsigned seed = 1;
};

// Gateways that share the limit of one server through a leader and relays, in
// simulated time. Requests wait for a permit as long as a gateway queues them.
class limit_site {
  struct gateway {
    std::unique_ptr<server_permits> permits;
    std::deque<mono_time> queue;  // arrivals of the waiting requests
    mono_time next_sync;
    bool is_cut = false;  // from the leader and the relays
  };
  struct relay {
    permit_relay permits;
    mono_time next_sync;
  };

  limit_site_options options_;
  std::mt19937 random_;
  mono_time now_{std::chrono::hours(1)};
  std::vector<gateway> gateways_;
  std::vector<relay> relays_;
  permit_allocator leader_;
  bool has_leader_ = true;
  std::optional<double> named_;  // by the server's answers
  // In the leader's registry, which its successor has a copy of.
  request_limit registered_;
  std::vector<mono_time> sent_;

  auto TakeReports(gateway& item) -> std::vector<permit_report>;
  auto IsDrawn(double probability) -> bool;
  auto MakePermits() -> std::unique_ptr<server_permits>;
  auto LearnLimit(const permit_report& report) -> void;
  auto GetReachableShare() const -> double;
  auto SyncWithLeader(gateway& item, std::size_t number) -> void;
  auto SyncWithRelay(gateway& item, std::size_t number) -> void;
  auto SyncRelay(relay& item, std::size_t number) -> void;
  auto SendWaiting(gateway& item) -> void;
  auto Step() -> void;

 public:
  static const backend_name kServer;

  explicit limit_site(const limit_site_options& options);

  // Sets what the server's answers say from now on.
  auto NameLimit(std::optional<double> limit) -> void { named_ = limit; }
  auto RunFor(duration time) -> void;
  // The present leader stops. `StartLeader` starts one that knows no permits.
  auto StopLeader() -> void { has_leader_ = false; }
  auto StartLeader() -> void;
  // The same, with what its copy of the registry says of the limit.
  auto StartLeader(const request_limit& copy) -> void;
  auto CutOff(std::size_t number, bool is_cut) -> void {
    gateways_.at(number).is_cut = is_cut;
  }
  // A gateway's process is killed and starts again at once.
  auto RestartGateway(std::size_t number) -> void;

  // Returns the most requests that the server got in any 4 s after `since`.
  auto GetMostIn4Seconds(mono_time since) const -> std::size_t;
  // Returns the requests a second that the server got since then.
  auto GetRate(mono_time since) const -> double;
  // Returns true once the leader knows the limit.
  auto IsRegistered() const -> bool { return registered_.rate.has_value(); }
  // What the leader lists of the server's limit.
  auto get_registered() const -> const request_limit& { return registered_; }
  auto get_now() const -> mono_time { return now_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_LIMIT_HARNESS_H_
