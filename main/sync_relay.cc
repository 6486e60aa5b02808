#include "main/sync_relay.h"

#include <algorithm>
#include <utility>

#include "codec/site_codec.h"

namespace ebony {

namespace {

auto Subtract(std::uint64_t from, std::uint64_t amount) -> std::uint64_t {
  return from - std::min(from, amount);
}

}  // namespace

sync_relay::sync_relay(const vm_name& vm) : vm_(vm.get()) {}

auto sync_relay::IsCurrent(mono_time now) const -> bool {
  return has_answer_ && gateway_count_ > kMaxDirectGateways &&
         now - answered_ <= kLeaderTimeout;
}

// Revisions count within this relay's own replica, so the source names both.
auto sync_relay::GetSource() const -> std::string {
  return roster_.get_source() + "@" + vm_;
}

auto sync_relay::RecordLoads(const schema::sync_request& request, mono_time now)
    -> void {
  if (request.roster_source() != GetSource()) {
    return;  // its numbers are of another leader or relay
  }
  auto report = load_report();
  ForEachLoad(request.loads(), roster_.get_numbers(),
              [&report](const backend_name& id, std::uint32_t requests,
                        std::uint64_t tokens) {
                report[id] = {requests, tokens};
              });
  own_.Report(vm_name(request.vm()), std::move(report), now);
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
  }
}

auto sync_relay::HandleGatewaySync(const schema::sync_request& request,
                                   mono_time now) -> void {
  auto& gateway = gateways_[vm_name(request.vm())];
  gateway.heard = now;
  auto& row = gateway.row;
  row.set_vm(request.vm());
  row.set_caller_address(request.caller_address());
  row.set_data_centre(request.data_centre());
  row.set_incarnation(request.incarnation());
  row.set_ready(request.ready());
  RecordLoads(request, now);
  RecordDemands(request);
}

auto sync_relay::FillGatewayAnswer(const schema::sync_request& request,
                                   schema::sync_answer& answer,
                                   mono_time now) -> void {
  const auto& registry = roster_.get_registry();
  answer.set_is_relay(true);
  answer.set_gateway_count(gateway_count_);
  answer.set_served_gateways(static_cast<std::uint32_t>(gateways_.size()));
  answer.set_roster_source(GetSource());
  answer.set_roster_revision(registry.get_revision());
  const auto since = request.roster_source() == answer.roster_source()
                         ? request.have_roster()
                         : 0;
  const auto& numbers = roster_.get_numbers();
  for (const auto* record : registry.ListSince(since)) {
    auto* row = answer.add_backends();
    *row = ToSchema(*record, now);
    row->set_number(numbers.GetNumber(record->status.id));
  }
  auto all = others_;
  for (const auto& [id, amount] : own_.get_totals()) {
    all[id].requests += amount.requests;
    all[id].tokens += amount.tokens;
  }
  for (const auto& [id, amount] : all) {
    AddLoad(*answer.mutable_loads(), numbers.GetNumber(id),
            static_cast<std::uint32_t>(amount.requests), amount.tokens);
  }
  gateways_[vm_name(request.vm())].row.set_told_roster(roster_.get_revision());
}

auto sync_relay::FillLeaderRequest(schema::sync_request& request, mono_time now)
    -> void {
  std::erase_if(gateways_, [now](const auto& item) {
    return now - item.second.heard > kGatewayTimeout;
  });
  own_.Expire(now);
  roster_.FillRequest(request);
  for (const auto& [vm, gateway] : gateways_) {
    auto* row = request.add_relayed();
    *row = gateway.row;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - gateway.heard);
    row->set_silent_ms(static_cast<std::uint32_t>(age.count()));
  }
  reported_ = own_.get_totals();
  const auto& numbers = roster_.get_numbers();
  for (const auto& [id, amount] : reported_) {
    AddLoad(*request.mutable_loads(), numbers.GetNumber(id),
            static_cast<std::uint32_t>(amount.requests), amount.tokens);
  }
  for (auto& [place, row] : demands_) {
    *request.add_demands() = std::move(row);
  }
  demands_.clear();
  has_unserved_demand_ = false;
}

auto sync_relay::ApplyLeaderAnswer(const schema::sync_answer& answer,
                                   mono_time now) -> void {
  const auto is_new_source =
      roster_.ApplyAnswer(answer, now, [](const backend_record&) {});
  if (is_new_source) {
    // What gateways were told by revisions of the former leader says nothing.
    for (auto& [vm, gateway] : gateways_) {
      gateway.row.set_told_roster(0);
    }
  }
  others_.clear();
  ForEachLoad(answer.loads(), roster_.get_numbers(),
              [this](const backend_name& id, std::uint32_t requests,
                     std::uint64_t tokens) {
                const auto found = reported_.find(id);
                const auto own =
                    found == reported_.end() ? load_amount() : found->second;
                others_[id] = {Subtract(requests, own.requests),
                               Subtract(tokens, own.tokens)};
              });
  gateway_count_ = answer.gateway_count();
  answered_ = now;
  has_answer_ = true;
}

}  // namespace ebony
