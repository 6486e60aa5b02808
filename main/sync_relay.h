#ifndef EBONY_MAIN_SYNC_RELAY_H_
#define EBONY_MAIN_SYNC_RELAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "control/load_totals.h"
#include "core/ids.h"
#include "main/registry_replica.h"
#include "schema/site.pb.h"

namespace ebony {

// Answers the syncs of some gateways for the leader, so that the leader's work
// does not grow with their number: it tells them what the leader said last, and
// the leader what they said since, all in one message. Without fresh word from
// the leader it speaks for nobody.
class sync_relay {
  struct served_gateway {
    schema::relayed_gateway_row row;
    mono_time heard;
  };
  using demand_place = std::tuple<std::string, std::string, std::string>;

  std::string vm_;
  registry_replica roster_;
  std::map<vm_name, served_gateway> gateways_;
  std::map<demand_place, schema::demand_row> demands_;
  load_totals own_;       // of the gateways served here
  load_report reported_;  // of these, in the exchange under way
  load_report others_;    // of all other gateways, at the last exchange
  std::uint32_t gateway_count_ = 0;
  mono_time answered_;
  bool has_answer_ = false;
  bool has_unserved_demand_ = false;  // a request waits for a model or adapter

  auto GetSource() const -> std::string;
  auto RecordLoads(const schema::sync_request& request, mono_time now) -> void;
  auto RecordDemands(const schema::sync_request& request) -> void;

 public:
  // As many gateways sync with the leader itself.
  static constexpr std::uint32_t kMaxDirectGateways = 24;
  // The leader's word is no longer fresh after this time.
  static constexpr duration kLeaderTimeout = std::chrono::milliseconds(700);
  // A gateway that was not heard for this long is served by somebody else.
  static constexpr duration kGatewayTimeout = std::chrono::milliseconds(1500);

  explicit sync_relay(const vm_name& vm);

  // Whether gateways may be answered: they are too many for the leader, and its
  // word is fresh.
  auto IsCurrent(mono_time now) const -> bool;
  auto HasGateways() const -> bool { return !gateways_.empty(); }
  // What the leader should hear soon.
  auto HasUnservedDemand() const -> bool { return has_unserved_demand_; }

  // A gateway's sync: takes what it says, and fills in what it asks for, but
  // for the configuration.
  auto HandleGatewaySync(const schema::sync_request& request, mono_time now)
      -> void;
  auto FillGatewayAnswer(const schema::sync_request& request,
                         schema::sync_answer& answer,
                         mono_time now) -> void;

  // This relay's own sync with the leader.
  auto FillLeaderRequest(schema::sync_request& request, mono_time now) -> void;
  auto ApplyLeaderAnswer(const schema::sync_answer& answer, mono_time now)
      -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_SYNC_RELAY_H_
