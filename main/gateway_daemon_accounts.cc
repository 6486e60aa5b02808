// How a gateway finds out on whose behalf a request is sent, and keeps to the
// quotas of organisations.

#include <algorithm>
#include <memory>
#include <utility>

#include "codec/quota_codec.h"
#include "main/gateway_daemon.h"
#include "platform/organisation_codec.h"

namespace ebony {

namespace {

// Longest time for which a request waits for credit, about three syncs, and its
// part of the route's objective.
constexpr duration kMaxQuotaWait = std::chrono::milliseconds(300);
constexpr int kQuotaWaitDivisor = 2;
// Interval of the syncs while requests wait for credit.
constexpr duration kQuotaSyncInterval = std::chrono::milliseconds(30);
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}  // namespace

auto gateway_daemon::Authenticate(const route_rule& rule,
                                  const http_head& head,
                                  request_metadata& metadata,
                                  const response_pointer& answer) -> bool {
  if (!keys_->has_organisations()) {
    return true;
  }
  if (rule.is_public) {
    metadata.account.priority = keys_->GetPriority(nullptr);
    return true;
  }
  const auto* owner = keys_->Find(platform::FindKey(head));
  if (owner == nullptr) {
    const auto is_current = GetConfigStanding() == config_standing::current;
    RejectCall(
        metadata,
        is_current ? error_kind::unauthenticated : error_kind::not_current,
        is_current ? kUnauthorized : kUnavailable, answer);
    return false;
  }
  metadata.account.organisation = owner->name;
  metadata.account.priority = keys_->GetPriority(owner);
  return true;
}

auto gateway_daemon::CheckCaller(const http_head& head,
                                 const request_metadata& metadata,
                                 std::optional<config_number> accepted_under)
    -> caller_verdict {
  const auto& owner = metadata.account.organisation;
  const auto* rule = route_table_->Match(metadata.host, metadata.path);
  const auto is_public = rule != nullptr && rule->is_public;
  if (!keys_->has_organisations() || is_public) {
    return caller_verdict::accepted;
  }
  if (!HasUsableConfig()) {
    return caller_verdict::unsure;
  }
  if (accepted_under) {
    const auto is_same = route_table_->get_config().number == *accepted_under;
    return is_same ? caller_verdict::accepted : caller_verdict::unsure;
  }
  const auto* found = keys_->Find(platform::FindKey(head));
  if (found != nullptr) {
    return found->name == owner ? caller_verdict::accepted
                                : caller_verdict::unsure;
  }
  return GetConfigStanding() == config_standing::current
             ? caller_verdict::unknown_key
             : caller_verdict::unsure;
}

auto gateway_daemon::RequestCredit(const request_metadata& metadata,
                                   const route_rule& rule,
                                   quota_gate::decision_hook on_decided)
    -> std::optional<quota_gate::waiter_id> {
  const auto name = metadata.account.organisation;
  const auto tokens =
      std::min(metadata.prompt_tokens, quota_leases::kMaxAmount) +
      std::min(metadata.max_output_tokens, quota_leases::kMaxAmount);
  const auto max_wait =
      std::min(kMaxQuotaWait, rule.latency_objective / kQuotaWaitDivisor);
  const auto id = quota_gate_.Admit(
      name, quotas_.GetAmount(name, tokens), max_wait, loop_.RefreshNow(),
      [this, id = metadata.id, name,
       on_decided = std::move(on_decided)](const quota_decision& decision) {
        if (!decision.is_admitted) {
          LogOverQuota(id, name, decision);
        }
        on_decided(decision);
      });
  if (id) {
    metrics_.Count("ebony_quota_waits_total");
    loop_.AddTimerIn(max_wait,
                     [this] { quota_gate_.DecideWaiting(loop_.RefreshNow()); });
    link_.SyncSoon();
  }
  return id;
}

auto gateway_daemon::AwaitQuota(const route_rule& rule,
                                incoming_request call,
                                request_metadata metadata,
                                const response_pointer& answer) -> void {
  const auto name = metadata.account.organisation;
  if (!quotas_.IsLimited(name)) {
    StartAdmitted(std::move(call), std::move(metadata), answer);
    return;
  }
  struct held_call {
    incoming_request call;
    request_metadata metadata;
  };
  const auto held = std::make_shared<held_call>(
      held_call{std::move(call), std::move(metadata)});
  const auto id =
      RequestCredit(held->metadata, rule,
                    [this, held, answer](const quota_decision& decision) {
                      OnQuotaDecided(decision, std::move(held->call),
                                     std::move(held->metadata), answer);
                    });
  if (id) {
    answer->SetOnDisconnect(
        [this, name, id = *id] { quota_gate_.Remove(name, id); });
  }
}

auto gateway_daemon::LogOverQuota(const caller_request_id& id,
                                  const organisation_name& name,
                                  const quota_decision& decision) -> void {
  const auto now = loop_.get_now();
  metrics_.Count("ebony_quota_refused_total{organisation=\"" + name.get() +
                 "\"}");
  log_.Write(
      event_category::request, "over_quota",
      {{"request", id.get()},
       {"organisation", name.get()},
       {"credit", static_cast<std::int64_t>(quotas_.GetCredit(name, now))},
       {"credit_age_ms", quotas_.GetContactAge(now)},
       {"known", decision.is_unknown ? "no" : "yes"},
       {"return_ms", decision.retry_after}});
}

auto gateway_daemon::OnQuotaDecided(const quota_decision& decision,
                                    incoming_request call,
                                    request_metadata metadata,
                                    const response_pointer& answer) -> void {
  if (answer->is_final()) {
    quotas_.CreditBack(decision.charge, loop_.get_now());
    return;
  }
  if (decision.is_admitted) {
    metadata.account.charge = decision.charge;
    StartAdmitted(std::move(call), std::move(metadata), answer);
    return;
  }
  // Without an answer of the coordinators it is not known whether the quota is
  // used up.
  RejectCall(
      metadata,
      decision.is_unknown ? error_kind::not_current : error_kind::rate_limited,
      decision.is_unknown ? kUnavailable : kTooManyRequests, answer,
      decision.retry_after);
}

auto gateway_daemon::ApplyQuotas(const schema::sync_answer& answer) -> void {
  const auto now = loop_.RefreshNow();
  if (answer.leases_quotas()) {
    quotas_.OnContact(std::size_t{answer.gateway_count()}, now);
  }
  quotas_.OnGranted(GetQuotaGrants(answer), link_.get_sync_start(), now);
  quota_gate_.DecideWaiting(now);
  ScheduleQuotaSync();
}

auto gateway_daemon::ScheduleQuotaSync() -> void {
  if (is_quota_sync_scheduled_ || quota_gate_.CountWaiting() == 0) {
    return;
  }
  is_quota_sync_scheduled_ = true;
  loop_.AddTimerIn(kQuotaSyncInterval, [this] {
    is_quota_sync_scheduled_ = false;
    if (quota_gate_.CountWaiting() > 0) {
      link_.SyncSoon();
    }
  });
}

}  // namespace ebony
