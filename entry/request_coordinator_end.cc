#include <algorithm>
#include <utility>

#include "entry/request_coordinator.h"

// The part of request_coordinator that ends requests: outcome counters, caller
// disconnects, deadlines and stalled attempts.

namespace ebony {

namespace {

// Returns external text in a form that is safe as the value of a metric label.
auto Sanitize(std::string text) -> std::string {
  constexpr auto kMaxLabelLength = std::size_t{64};
  text.resize(std::min(text.size(), kMaxLabelLength));
  for (auto& c : text) {
    const auto is_plain = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                          c == '-' || c == '_' || c == '.' || c == '/';
    c = is_plain ? c : '_';
  }
  return text;
}

}  // namespace

// Counts a request for the service level objective. Refusals caused by the
// caller are not counted.
auto request_coordinator::CountOutcome(const active_request& active,
                                       bool is_good) -> void {
  const auto& request = active.request;
  const auto target = request.service == service_name() ? request.model.get()
                                                        : request.service.get();
  count_("ebony_requests_total{model=\"" + Sanitize(target) + "\",class=\"" +
         std::string(GetPriorityText(active.priority)) + "\",caller=\"" +
         Sanitize(request.caller.get()) + "\",outcome=\"" +
         (is_good ? "good" : "bad") + "\"}");
}

auto request_coordinator::Erase(request_id id) -> void {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  const auto& request = found->second.request;
  queue_.Remove(id);
  const auto claiming = claiming_.find(request.key);
  if (claiming != claiming_.end() && claiming->second == id) {
    claiming_.erase(claiming);
  }
  const auto counted = per_caller_.find({request.caller, request.model});
  if (counted != per_caller_.end() && --counted->second == 0) {
    per_caller_.erase(counted);
  }
  active_.erase(found);
}

auto request_coordinator::OnCallerDisconnected(request_id id, mono_time now)
    -> void {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  auto& active = found->second;
  const auto is_keyed = active.request.key != request_key();
  if (is_keyed && active.state == phase::running) {
    return;  // A resend of the request needs the outcome.
  }
  count_("ebony_callers_gone_total");
  if (active.state == phase::running) {
    actions_.push_back(cancel_action{id, active.attempt});
    router_.OnEnded(active.backend);
  }
  if (is_keyed) {
    if (active.state == phase::claiming) {
      claims_.Cancel(active.request.key, now);
    } else {
      claims_.CompleteNeverRan(active.request.key, now);
    }
  }
  Erase(id);
  RunQueue(now);
}

// Refuses a request at its deadline without counting a failure of the backend
// server, which may have been about to answer.
auto request_coordinator::RefuseExpired(active_request& active, mono_time now)
    -> void {
  active.ran =
      active.events_delivered > 0 ? ran_state::yes : ran_state::unknown;
  Refuse(active, error_kind::deadline_exceeded, active.ran,
         "the time limit has expired", now);
}

auto request_coordinator::TickRunning(active_request& active, mono_time now)
    -> void {
  const auto is_late = now >= active.request.deadline;
  const auto is_stalled = now - active.progressed >= options_.stall;
  if (!is_late && !is_stalled) {
    return;
  }
  actions_.push_back(cancel_action{active.request.id, active.attempt});
  router_.OnEnded(active.backend);
  if (is_late) {
    active.ran =
        active.events_delivered > 0 ? ran_state::yes : ran_state::unknown;
    Refuse(active, error_kind::deadline_exceeded, active.ran,
           "the time limit has expired", now);
    return;
  }
  auto result = attempt_result();
  result.events_delivered = active.events_delivered;
  OnAttemptFailed(active, result, now);
}

auto request_coordinator::TickOne(active_request& active, mono_time now)
    -> void {
  switch (active.state) {
    case phase::claiming:
      if (now - active.phase_began >= options_.claim_timeout) {
        claims_.Cancel(active.request.key, now);
        Refuse(active, error_kind::claim_unavailable, ran_state::no,
               "no majority of the entries that hold this key replied", now);
      }
      break;
    case phase::running:
      TickRunning(active, now);
      break;
    case phase::backing_off:
      if (now >= active.retry_at) {
        Proceed(active, now);
      }
      break;
    case phase::waiting:
      if (RefuseIfQuarantined(active, now)) {
        break;
      }
      // A dispatch now would most likely complete after the time limit.
      if (now + GetServiceTime(active) >= active.request.deadline) {
        Refuse(active, error_kind::deadline_unreachable, active.ran,
               "the request was queued too long to meet its time limit", now);
      }
      break;
  }
}

auto request_coordinator::Tick(mono_time now) -> void {
  auto ids = std::vector<request_id>();
  for (const auto& [id, active] : active_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    const auto found = active_.find(id);
    if (found != active_.end()) {
      TickOne(found->second, now);
    }
  }
  crashes_.Tick(table_, now);
  RunQueue(now);
  claims_.Tick(now);
}

}  // namespace ebony
