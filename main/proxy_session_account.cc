// How a proxy_session keeps to the keys and quotas of organisations.

#include <utility>

#include "main/proxy_session.h"
#include "platform/request_codec.h"

namespace ebony {

auto proxy_session::Refuse(error_kind kind, int status, duration retry_after)
    -> void {
  LeaveQueue();
  if (may_have_run_ || error_response_ || answer_->has_begun()) {
    Fail(kind);
    return;
  }
  answer_->Respond(platform::MakeErrorHead(status, metadata_.id, retry_after),
                   {});
  Finish(GetErrorAnswer(kind).code.data(), status);
}

auto proxy_session::PassesKeyCheck() -> bool {
  constexpr int kUnauthorized = 401;
  const auto number = IsHandedOver()
                          ? std::optional(route_table_->get_config().number)
                          : std::nullopt;
  switch (context_.check_caller(call_.head, metadata_, number)) {
    case caller_verdict::accepted:
      return true;
    case caller_verdict::unknown_key:
      Refuse(error_kind::unauthenticated, kUnauthorized, duration(0));
      return false;
    case caller_verdict::unsure:
      break;
  }
  LeaveQueue();
  // The gateway that handed the request over checks its key again.
  Reject(IsHandedOver() ? error_kind::backend_unreachable
                        : error_kind::not_current,
         duration(0));
  return false;
}

// Credit lapses with its lease: what is sent later would add to what the
// coordinators have leased to others since.
auto proxy_session::HasCredit() -> bool {
  const auto now = context_.loop.RefreshNow();
  auto& charge = metadata_.account.charge;
  if (attempts_ > 0 || may_have_run_) {
    return true;
  }
  // It has no charge while it waits for credit, and a slot may become free
  // meanwhile: sent now, it would be sent again once the credit comes.
  if (awaits_credit_) {
    return false;
  }
  if (!IsLapsed(charge, now)) {
    return true;
  }
  const auto former = std::exchange(charge, quota_charge());
  context_.quotas.CreditBack(former, now);
  if (context_.quotas.TrySpend(former.organisation, former.amount, now,
                               charge)) {
    return true;
  }
  charge = quota_charge();
  awaits_credit_ = true;
  context_.await_credit(
      metadata_, rule_,
      [self = shared_from_this()](const quota_decision& decision) {
        self->OnCredit(decision);
      });
  return false;
}

auto proxy_session::OnCredit(const quota_decision& decision) -> void {
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  awaits_credit_ = false;
  if (is_finished_ || attempt_ != nullptr) {
    context_.quotas.CreditBack(decision.charge, context_.loop.get_now());
    return;
  }
  if (decision.is_admitted) {
    metadata_.account.charge = decision.charge;
    TryDispatch();
    return;
  }
  Refuse(
      decision.is_unknown ? error_kind::not_current : error_kind::rate_limited,
      decision.is_unknown ? kUnavailable : kTooManyRequests,
      decision.retry_after);
}

// A request that was sent to a server counts as used, unless the server said
// that it did not run it.
auto proxy_session::CreditBack() -> void {
  if (attempts_ == 0 && !may_have_run_) {
    context_.quotas.CreditBack(
        std::exchange(metadata_.account.charge, quota_charge()),
        context_.loop.get_now());
  }
}

}  // namespace ebony
