#include "main/quota_desk.h"

#include "codec/quota_codec.h"

namespace ebony {

auto quota_desk::StartLeading(const std::vector<organisation>& organisations,
                              mono_time now) -> void {
  allocator_.Restart(now);
  allocator_.SetQuotas(organisations, now);
}

auto quota_desk::HandleSync(const schema::sync_request& request,
                            desk_role role,
                            double reachable_share,
                            mono_time now,
                            schema::sync_answer& answer) -> void {
  if (role == desk_role::unsure_leader) {
    return;  // what waits is asked for again
  }
  const auto vm = vm_name(request.vm());
  auto grants = quota_grants();
  allocator_.SetReachableShare(reachable_share);
  for (const auto& report : GetQuotaReports(request)) {
    grants.push_back(role == desk_role::leader
                         ? allocator_.Lease(vm, report, now)
                         : relay_.Lease(vm, report, now));
  }
  AddQuotaGrants(answer, grants);
  const auto is_fresh = is_leased_ && now - last_answer_ <= kMaxAnswerAge;
  answer.set_leases_quotas(role == desk_role::leader || is_fresh);
}

auto quota_desk::FillLeaderRequest(schema::sync_request& request, mono_time now)
    -> void {
  AddQuotaReports(request, relay_.TakeReports(now));
}

auto quota_desk::ApplyLeaderAnswer(const schema::sync_answer& answer,
                                   mono_time asked_at,
                                   mono_time now) -> void {
  is_leased_ = answer.leases_quotas();
  last_answer_ = now;
  relay_.OnGranted(GetQuotaGrants(answer), asked_at, now);
}

}  // namespace ebony
