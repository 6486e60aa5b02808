// How a proxy_session waits for room if the admission policy decides: requests
// for its service are ordered by what being late or refused costs callers.

#include <algorithm>

#include "main/proxy_session.h"

namespace ebony {

namespace {

// Part of a server's slots above which the rest is its last room.
constexpr double kLastRoom = 0.75;

}  // namespace

auto proxy_session::MakeAdmissionTerms() const -> admission_terms {
  auto terms = admission_terms();
  terms.service = service_.name;
  terms.model = metadata_.model;
  terms.kind = {rule_.name, metadata_.account.organisation};
  terms.rank = GetRank();
  terms.is_patient =
      route_table_->get_objectives().IsPatient(rule_, service_.name);
  terms.arrived_at = call_.received_at;
  terms.objective = rule_.latency_objective;
  terms.give_up_at =
      std::min(deadline_, call_.received_at + GetCallerTimeout());
  terms.prompt_tokens = metadata_.prompt_tokens;
  terms.output_tokens =
      metadata_.expected_output_tokens.value_or(metadata_.max_output_tokens);
  return terms;
}

auto proxy_session::IsAdmittedByCost() const -> bool {
  return orders_by_cost_ && !answer_->has_begun();
}

auto proxy_session::MustYield(const backend_status& server) const -> bool {
  const auto now = context_.loop.get_now();
  const auto requests = context_.selector.GetLoad(server.id, now).requests;
  auto room = admission_room();
  room.has_room = true;
  room.is_last_room = requests + 1 > kLastRoom * server.slots;
  return IsAdmittedByCost() &&
         context_.admission.MustYield(admission_terms_, room, now);
}

auto proxy_session::ForgetAdmissionOrder() -> void {
  if (admission_order_) {
    context_.admission.OnLeftQueue(admission_terms_, *admission_order_);
    admission_order_.reset();
  }
}

auto proxy_session::EnqueueByCost() -> void {
  const auto now = context_.loop.get_now();
  auto room = admission_room();
  room.has_room = yields_;
  room.is_last_room = yields_;
  const auto decision = context_.admission.Decide(admission_terms_, room, now);
  if (decision.action == admission_action::refuse) {
    context_.log.Write(
        event_category::request, "not_queued",
        {{"request", metadata_.id.get()},
         {"route", rule_.name.get()},
         {"model", metadata_.model.get()},
         {"expected_ms", decision.expected_wait},
         {"limit_ms", duration(admission_terms_.give_up_at - now)}});
    Reject(error_kind::overloaded,
           std::max(decision.expected_wait, GetOverloadWait()));
    return;
  }
  if (!TryEnqueue(decision.order)) {
    Reject(error_kind::overloaded, GetOverloadWait());
    return;
  }
  admission_order_ = decision.order;
  context_.admission.OnQueued(admission_terms_, decision.order);
  const auto limit = duration(decision.until - now);
  context_.log.Write(
      event_category::request, "waiting",
      {{"request", metadata_.id.get()},
       {"route", rule_.name.get()},
       {"model", metadata_.model.get()},
       {"adapter", metadata_.adapter.get()},
       {"reason", room.has_room ? "yields" : "busy"},
       {"order", static_cast<std::int64_t>(decision.order.rank)},
       {"ahead", static_cast<std::int64_t>(context_.pending.get_size() - 1)},
       {"limit_ms", limit}});
  queue_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnQueueTimeout(); });
}

}  // namespace ebony
