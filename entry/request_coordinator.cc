#include "entry/request_coordinator.h"

#include <algorithm>
#include <compare>
#include <utility>

namespace ebony {

namespace {

// Requests with equal attributes can be executed by the same backend servers.
struct dispatch_class {
  model_name model;
  adapter_name adapter;
  service_name service;
  priority_class priority = priority_class::interactive;

  friend auto operator<=>(const dispatch_class&, const dispatch_class&)
      -> std::strong_ordering = default;
};

constexpr int kStatusOk = 200;
constexpr int kStatusTooMany = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

auto CeilSeconds(duration time) -> std::chrono::seconds {
  return std::chrono::ceil<std::chrono::seconds>(time);
}

// The start of the prompt is the part of it that other requests can share.
auto GetSuspects(const caller_request& request) -> request_suspects {
  return MakeSuspects({request.caller, request.service, request.model,
                       request.fingerprint, request.prefix_hash});
}

}  // namespace

request_coordinator::request_coordinator(coordinator_options options,
                                         const routing_table& table,
                                         router& backend_router,
                                         claim_coordinator& claims,
                                         random_source random,
                                         counter_callback count)
    : options_(options),
      table_(table),
      router_(backend_router),
      claims_(claims),
      random_(std::move(random)),
      count_(std::move(count)),
      queue_(options.max_queue),
      budget_(options.retry_budget_percent) {}

auto request_coordinator::FindCandidates(const caller_request& request) const
    -> const std::vector<const backend_route*>* {
  if (request.service != service_name()) {
    return table_.FindService(request.service);
  }
  const auto* route = table_.FindModel(request.model);
  return route == nullptr ? nullptr : &route->candidates;
}

auto request_coordinator::CheckRequest(const caller_request& request) const
    -> void {
  if (active_.size() >= options_.max_in_flight) {
    throw ebony_error(error_kind::overloaded,
                      "this entry has reached its limit of requests in flight");
  }
  if (request.service != service_name()) {
    if (FindCandidates(request) == nullptr) {
      throw ebony_error(error_kind::not_found,
                        "no backend server offers the service '" +
                            request.service.get() + "'");
    }
    return;
  }
  const auto* route = table_.FindModel(request.model);
  if (route == nullptr) {
    throw ebony_error(
        error_kind::unknown_model,
        "the model '" + request.model.get() + "' is not declared");
  }
  const auto& spec = route->spec;
  const auto is_declared_adapter =
      request.adapter == adapter_name() ||
      std::any_of(spec.adapters.begin(), spec.adapters.end(),
                  [&request](const adapter_spec& adapter) {
                    return adapter.key.name == request.adapter;
                  });
  if (!is_declared_adapter) {
    throw ebony_error(error_kind::unknown_model,
                      "the adapter '" + request.adapter.get() +
                          "' is not declared for the model");
  }
  const auto is_permitted = spec.callers.empty() ||
                            std::find(spec.callers.begin(), spec.callers.end(),
                                      request.caller) != spec.callers.end();
  if (!is_permitted) {
    throw ebony_error(error_kind::forbidden,
                      "the caller is not permitted to use this model");
  }
  EnforceCallerLimit(request);
}

auto request_coordinator::EnforceCallerLimit(
    const caller_request& request) const -> void {
  const auto* route = table_.FindModel(request.model);
  const auto limit = route->spec.caller_max_in_flight;
  if (limit == 0) {
    return;
  }
  const auto entries = static_cast<std::uint32_t>(options_.entry_count);
  const auto share = (limit + entries - 1) / entries;
  const auto found = per_caller_.find({request.caller, request.model});
  if (found != per_caller_.end() && found->second >= share) {
    throw ebony_error(error_kind::rate_limited,
                      "the caller's limit of requests in flight is reached");
  }
}

auto request_coordinator::OnRequest(const caller_request& request,
                                    mono_time now) -> void {
  budget_.OnRequest();
  auto active = active_request();
  active.request = request;
  active.suspects = GetSuspects(request);
  active.arrived = now;
  active.phase_began = now;
  try {
    CheckRequest(request);
  } catch (const ebony_error& error) {
    actions_.push_back(
        refuse_action{request.id, error.get_kind(), ran_state::no, error.what(),
                      GetErrorAnswer(error.get_kind()).retry_after});
    count_("ebony_requests_refused_total{code=\"" +
           std::string(GetErrorAnswer(error.get_kind()).code) + "\"}");
    return;
  }
  const auto* route = table_.FindModel(request.model);
  active.priority = request.priority.value_or(
      route == nullptr ? priority_class::interactive : route->spec.priority);
  ++per_caller_[{request.caller, request.model}];
  auto& stored = active_.emplace(request.id, std::move(active)).first->second;
  if (request.key == request_key()) {
    Proceed(stored, now);
    return;
  }
  stored.state = phase::claiming;
  const auto decision = claims_.Begin(request.key, request.fingerprint, now);
  if (decision.state == claim_state::pending) {
    claiming_[request.key] = request.id;
  } else {
    OnClaimDecided(stored, decision, now);
  }
}

auto request_coordinator::OnClaimDecided(active_request& active,
                                         const claim_decision& decision,
                                         mono_time now) -> void {
  const auto id = active.request.id;
  switch (decision.state) {
    case claim_state::granted:
      Proceed(active, now);
      break;
    case claim_state::done:
      actions_.push_back(replay_action{id, decision.outcome});
      count_("ebony_requests_replayed_total");
      Erase(id);
      break;
    case claim_state::key_reused:
      Refuse(active, error_kind::invalid_request, ran_state::no,
             "Idempotency-Key: already used for a different request", now);
      break;
    case claim_state::in_progress:
      Refuse(active, error_kind::duplicate_in_progress, ran_state::unknown,
             "a request with this key is in progress or was interrupted", now);
      break;
    case claim_state::unavailable:
    case claim_state::pending:
      Refuse(active, error_kind::claim_unavailable, ran_state::no,
             "no majority of the entries that hold this key is reachable", now);
      break;
  }
}

auto request_coordinator::OnClaimReply(const request_key& key,
                                       std::uint64_t attempt,
                                       const vm_name& holder,
                                       const claim_reply& reply,
                                       mono_time now) -> void {
  const auto decision = claims_.OnReply(key, attempt, holder, reply, now);
  if (!decision) {
    return;
  }
  const auto claiming = claiming_.find(key);
  if (claiming == claiming_.end()) {
    // The caller has disconnected, so no attempt was or will be made.
    if (decision->state == claim_state::granted) {
      claims_.CompleteNeverRan(key, now);
    }
    return;
  }
  const auto id = claiming->second;
  claiming_.erase(claiming);
  const auto found = active_.find(id);
  if (found != active_.end()) {
    OnClaimDecided(found->second, *decision, now);
  }
}

auto request_coordinator::Proceed(active_request& active, mono_time now)
    -> void {
  active.state = phase::waiting;
  active.phase_began = now;
  if (now >= active.request.deadline) {
    Refuse(active, error_kind::deadline_exceeded, active.ran,
           "the time limit has expired", now);
    return;
  }
  if (RefuseIfQuarantined(active, now)) {
    return;
  }
  switch (TryDispatch(active, now)) {
    case route_verdict::chosen:
      break;
    case route_verdict::all_busy:
      Enqueue(active, now);
      break;
    case route_verdict::none_usable:
      Refuse(active,
             active.origin ? error_kind::stream_version_gone
                           : error_kind::no_backend,
             active.ran, "no backend server can execute the request now", now);
      break;
  }
}

auto request_coordinator::TryDispatch(active_request& active, mono_time now)
    -> route_verdict {
  const auto* candidates = FindCandidates(active.request);
  if (candidates == nullptr) {
    return route_verdict::none_usable;
  }
  auto query = route_query();
  query.candidates = candidates;
  query.model = active.request.model;
  query.adapter = active.request.adapter;
  query.priority = active.priority;
  query.prefix_hash = active.request.prefix_hash;
  query.avoid = &active.tried;
  query.software = active.origin ? &*active.origin : nullptr;
  auto choice = router_.Choose(query, now);
  if (choice.verdict == route_verdict::none_usable && !active.tried.empty()) {
    query.avoid = nullptr;
    choice = router_.Choose(query, now);
  }
  if (choice.verdict == route_verdict::chosen) {
    Dispatch(active, *choice.backend, now);
  }
  return choice.verdict;
}

auto request_coordinator::Dispatch(active_request& active,
                                   const backend_route& backend,
                                   mono_time now) -> void {
  active.state = phase::running;
  active.phase_began = now;
  active.attempt = attempt_number(active.attempt.get() + 1);
  ++active.attempts;
  active.backend = backend.name;
  active.backend_run = backend.run;
  active.evidence = crashes_.OnSent(active.suspects, now);
  active.software = backend.software;
  active.sent = now;
  active.progressed = now;
  active.tried.insert(backend.name);
  router_.OnSent(backend, active.request.prefix_hash, now);
  auto action = dispatch_action();
  action.id = active.request.id;
  action.attempt = active.attempt;
  action.backend = backend.name;
  action.address = backend.address;
  action.time_left = active.request.deadline - now;
  action.priority = active.priority;
  action.resume_after = active.events_delivered;
  action.is_retryable = active.request.is_retryable;
  actions_.push_back(std::move(action));
}

auto request_coordinator::GetServiceTime(const active_request& active)
    -> duration {
  const auto* candidates = FindCandidates(active.request);
  return candidates == nullptr ? duration(0)
                               : router_.GetServiceTime(*candidates);
}

auto request_coordinator::EstimateWait(const active_request& active)
    -> duration {
  const auto* candidates = FindCandidates(active.request);
  if (candidates == nullptr || candidates->empty()) {
    return duration(0);
  }
  auto slots = std::uint64_t{0};
  for (const auto* backend : *candidates) {
    slots += backend->slots;
  }
  const auto ahead = queue_.CountAhead(active.priority);
  const auto service = router_.GetServiceTime(*candidates);
  // The slots of the model are shared with the queues of the other entries.
  const auto entries = static_cast<duration::rep>(options_.entry_count);
  return service * static_cast<duration::rep>(ahead) * entries /
         static_cast<duration::rep>(slots);
}

auto request_coordinator::GetRetryAfter(const active_request& active,
                                        error_kind kind)
    -> std::chrono::seconds {
  const auto base = GetErrorAnswer(kind).retry_after;
  if (base.count() == 0) {
    return base;
  }
  return std::max(base, CeilSeconds(EstimateWait(active)));
}

auto request_coordinator::Enqueue(active_request& active, mono_time now)
    -> void {
  const auto wait = EstimateWait(active);
  if (now + wait >= active.request.deadline) {
    Refuse(active, error_kind::deadline_unreachable, active.ran,
           "the request cannot be completed within its time limit", now);
    return;
  }
  const auto& request = active.request;
  auto evicted = std::optional<waiting_request>();
  const auto is_added = queue_.Add(
      {request.id, request.caller, active.priority, request.deadline}, evicted);
  if (evicted) {
    auto& other = active_.at(evicted->id);
    Refuse(other, error_kind::overloaded, other.ran,
           "the request was evicted from the full queue by a more urgent one",
           now);
  }
  if (!is_added) {
    Refuse(active, error_kind::overloaded, active.ran, "the queue is full",
           now);
  }
}

auto request_coordinator::RunQueue(mono_time now) -> void {
  // A class without capacity is not tried again in this pass.
  auto busy = std::set<dispatch_class>();
  const auto can_dispatch = [this, now,
                             &busy](const waiting_request& item) -> bool {
    auto& active = active_.at(item.id);
    if (crashes_.GetQuarantineLeft(active.suspects, now)) {
      return false;  // refused by the next tick
    }
    const auto item_class =
        dispatch_class{active.request.model, active.request.adapter,
                       active.request.service, active.priority};
    if (busy.contains(item_class)) {
      return false;
    }
    if (TryDispatch(active, now) == route_verdict::chosen) {
      return true;
    }
    busy.insert(item_class);
    return false;
  };
  while (queue_.get_size() > 0 && queue_.Pick(can_dispatch)) {
  }
}

auto request_coordinator::OnProgress(request_id id,
                                     attempt_number attempt,
                                     std::uint64_t events_delivered,
                                     mono_time now) -> void {
  const auto found = active_.find(id);
  if (found == active_.end() || found->second.attempt != attempt ||
      found->second.state != phase::running) {
    return;
  }
  found->second.progressed = now;
  found->second.events_delivered = events_delivered;
}

auto request_coordinator::OnAttemptEnd(request_id id,
                                       attempt_number attempt,
                                       const attempt_result& result,
                                       mono_time now) -> void {
  const auto found = active_.find(id);
  if (found == active_.end() || found->second.attempt != attempt ||
      found->second.state != phase::running) {
    return;  // The event belongs to an earlier attempt.
  }
  auto& active = found->second;
  WatchAttempt(active, result, now);
  active.events_delivered = result.events_delivered;
  router_.OnEnded(active.backend);
  // An error status of a service is a valid answer; only engine errors count as
  // failures.
  const auto is_service = active.request.service != service_name();
  const auto is_engine_error =
      !is_service &&
      (result.status >= kStatusServerError || result.status == kStatusTooMany);
  const auto is_answer =
      result.end == attempt_end::complete && !is_engine_error;
  if (!is_answer) {
    if (now >= active.request.deadline) {
      RefuseExpired(active, now);
    } else {
      OnAttemptFailed(active, result, now);
    }
    RunQueue(now);
    return;
  }
  if (result.status == kStatusOk) {
    router_.OnFinished(active.backend, now - active.sent);
  }
  if (active.request.key != request_key()) {
    claims_.CompleteRan(active.request.key, result.outcome, now);
  }
  actions_.push_back(deliver_action{id, attempt});
  CountOutcome(active, true);
  Erase(id);
  RunQueue(now);
}

auto request_coordinator::MayRetry(const active_request& active, mono_time now)
    -> bool {
  const auto max_interrupted =
      crashes_.GetMaxInterruptions(active.suspects, now);
  return active.attempts < options_.max_attempts &&
         (active.interrupted_attempts == 0 ||
          active.interrupted_attempts < max_interrupted) &&
         now < active.request.deadline && budget_.TryConsume();
}

auto request_coordinator::OnAttemptFailed(active_request& active,
                                          const attempt_result& result,
                                          mono_time now) -> void {
  const auto is_busy =
      result.end == attempt_end::complete &&
      (result.status == kStatusTooMany || result.status == kStatusUnavailable);
  const auto cannot_run = result.end == attempt_end::not_sent || is_busy;
  active.interrupted_attempts += result.end == attempt_end::interrupted ? 1 : 0;
  if (!is_busy && router_.OnFailed(active.backend, now)) {
    count_("ebony_backend_ejections_total");
  }
  if (!cannot_run && active.ran == ran_state::no) {
    active.ran = ran_state::unknown;
  }
  if (result.events_delivered > 0) {
    active.ran = ran_state::yes;
    active.origin = active.origin.value_or(active.software);
  }
  const auto is_safe = cannot_run || active.request.is_retryable;
  if (is_safe && !result.has_replay_mismatch && MayRetry(active, now)) {
    count_("ebony_retries_total");
    active.state = phase::backing_off;
    const auto spread = static_cast<std::uint64_t>(options_.backoff.count());
    // The first retry goes to another server, so it needs no delay.
    const auto wait = active.attempts <= 1 ? 0 : random_(spread + 1);
    active.retry_at = now + duration(static_cast<duration::rep>(wait));
    if (wait == 0) {
      Proceed(active, now);
    }
    return;
  }
  if (result.events_delivered > 0) {
    Refuse(active, error_kind::stream_cut, ran_state::yes,
           "the stream of the backend server was interrupted", now);
  } else if (is_busy) {
    Refuse(active, error_kind::overloaded, active.ran,
           "the backend servers are at their capacity", now);
  } else if (cannot_run) {
    Refuse(active, error_kind::backend_unreachable, active.ran,
           "the backend server could not be reached", now);
  } else {
    Refuse(active, error_kind::backend_failed, active.ran,
           "the backend server failed after the request was sent", now);
  }
}

auto request_coordinator::Refuse(active_request& active,
                                 error_kind kind,
                                 ran_state ran,
                                 const std::string& message,
                                 mono_time now) -> void {
  const auto id = active.request.id;
  const auto& key = active.request.key;
  if (key != request_key() && active.state != phase::claiming) {
    if (ran == ran_state::no) {
      claims_.CompleteNeverRan(key, now);
    } else {
      auto outcome = claim_outcome();
      outcome.status = GetErrorAnswer(kind).http_status;
      outcome.content_type = "application/json";
      outcome.body = "{\"error\":{\"code\":\"" +
                     std::string(GetErrorAnswer(kind).code) +
                     "\",\"message\":\"recorded outcome of this key\","
                     "\"ran\":\"" +
                     std::string(GetRanText(ran)) + "\"}}\n";
      claims_.CompleteRan(key, outcome, now);
    }
  }
  actions_.push_back(
      refuse_action{id, kind, ran, message, GetRetryAfter(active, kind)});
  if (kind != error_kind::invalid_request &&
      kind != error_kind::duplicate_in_progress) {
    CountOutcome(active, false);
  }
  count_("ebony_requests_refused_total{code=\"" +
         std::string(GetErrorAnswer(kind).code) + "\"}");
  Erase(id);
}

auto request_coordinator::WatchAttempt(const active_request& active,
                                       const attempt_result& result,
                                       mono_time now) -> void {
  const auto& backend = active.backend;
  switch (result.end) {
    case attempt_end::complete:
      if (result.status == kStatusOk) {
        crashes_.OnAnswered(active.suspects, backend, active.backend_run, now);
      }
      break;
    case attempt_end::not_sent:
      crashes_.OnUnreachable(backend, active.backend_run, now);
      break;
    case attempt_end::interrupted: {
      auto evidence = active.evidence;
      evidence.has_just_begun =
          result.status == kStatusOk && result.events_delivered == 0;
      crashes_.OnInterrupted(active.suspects, evidence, backend,
                             active.backend_run, now);
      break;
    }
  }
}

auto request_coordinator::RefuseIfQuarantined(active_request& active,
                                              mono_time now) -> bool {
  if (!crashes_.GetQuarantineLeft(active.suspects, now)) {
    return false;
  }
  Refuse(active, error_kind::crashes_servers, active.ran,
         "the request has crashed too many backend servers", now);
  return true;
}

auto request_coordinator::TakeActions() -> std::vector<coordinator_action> {
  return std::exchange(actions_, {});
}

}  // namespace ebony
