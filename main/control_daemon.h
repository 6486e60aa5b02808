#ifndef EBONY_MAIN_CONTROL_DAEMON_H_
#define EBONY_MAIN_CONTROL_DAEMON_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/raft.h"
#include "control/control_state.h"
#include "control/entry_leases.h"
#include "control/failure_detector.h"
#include "control/order_dispatcher.h"
#include "control/placement.h"
#include "core/bounded_queue.h"
#include "core/metrics.h"
#include "drivers/disk_store.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/link.h"
#include "drivers/wakeup_event.h"
#include "drivers/worker_thread.h"
#include "main/address_list.h"
#include "schema/settings.pb.h"

namespace ebony {

// The control daemon: runs Raft and the control state on one thread, the core
// thread, and connects them to the disk, the links and HTTP.
class control_daemon {
  struct operator_call {
    http_request request;
    exchange_pointer exchange;
  };
  struct order_result {
    order_id id;
    // The call was answered or never sent, so no copy of it is in flight.
    bool is_settled = false;
  };
  using event = std::variant<inbound_frame, operator_call, order_result>;

  // An operator's call that waits for the outcome of its change.
  struct pending_change {
    exchange_pointer exchange;
    record_name record;  // empty for a change of a backend server
    bool wait_in_force = false;
    mono_time deadline;
    std::optional<change_outcome> outcome;
    // When this leader first saw a majority of the entries hold the change.
    std::optional<mono_time> accepted_at;
  };
  // A read or an entry's poll that waits until a quorum confirms this leader.
  struct pending_read {
    std::uint64_t round = 0;  // Raft confirmation round that it needs
    mono_time deadline;
    std::function<void()> serve;
    std::function<void()> reject;
  };
  // State that only the leader has. It is not persisted: each new leader starts
  // with a fresh one.
  struct leader_state {
    order_dispatcher orders;
    failure_detector detector;
    entry_leases leases;
    mono_time leading_since;
    std::map<backend_name, backend_announcement> reports;
    std::set<backend_name> proposed_backends;
    std::set<std::pair<backend_name, std::uint32_t>> proposed_resolutions;
    std::set<vm_name> proposed_schemas;
    std::set<node_id> joiners;
    std::map<model_name, double> demand;
    std::multimap<change_id, pending_change> changes;
    std::vector<pending_read> reads;
    std::vector<model_risk> risks;
    std::map<backend_name, mono_time> suspected_since;
    // A report arrived since order resolutions were last proposed.
    bool has_new_reports = true;
    // Token bucket that limits the rate of model loads.
    double load_tokens = 0;
    mono_time load_tokens_updated_at;
    mono_time next_placement;
    // Last log entry of the previous placement plan.
    log_index last_planned_index;
  };

  schema::control_settings settings_;
  metrics& metrics_;
  std::vector<link_peer> voters_;
  std::vector<vm_name> entries_;
  std::vector<api_key> operator_keys_;
  std::string order_key_;
  disk_store disk_;
  disk_identity identity_;
  std::mt19937_64 random_;
  control_state state_;
  std::unique_ptr<raft> raft_;
  std::unique_ptr<leader_state> leader_;
  log_index applied_;
  mono_time next_join_;
  wakeup_event wakeup_event_;
  bounded_queue<event> events_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> failed_{false};
  link link_;
  http_server http_;
  http_client client_;
  placement placement_;
  worker_thread core_thread_;

  // Run on the core thread.
  auto RunCore() -> void;
  auto HandleEvent(event item) -> void;
  auto OnFrame(const inbound_frame& inbound) -> void;
  auto OnPoll(const std::string& route, const schema::entry_poll& poll) -> void;
  auto OnReport(const vm_name& entry, const schema::backend_report& report)
      -> void;
  auto OnOrderResult(const order_result& result) -> void;
  auto ProcessReady() -> void;
  auto ApplyEntry(const log_entry& entry) -> void;
  auto MaybeCompact() -> void;
  auto UpdateLeadership() -> void;
  auto EndLeadership() -> void;
  auto RunLeaderTasks(mono_time now) -> void;
  auto ServeReads(mono_time now) -> void;
  auto RespondToChanges(mono_time now) -> void;
  auto ProposeResolutions(mono_time now) -> void;
  auto RunPlacement(mono_time now) -> void;
  auto RemoveLostBackends(mono_time now) -> void;
  auto DescribeRejection(const pending_change& change) const -> std::string;
  auto SendOrders(mono_time now) -> void;
  auto PlanMembershipChange() -> void;
  auto ProposeMembership(const membership& next, const node_id& joiner) -> void;
  auto Propose(const control_command& command) -> bool;
  auto SendJoinRequest(mono_time now) -> void;
  auto PublishMetrics() -> void;

  // Operators' calls. OnHttp runs on the HTTP server's thread, all others on
  // the core thread.
  auto OnHttp(http_request request, const exchange_pointer& exchange) -> void;
  auto OnOperatorCall(const operator_call& call) -> void;
  auto StartChange(const operator_call& call,
                   const change_id& id,
                   const record_name& record,
                   const control_command& command) -> void;
  auto EnqueueRead(const operator_call& call) -> void;
  auto RenderStatus() const -> std::string;
  auto RenderRecords() const -> std::string;
  auto RenderRecord(const record_name& name) const -> std::string;
  auto RenderModel(const model_name& name) const -> std::string;
  auto GetLeaderVm() const -> std::string;

 public:
  // Throws settings_error for invalid settings and unusable key files.
  control_daemon(schema::control_settings settings, metrics& counters);
  ~control_daemon();

  // Creates the data folder of a voter of a new control group. Throws
  // ebony_error when it already has an identity.
  static auto InitDataFolder(const schema::control_settings& settings) -> void;

  // Loads the data folder and starts all threads. Throws settings_error for an
  // empty folder without --join.
  auto Start() -> void;
  // Stops all threads and waits for them. Later calls do nothing.
  auto Stop() -> void;
  // True when the core thread ended because of an error, such as a failed disk.
  auto is_failed() const -> bool { return failed_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_CONTROL_DAEMON_H_
