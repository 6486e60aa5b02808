#ifndef EBONY_MAIN_SYNC_RELAY_H_
#define EBONY_MAIN_SYNC_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "control/load_totals.h"
#include "control/permit_relay.h"
#include "control/relay_shedder.h"
#include "core/ids.h"
#include "core/permit_report.h"
#include "core/service_samples.h"
#include "main/registry_replica.h"
#include "main/software_replica.h"
#include "main/stored_config.h"
#include "schema/site.pb.h"

namespace ebony {

// Fills in the number of a configuration, and the configuration if it is newer
// than the requesting daemon's.
auto AddConfig(const schema::sync_request& request,
               const stored_config& config,
               schema::sync_answer& answer) -> void;

// Answers syncs of gateways on behalf of the leader, so that the leader's load
// does not grow with the number of gateways. Gateways are answered from the
// leader's last answer, and their reports are aggregated into the relay's own
// sync with the leader. A relay whose last answer is stale serves no gateway.
class sync_relay {
  struct served_gateway {
    schema::relayed_gateway_row row;
    mono_time last_sync;
  };
  using demand_id = std::tuple<std::string, std::string, std::string>;

  std::string vm_;
  registry_replica registry_;
  software_replica software_;
  std::map<vm_name, served_gateway> gateways_;
  std::map<demand_id, schema::demand_row> demands_;
  load_totals own_loads_;  // of the gateways served here
  // The loads above as sent in the latest sync with the leader.
  load_totals reported_loads_;
  // Loads of all other gateways, from the leader's last answer.
  load_report other_loads_;
  // Servers that gateways could not connect to, since the latest sync.
  std::set<backend_name> unreachable_;
  first_event_sums first_events_;  // since the latest sync
  permit_relay permits_;
  bool has_permits_ = false;  // the leader's last answer was sure to lead
  std::uint32_t gateway_count_ = 0;
  host_port own_link_;  // at which gateways reach this relay
  relay_shedder shedder_;
  mono_time last_answer_;
  bool has_answer_ = false;
  // The newest configuration that the leader sent; its copy here may be newer
  // than the one that this coordinator has replicated itself.
  stored_config config_;
  bool states_config_ =
      false;  // the leader's last answer says what it confirms
  // At that time, nothing newer than this number had been acknowledged.
  config_number confirmed_number_;
  mono_time confirmed_at_;
  // A request for a model or adapter that no server holds was reported since
  // the latest sync with the leader.
  bool has_unserved_demand_ = false;

  auto GetSource() const -> std::string;
  auto GetNewest(const stored_config& own) const -> const stored_config& {
    return config_.number > own.number ? config_ : own;
  }
  // Returns the load of all gateways.
  auto GetTotalLoads() const -> load_report;
  auto AddUnlistedLimits(std::vector<permit_report>& reports) const -> void;
  auto RecordLoads(const schema::sync_request& request, mono_time now) -> void;
  auto RecordDemands(const schema::sync_request& request) -> void;

 public:
  // Up to this many gateways sync with the leader directly.
  static constexpr std::uint32_t kMaxDirectGateways = 24;
  // The leader's last answer is stale after this time.
  static constexpr duration kLeaderTimeout = std::chrono::milliseconds(700);
  // A gateway that has not synced here for this long is dropped, since another
  // coordinator serves it by now.
  static constexpr duration kGatewayTimeout = std::chrono::milliseconds(1500);

  // `vm` is the VM of this coordinator. `random` returns a number in
  // [0, bound).
  sync_relay(const vm_name& vm,
             std::function<std::uint64_t(std::uint64_t)> random);

  // Returns true if this relay may answer gateways: there are more of them than
  // the leader serves directly, and the leader's last answer is not stale.
  auto CanServeGateways(mono_time now) const -> bool;
  // The latest copy of the leader's registry.
  auto get_registry() const -> const backend_registry& {
    return registry_.get_registry();
  }
  // Takes the departure of a server that an earlier run knew of, so that it is
  // known here if this coordinator becomes the leader.
  auto RestoreDeparture(const backend_record& record, mono_time now) -> void {
    registry_.RestoreDeparture(record, now);
  }
  auto HasGateways() const -> bool { return !gateways_.empty(); }
  // Returns true if the next sync with the leader should not wait for the
  // regular interval, because a model or adapter is missing.
  auto HasUnservedDemand() const -> bool { return has_unserved_demand_; }

  // Records the state, loads and demands that a gateway reports, and said at
  // `said_at` or later.
  auto HandleGatewaySync(const schema::sync_request& request,
                         mono_time now,
                         mono_time said_at) -> void;
  // Fills in the configuration, the newer one of the leader's and `own`, and
  // whether it is confirmed.
  auto FillConfig(const schema::sync_request& request,
                  const stored_config& own,
                  schema::sync_answer& answer,
                  mono_time now) const -> void;
  // Fills in the answer to a gateway's sync, except for the configuration.
  auto FillGatewayAnswer(const schema::sync_request& request,
                         schema::sync_answer& answer,
                         mono_time now) -> void;

  // Builds this relay's own sync with the leader from the gateways' reports,
  // and drops gateways that have not synced within `kGatewayTimeout`.
  auto FillLeaderRequest(schema::sync_request& request, mono_time now) -> void;
  // Tells the leader which configuration is known here, `own` or a newer one.
  auto RequestConfig(schema::sync_request& request,
                     const stored_config& own) const -> void;
  // Takes the configuration from the leader's answer to a request that was sent
  // at `sent_at`.
  auto ApplyConfig(const schema::sync_answer& answer, mono_time sent_at)
      -> void;
  // Applies the leader's answer to the request built last.
  auto ApplyLeaderAnswer(const schema::sync_answer& answer, mono_time now)
      -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_SYNC_RELAY_H_
