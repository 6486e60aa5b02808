#include "main/sync_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "codec/site_codec.h"

namespace ebony {

namespace {

// Returns `from - amount`, or 0 if that would be negative.
auto SubtractSaturating(std::uint64_t from, std::uint64_t amount)
    -> std::uint64_t {
  return from - std::min(from, amount);
}

}  // namespace

auto AddConfig(const schema::sync_request& request,
               const stored_config& config,
               schema::sync_answer& answer) -> void {
  answer.set_config_number(config.number.get());
  if (request.have_config() < config.number.get()) {
    answer.set_config(config.body.bytes);
    answer.set_config_bytes(config.body.inflated_size);
  }
}

sync_relay::sync_relay(const vm_name& vm,
                       std::function<std::uint64_t(std::uint64_t)> random)
    : vm_(vm.get()), shedder_(std::move(random)) {}

auto sync_relay::CanServeGateways(mono_time now) const -> bool {
  return has_answer_ && gateway_count_ > kMaxDirectGateways &&
         now - last_answer_ <= kLeaderTimeout;
}

// Gateways get revisions of this relay's replica, which differ from the
// leader's, so the source names both the leader and the relay.
auto sync_relay::GetSource() const -> std::string {
  return registry_.get_source() + "@" + vm_;
}

auto sync_relay::RecordLoads(const schema::sync_request& request, mono_time now)
    -> void {
  if (request.roster_source() != GetSource()) {
    return;  // its server index were assigned by another leader or relay
  }
  own_loads_.Report(vm_name(request.vm()),
                    GetLoadReport(request.loads(), registry_.get_index()), now);
}

auto sync_relay::RecordDemands(const schema::sync_request& request) -> void {
  for (const auto& row : request.demands()) {
    auto& sum = demands_[{row.service(), row.model(), row.adapter()}];
    sum.set_service(row.service());
    sum.set_model(row.model());
    sum.set_adapter(row.adapter());
    has_unserved_demand_ = has_unserved_demand_ || row.refused() > 0;
    sum.set_arrived(sum.arrived() + row.arrived());
    sum.set_refused(sum.refused() + row.refused());
    sum.set_prompt_tokens(sum.prompt_tokens() + row.prompt_tokens());
    sum.set_ended(sum.ended() + row.ended());
    sum.set_busy_ms(sum.busy_ms() + row.busy_ms());
  }
}

auto sync_relay::HandleGatewaySync(const schema::sync_request& request,
                                   mono_time now,
                                   mono_time said_at) -> void {
  auto& gateway = gateways_[vm_name(request.vm())];
  gateway.last_sync = now;
  auto& row = gateway.row;
  row.set_vm(request.vm());
  row.set_caller_address(request.caller_address());
  row.set_data_centre(request.data_centre());
  row.set_incarnation(request.incarnation());
  row.set_ready(request.ready());
  row.set_peer_port(request.peer_port());
  row.set_reaches_no_server(request.reaches_no_server());
  row.set_millicores(request.millicores());
  row.set_memory_mb(request.memory_mb());
  RecordLoads(request, now);
  RecordDemands(request);
  first_events_.Add(ToDomain(request.first_events()));
  if (request.roster_source() == GetSource()) {
    for (const auto& report :
         GetPermitReports(request, registry_.get_index(), said_at)) {
      permits_.Request(vm_name(request.vm()), report, now);
    }
  }
  if (request.roster_source() == GetSource()) {
    for (const auto& row : request.leaving()) {
      if (const auto* id = registry_.get_index().FindName(row.number())) {
        registry_.ObserveLeaving(*id, row.born_ms());
      }
    }
  }
  for (const auto number : request.unreachable()) {
    if (const auto* id = registry_.get_index().FindName(number)) {
      unreachable_.insert(*id);
    }
  }
}

auto sync_relay::GetTotalLoads() const -> load_report {
  auto totals = other_loads_;
  auto is_listed = std::vector<bool>();
  for (auto& [number, amount] : totals) {
    const auto own = own_loads_.Get(number);
    amount.requests += own.requests;
    amount.tokens += own.tokens;
    is_listed.resize(std::max<std::size_t>(is_listed.size(), number + 1));
    is_listed[number] = true;
  }
  for (const auto& row : own_loads_.GetReport()) {
    if (row.number >= is_listed.size() || !is_listed[row.number]) {
      totals.push_back(row);
    }
  }
  return totals;
}

auto sync_relay::FillGatewayAnswer(const schema::sync_request& request,
                                   schema::sync_answer& answer,
                                   mono_time now) -> void {
  const auto& registry = registry_.get_registry();
  answer.set_is_relay(true);
  answer.set_gateway_count(gateway_count_);
  answer.set_served_gateways(static_cast<std::uint32_t>(gateways_.size()));
  answer.set_roster_source(GetSource());
  answer.set_roster_revision(registry.get_revision());
  const auto since = request.roster_source() == answer.roster_source()
                         ? request.have_roster()
                         : 0;
  const auto& index = registry_.get_index();
  for (const auto* record : registry.ListSince(since)) {
    auto* row = answer.add_backends();
    *row = ToSchema(*record, now);
    row->set_number(index.GetNumber(record->status.id));
  }
  AddLoads(*answer.mutable_loads(), GetTotalLoads());
  software_.FillAnswer(request, answer, now);
  answer.set_grants_permits(has_permits_);
  AddPermits(answer, permits_.Take(vm_name(request.vm()), now), index);
  gateways_[vm_name(request.vm())].row.set_told_roster(
      registry_.get_revision());
  if (shedder_.MustLeave(gateways_.size(), gateway_count_)) {
    for (const auto& relay : shedder_.get_others()) {
      auto* row = answer.add_relays();
      row->set_link(relay.link.get());
      row->set_data_centre(relay.data_centre.get());
    }
  }
}

auto sync_relay::RequestConfig(schema::sync_request& request,
                               const stored_config& own) const -> void {
  request.set_takes_config(true);
  request.set_have_config(GetNewest(own).number.get());
}

auto sync_relay::ApplyConfig(const schema::sync_answer& answer,
                             mono_time sent_at) -> void {
  const auto number = config_number(answer.config_number());
  if (!answer.config().empty() && number > config_.number) {
    config_ = {number, {answer.config(), answer.config_bytes()}};
  }
  states_config_ = answer.states_config();
  if (answer.confirms_config()) {
    confirmed_number_ = number;
    confirmed_at_ = sent_at;
  }
}

auto sync_relay::FillConfig(const schema::sync_request& request,
                            const stored_config& own,
                            schema::sync_answer& answer,
                            mono_time now) const -> void {
  const auto& newest = GetNewest(own);
  AddConfig(request, newest, answer);
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - confirmed_at_)
          .count();
  answer.set_states_config(states_config_);
  answer.set_confirms_config(states_config_ &&
                             confirmed_number_ != config_number() &&
                             newest.number >= confirmed_number_);
  // Rounded up, so that the confirmation is never taken for a later one.
  answer.set_config_age_ms(static_cast<std::uint32_t>(age + 1));
}

// A leader that has started anew is told the limits that its predecessors
// knew.
auto sync_relay::AddUnlistedLimits(std::vector<permit_report>& reports) const
    -> void {
  for (auto& unlisted : registry_.ListUnlistedLimits()) {
    const auto found = std::find_if(
        reports.begin(), reports.end(),
        [&unlisted](const auto& item) { return item.id == unlisted.id; });
    if (found == reports.end()) {
      reports.push_back(std::move(unlisted));
    } else if (!found->news) {
      found->news = unlisted.news;
    }
  }
}

auto sync_relay::FillLeaderRequest(schema::sync_request& request, mono_time now)
    -> void {
  own_link_ = host_port(request.relay_link());
  std::erase_if(gateways_, [now](const auto& item) {
    return now - item.second.last_sync > kGatewayTimeout;
  });
  own_loads_.Expire(now);
  registry_.FillRequest(request);
  software_.FillRequest(request);
  for (const auto& [vm, gateway] : gateways_) {
    auto* row = request.add_relayed();
    *row = gateway.row;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - gateway.last_sync);
    row->set_silent_ms(static_cast<std::uint32_t>(age.count()));
  }
  reported_loads_ = own_loads_;
  AddLoads(*request.mutable_loads(), own_loads_.GetReport());
  const auto& index = registry_.get_index();
  for (auto& [id, row] : demands_) {
    *request.add_demands() = std::move(row);
  }
  demands_.clear();
  *request.mutable_first_events() =
      ToSchema(std::exchange(first_events_, first_event_sums()));
  for (const auto& id : std::exchange(unreachable_, {})) {
    request.add_unreachable(index.GetNumber(id));
  }
  has_unserved_demand_ = false;
  auto reports = permits_.TakeReports(now);
  AddUnlistedLimits(reports);
  for (const auto& report : reports) {
    AddPermitRequest(request, report, index, now);
  }
}

auto sync_relay::ApplyLeaderAnswer(const schema::sync_answer& answer,
                                   mono_time now) -> void {
  const auto is_new_source =
      registry_.ApplyAnswer(answer, now, [](const backend_record&) {});
  if (is_new_source) {
    // Revisions of the previous leader cannot be compared with the new one's,
    // so nothing counts as propagated to the gateways yet.
    for (auto& [vm, gateway] : gateways_) {
      gateway.row.set_told_roster(0);
    }
    // The loads go by the previous leader's numbers.
    own_loads_.Clear();
    reported_loads_.Clear();
  }
  software_.ApplyAnswer(answer, now);
  other_loads_ = GetLoadReport(answer.loads(), registry_.get_index());
  for (auto& [number, amount] : other_loads_) {
    const auto own = reported_loads_.Get(number);
    amount.requests = SubtractSaturating(amount.requests, own.requests);
    amount.tokens = SubtractSaturating(amount.tokens, own.tokens);
  }
  has_permits_ = answer.grants_permits();
  permits_.OnGranted(GetPermits(answer, registry_.get_index()), now);
  gateway_count_ = answer.gateway_count();
  if (answer.relays_size() > 0) {
    shedder_.SetRelays(GetRelays(answer), own_link_);
  }
  last_answer_ = now;
  has_answer_ = true;
}

}  // namespace ebony
