#include "main/crash_desk.h"

#include <utility>

#include "codec/site_codec.h"

namespace ebony {

crash_desk::crash_desk(std::uint64_t source) : source_(source) {}

auto crash_desk::LendTrials(const vm_name& vm,
                            std::vector<suspect_key> keys,
                            desk_role role,
                            mono_time now) -> std::vector<suspect_key> {
  switch (role) {
    case desk_role::relay:
      return relayed_trials_.Request(vm, std::move(keys), now);
    case desk_role::leader:
      return trials_.Request(vm, keys, now);
    case desk_role::unsure_leader:
      break;
  }
  return {};
}

auto crash_desk::HandleSync(const schema::sync_request& request,
                            desk_role role,
                            const change_hook& on_change,
                            mono_time now,
                            schema::sync_answer& answer) -> void {
  for (const auto& row : request.crashes()) {
    const auto report = ToDomain(row);
    // The leader has no daemon above it to report to.
    if (ledger_.Merge(report, role != desk_role::relay, now)) {
      on_change(*ledger_.Find(report.record.key));
    }
  }
  ledger_.Forget(now);
  for (const auto& row : request.trials()) {
    const auto vm = vm_name(row.vm());
    const auto held = LendTrials(vm, GetTrialKeys(row), role, now);
    if (!held.empty()) {
      AddTrials(*answer.add_trials(), vm, held);
    }
  }
  auto revision =
      request.crash_source() == source_ ? request.have_crashes() : 0;
  for (const auto& report : ledger_.ListSince(revision, now)) {
    *answer.add_crashes() = ToSchema(report);
  }
  answer.set_crash_source(source_);
  answer.set_crash_revision(revision);
}

auto crash_desk::FillLeaderRequest(schema::sync_request& request, mono_time now)
    -> void {
  uplink_.FillRequest(request, now);
  for (const auto& [vm, keys] : relayed_trials_.ListRequests(now)) {
    AddTrials(*request.add_trials(), vm, keys);
  }
}

auto crash_desk::ApplyLeaderAnswer(const schema::sync_answer& answer,
                                   const change_hook& on_change,
                                   mono_time now) -> void {
  uplink_.ApplyAnswer(answer, on_change, now);
  auto held = trial_lists();
  for (const auto& row : answer.trials()) {
    held[vm_name(row.vm())] = GetTrialKeys(row);
  }
  relayed_trials_.OnGranted(std::move(held));
}

auto crash_desk::IsUrgent() const -> bool {
  return ledger_.HasUnreported() || relayed_trials_.HasRequests();
}

}  // namespace ebony
