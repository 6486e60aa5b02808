// What a gateway reports to the coordinators, and what it takes from their
// answers.

#include <cmath>
#include <utility>

#include "codec/handover_codec.h"
#include "codec/quota_codec.h"
#include "codec/site_codec.h"
#include "drivers/compression.h"
#include "main/gateway_daemon.h"
#include "platform/config_codec.h"

namespace ebony {

namespace {

// Interval in which a relay gets the loads of the other gateways.
constexpr duration kRelayDelay = std::chrono::milliseconds(100);

}  // namespace

auto gateway_daemon::MakeRequest() -> schema::sync_request {
  auto request = schema::sync_request();
  request.set_vm(settings_.vm.get());
  request.set_incarnation(incarnation_.get());
  request.set_caller_address(settings_.caller_address.get());
  request.set_data_centre(settings_.data_centre.get());
  request.set_ready(is_ready());
  request.set_have_config(
      route_table_ == nullptr ? 0 : route_table_->get_config().number.get());
  request.set_millicores(
      static_cast<std::uint32_t>(std::lround(settings_.core_share * 1000)));
  request.set_memory_mb(settings_.memory_mb);
  request.set_peer_port(GetPort(settings_.peer_address));
  request.set_reaches_no_server(paths_.is_closed());
  request.set_have_peers(peers_digest_);
  registry_.FillRequest(request);
  versions_.FillRequest(request);
  for (const auto& [id, load] : selector_.TakeLoadReport()) {
    AddLoad(*request.mutable_loads(), registry_.get_index().GetNumber(id),
            static_cast<std::uint32_t>(load.requests),
            static_cast<std::uint64_t>(load.tokens));
  }
  for (const auto& id : selector_.TakeUnreachable()) {
    const auto number = registry_.get_index().GetNumber(id);
    if (number != 0 && !paths_.is_closed()) {
      request.add_unreachable(number);
    }
  }
  const auto now = loop_.get_now();
  const auto is_known = [this](const backend_name& id) {
    return registry_.get_registry().Find(id) != nullptr;
  };
  permits_.Prune(is_known);
  pauses_.Prune(is_known);
  pace_.Prune(is_known);
  const auto speeds = pace_.ListSpeeds(now);
  selector_.SetSpeeds(speeds);
  speeds_shown_.Update(speeds, metrics_, now);
  metrics_.Set("ebony_paused_servers", static_cast<double>(pauses_.get_size()));
  const auto get_in_flight = [this](const backend_name& id) {
    return selector_.GetOwnRequests(id);
  };
  const auto get_listed = [this](const backend_name& id) {
    return registry_.GetListedLimit(id);
  };
  for (const auto& report :
       permits_.TakeReports(get_in_flight, get_listed, now)) {
    AddPermitRequest(request, report, registry_.get_index(), now);
  }
  const auto streams = origins_.TakeReport(now);
  for (const auto& [origin, keys] : streams.begun) {
    AddBegunStreams(*request.add_begun_streams(), origin, keys);
  }
  for (const auto& key : streams.questions) {
    request.add_origin_questions(key.get());
  }
  crash_uplink_.FillRequest(request, now);
  AddQuotaReports(request, quotas_.TakeReports(quota_gate_.GetWanted(), now));
  AddTrials(*request.add_trials(), settings_.vm, guard_.TakeWanted(now));
  metrics_.Set("ebony_quarantined_keys",
               static_cast<double>(guard_.get_ledger().CountQuarantined(now)));
  metrics_.Set("ebony_limited_servers",
               static_cast<double>(permits_.get_limited_servers()));
  for (const auto& [key, count] : demand_) {
    auto* row = request.add_demands();
    row->set_service(std::get<service_name>(key).get());
    row->set_model(std::get<model_name>(key).get());
    row->set_adapter(std::get<adapter_name>(key).get());
    row->set_arrived(count.arrived);
    row->set_refused(count.unserved);
    row->set_prompt_tokens(count.prompt_tokens);
    row->set_ended(count.ended);
    row->set_busy_ms(count.busy_ms);
  }
  *request.mutable_first_events() =
      ToSchema(std::exchange(first_events_, first_event_sums()));
  demand_.clear();
  return request;
}

auto gateway_daemon::ApplyConfig(const schema::sync_answer& answer) -> void {
  if (answer.config().empty()) {
    return;
  }
  const auto current = route_table_ == nullptr
                           ? config_number()
                           : route_table_->get_config().number;
  if (answer.config_number() <= current.get()) {
    return;
  }
  try {
    route_table_ = std::make_shared<const route_table>(platform::DecodeConfig(
        Inflate({answer.config(), answer.config_bytes()})));
    const auto& organisations = route_table_->get_config().organisations;
    keys_ = std::make_shared<const organisation_keys>(organisations, random_());
    quotas_.SetQuotas(organisations);
    log_.Write(event_category::state, "config_applied",
               {{"number", static_cast<std::int64_t>(answer.config_number())},
                {"former", static_cast<std::int64_t>(current.get())},
                {"routes", static_cast<std::int64_t>(
                               route_table_->get_config().routes.size())},
                {"from", link_.get_peer().get()},
                {"relay", answer.is_relay() ? "yes" : "no"},
                {"silent_ms", link_.GetSilence()}});
  } catch (const ebony_error& error) {
    log_.Write(event_category::state, "config_unreadable",
               {{"error", error.what()}});
  }
}

auto gateway_daemon::RecordConfirmation(const schema::sync_answer& answer)
    -> void {
  const auto is_sure = !answer.states_config() || answer.confirms_config();
  const auto is_newest =
      route_table_ != nullptr &&
      route_table_->get_config().number.get() >= answer.config_number();
  if (is_sure && is_newest) {
    const auto age = std::chrono::milliseconds(answer.config_age_ms());
    freshness_.OnConfirmed(link_.get_sync_start() - age);
  }
  freshness_.OnContact(loop_.get_now());
  metrics_.Set("ebony_config_age_seconds",
               std::chrono::duration<double>(freshness_.GetAge(loop_.get_now()))
                   .count());
}

auto gateway_daemon::ApplyRegistry(const schema::sync_answer& answer) -> bool {
  const auto now = loop_.get_now();
  const auto previous = registry_.get_source();
  const auto is_new_source = registry_.ApplyAnswer(
      answer, now, [this, now](const backend_record& record) {
        OnBackendChanged(record, now);
      });
  if (is_new_source) {
    log_.Write(event_category::state, "roster_source",
               {{"source", registry_.get_source()}, {"former", previous}});
  }
  return is_new_source;
}

auto gateway_daemon::OnSyncAnswer(const schema::sync_answer& answer) -> void {
  const auto is_relay_hint = answer.roster_source().empty();
  ApplyQuotas(answer);
  if (is_relay_hint && registry_.get_source().empty()) {
    return;  // with a configuration, but no server, it would reject all
             // requests
  }
  ApplyConfig(answer);
  RecordConfirmation(answer);
  if (is_relay_hint) {
    return;
  }
  versions_.ApplyAnswer(answer, loop_.get_now());
  ApplyOrigins(answer, ApplyRegistry(answer));
  auto loads = std::map<backend_name, server_load>();
  ForEachLoad(answer.loads(), registry_.get_index(),
              [&loads](const backend_name& id, std::uint32_t requests,
                       std::uint64_t tokens) {
                loads[id] = {static_cast<double>(requests),
                             static_cast<double>(tokens)};
              });
  selector_.SetSourceDelay(answer.is_relay() ? kRelayDelay : duration(0));
  selector_.SetTotalLoads(loads, loop_.get_now());
  selector_.SetGatewayCount(std::size_t{answer.gateway_count()});
  retries_.SetGatewayCount(std::size_t{answer.gateway_count()});
  ApplyPermits(answer);
  ApplyCrashes(answer);
  ApplyPeers(answer);
  if (!deferred_.empty()) {
    RunDeferredCalls();
  }
  DispatchPending();
}

auto gateway_daemon::ApplyOrigins(const schema::sync_answer& answer,
                                  bool is_new_source) -> void {
  const auto now = loop_.get_now();
  origins_.OnReportAnswered(is_new_source);
  for (const auto& row : answer.origins()) {
    ForEachBegunStream(
        row, [this, now](stream_key key, const stream_origin& origin) {
          origins_.OnTold(key, origin, now);
        });
  }
}

auto gateway_daemon::ApplyCrashes(const schema::sync_answer& answer) -> void {
  const auto now = loop_.get_now();
  crash_uplink_.ApplyAnswer(
      answer,
      [this](const crash_record& record) { LogCrashRecord(log_, record); },
      now);
  if (!answer.grants_permits()) {
    return;
  }
  auto held = std::set<suspect_key>();
  for (const auto& row : answer.trials()) {
    const auto keys = GetTrialKeys(row);
    held.insert(keys.begin(), keys.end());
  }
  guard_.OnContact(std::move(held), now);
}

auto gateway_daemon::ApplyPermits(const schema::sync_answer& answer) -> void {
  const auto now = loop_.get_now();
  if (answer.grants_permits()) {
    permits_.OnContact(std::size_t{answer.gateway_count()}, now);
  }
  for (const auto& [id, count] : GetPermits(answer, registry_.get_index())) {
    permits_.OnGranted(id, count, now);
    metrics_.Count("ebony_permits_granted_total", count);
  }
}

}  // namespace ebony
