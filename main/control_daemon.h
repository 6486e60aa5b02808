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
#include "core/bounded_ring.h"
#include "core/metrics.h"
#include "drivers/disk_store.h"
#include "drivers/duty_thread.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/link.h"
#include "drivers/wake_event.h"
#include "main/address_list.h"
#include "schema/settings.pb.h"

namespace ebony {

// The control daemon: a thin shell that runs the consensus and the control
// state on one thread and joins them to disk, links and HTTP.
class control_daemon {
  struct operator_call {
    http_request request;
    exchange_pointer exchange;
  };
  struct order_result {
    order_id id;
    bool consumed = false;  // no copy of this send is under way any more
  };
  using event = std::variant<inbound_frame, operator_call, order_result>;

  // A change that an operator waits for.
  struct pending_change {
    exchange_pointer exchange;
    record_name record;  // empty where the change is of no record
    bool wait_in_force = false;
    mono_time deadline;
    std::optional<change_outcome> outcome;
    std::optional<mono_time> accepted;
  };
  // A read or an entry's poll that waits until this leader is confirmed.
  struct pending_read {
    std::uint64_t round = 0;
    mono_time deadline;
    std::function<void()> serve;
    std::function<void()> refuse;
  };
  // What a leader keeps in memory only; a new leader starts it anew.
  struct leader_duty {
    order_dispatcher orders;
    failure_detector watch;
    entry_leases leases;
    mono_time since;
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
    bool has_news = true;  // a report came since resolutions were looked for
    double load_tokens = 0;
    mono_time tokens_at;
    mono_time next_placement;
    log_index planned_up_to;
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
  std::unique_ptr<leader_duty> leader_;
  log_index applied_;
  mono_time next_join_;
  wake_event wake_;
  bounded_ring<event> events_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> failed_{false};
  link link_;
  http_server http_;
  http_client client_;
  placement placement_;
  duty_thread core_;

  // The core thread.
  auto RunCore() -> void;
  auto Handle(event item) -> void;
  auto OnFrame(const inbound_frame& inbound) -> void;
  auto OnPoll(const std::string& route, const schema::entry_poll& poll) -> void;
  auto OnReport(const vm_name& entry, const schema::backend_report& report)
      -> void;
  auto OnOrderResult(const order_result& result) -> void;
  auto ProcessReady() -> void;
  auto ApplyEntry(const log_entry& entry) -> void;
  auto MaybeCompact() -> void;
  auto UpdateLeaderDuty() -> void;
  auto DropLeaderDuty() -> void;
  auto RunLeaderDuties(mono_time now) -> void;
  auto ServeReads(mono_time now) -> void;
  auto AnswerChanges(mono_time now) -> void;
  auto ProposeResolutions(mono_time now) -> void;
  auto RunPlacement(mono_time now) -> void;
  auto ForgetLostBackends(mono_time now) -> void;
  auto DescribeRefusal(const pending_change& change) const -> std::string;
  auto SendOrders(mono_time now) -> void;
  auto RunMembership() -> void;
  auto Propose(const control_command& command) -> bool;
  auto SendJoinRequest(mono_time now) -> void;
  auto PublishMetrics() -> void;

  // Operators' calls.
  auto OnHttp(http_request request, const exchange_pointer& exchange) -> void;
  auto OnOperatorCall(const operator_call& call) -> void;
  auto StartChange(const operator_call& call,
                   const change_id& id,
                   const record_name& record,
                   const control_command& command) -> void;
  auto AnswerRead(const operator_call& call) -> void;
  auto RenderStatus() const -> std::string;
  auto RenderRecords() const -> std::string;
  auto RenderRecord(const record_name& name) const -> std::string;
  auto RenderModel(const model_name& name) const -> std::string;
  auto GetLeaderVm() const -> std::string;

 public:
  control_daemon(schema::control_settings settings, metrics& counters);
  ~control_daemon();

  // Creates the data folder of a new group's voter.
  static auto InitDataFolder(const schema::control_settings& settings) -> void;

  auto Start() -> void;
  auto Stop() -> void;
  // True when the daemon stopped by itself because its disk failed.
  auto is_failed() const -> bool { return failed_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_CONTROL_DAEMON_H_
