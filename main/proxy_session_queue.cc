// How a proxy_session waits: queue timeouts, late requests, eviction, and the
// rejection of requests that cannot be sent in time.

#include "main/proxy_session.h"

#include <algorithm>

#include "core/request_priority.h"

namespace ebony {

namespace {

// Fraction of the route's objective that a request may be queued for capacity.
constexpr double kQueueTimeoutFraction = 0.5;
// Callers are assumed to abandon a stream that has sent nothing after the
// longest of this minimum, this many of the route's objectives and this many
// event gaps.
constexpr duration kMinCallerTimeout = std::chrono::seconds(2);
constexpr int kCallerTimeoutObjectives = 4;
constexpr int kCallerTimeoutGaps = 8;
// A request that has exceeded its queue timeout is queued again for the
// remaining time divided by this, behind requests of every regular priority.
constexpr int kLateQueueDivisor = 4;
constexpr int kLatePriorityOffset = 100;
// Queue timeout of a request whose adapter no server holds yet.
constexpr duration kAdapterQueueTimeout = std::chrono::milliseconds(500);
// Queue timeout of a started stream that needs another server to resume it.
constexpr duration kResumeQueueTimeout = std::chrono::seconds(2);
// Queue timeout of a request that awaits a trial: as long as a few trials take.
constexpr duration kTrialQueueTimeout = std::chrono::milliseconds(1200);
// Queue timeout of a request that waits to hear whether any server can be
// connected to.
constexpr duration kPathQueueTimeout = std::chrono::milliseconds(500);
// Time from the first request for a missing model to the start of its load.
constexpr duration kLoadStartDelay = std::chrono::milliseconds(300);

// Returns the error of a request that no server could be found for.
auto GetVerdictError(server_verdict verdict) -> error_kind {
  switch (verdict) {
    case server_verdict::busy:
    case server_verdict::paused:
      return error_kind::overloaded;
    case server_verdict::await_trial:
      return error_kind::trial_pending;
    case server_verdict::no_version:
      return error_kind::stream_version_gone;
    case server_verdict::no_path:
      return error_kind::backend_unreachable;
    case server_verdict::chosen:
    case server_verdict::no_replica:
    case server_verdict::no_server:
      break;
  }
  return error_kind::no_backend;
}

}  // namespace

// Returns the time after which a caller is assumed to abandon a request that
// has received no response.
auto proxy_session::GetCallerTimeout() const -> duration {
  if (!rule_.is_stream) {
    return rule_.time_limit;
  }
  return std::max({kMinCallerTimeout,
                   rule_.latency_objective * kCallerTimeoutObjectives,
                   rule_.event_gap_objective * kCallerTimeoutGaps});
}

// Returns the expected time until a server that does not hold the model has
// loaded it, or 0 if that is not known.
auto proxy_session::GetModelLoadTime() const -> duration {
  if (!IsEngine()) {
    return duration(0);
  }
  for (const auto& model : service_.engine->models) {
    if (model.name == metadata_.model) {
      return model.load_from_store + kLoadStartDelay;
    }
  }
  return duration(0);
}

// Returns the time until there may be room for a model whose replicas are all
// at their limit: on average, a further one has half of its load time left.
auto proxy_session::GetOverloadWait() const -> duration {
  return GetModelLoadTime() / 2;
}

auto proxy_session::GetQueueTimeout(server_verdict reason) const -> duration {
  if (answer_->has_begun()) {
    return kResumeQueueTimeout;
  }
  if (reason == server_verdict::busy) {
    return duration(static_cast<duration::rep>(
        kQueueTimeoutFraction *
        static_cast<double>(rule_.latency_objective.count())));
  }
  if (reason == server_verdict::paused) {
    // A caller that would be late is told at once when to come back.
    const auto most = GetQueueTimeout(server_verdict::busy);
    return pause_left_ <= most ? most : duration(0);
  }
  if (reason == server_verdict::no_path) {
    return kPathQueueTimeout;
  }
  if (reason == server_verdict::await_trial) {
    return std::min(kTrialQueueTimeout, GetCallerTimeout() / 2);
  }
  if (reason != server_verdict::no_replica || !IsEngine()) {
    return duration(0);
  }
  if (!metadata_.adapter.get().empty()) {
    return kAdapterQueueTimeout;
  }
  // The request is queued only if the model is loaded soon; otherwise the
  // caller should retry later.
  const auto load = GetModelLoadTime();
  const auto max_wait = std::min(GetTimeLeft(), GetCallerTimeout()) / 2;
  return load + kLoadStartDelay <= max_wait ? load + kLoadStartDelay
                                            : duration(0);
}

auto proxy_session::GetLateQueueTimeout() const -> duration {
  return std::min(GetTimeLeft(), GetCallerTimeout()) / kLateQueueDivisor;
}

auto proxy_session::GetRank() const -> int {
  return GetRequestRank(metadata_.account.priority, rule_.priority);
}

auto proxy_session::GetQueueKey() const -> wait_estimator::queue_key {
  return {service_.name, metadata_.model};
}

auto proxy_session::RejectIfHopeless(duration limit) -> bool {
  const auto wait =
      context_.waits.GetExpectedWait(GetQueueKey(), context_.loop.get_now());
  if (!wait || *wait <= limit) {
    return false;
  }
  context_.log.Write(event_category::request, "not_queued",
                     {{"request", metadata_.id.get()},
                      {"route", rule_.name.get()},
                      {"model", metadata_.model.get()},
                      {"expected_ms", *wait},
                      {"limit_ms", limit}});
  Reject(error_kind::overloaded, std::max(*wait, GetOverloadWait()));
  return true;
}

auto proxy_session::Enqueue(server_verdict reason) -> void {
  if (reason == server_verdict::no_version) {
    Reject(error_kind::stream_version_gone, duration(0));
    return;
  }
  if (IsHandedOver() && reason == server_verdict::no_replica) {
    // The gateway that handed it over knows of a replica, and other peers.
    Reject(error_kind::backend_unreachable, duration(0));
    return;
  }
  if (reason == server_verdict::busy && IsAdmittedByCost()) {
    EnqueueByCost();
    return;
  }
  const auto is_first_attempt = tried_servers_.empty();
  if (reason == server_verdict::no_replica && IsEngine() && is_first_attempt) {
    ++context_.demand[{service_.name, metadata_.model, metadata_.adapter}]
          .unserved;
    context_.on_unserved_demand();
  }
  // After a failed attempt, a request is queued only for capacity or a trial,
  // or if its stream has begun.
  const auto may_wait = is_first_attempt || reason == server_verdict::busy ||
                        reason == server_verdict::await_trial ||
                        reason == server_verdict::no_path ||
                        reason == server_verdict::paused ||
                        answer_->has_begun();
  const auto limit =
      may_wait ? std::min(GetQueueTimeout(reason), GetTimeLeft()) : duration(0);
  const auto is_absent = reason == server_verdict::no_replica ||
                         reason == server_verdict::no_server;
  if (limit <= duration(0)) {
    const auto wait = reason == server_verdict::paused ? pause_left_
                      : is_absent                      ? GetModelLoadTime()
                                                       : GetOverloadWait();
    Reject(GetVerdictError(reason), wait);
    return;
  }
  const auto late_limit =
      CanQueueLate() ? limit + GetLateQueueTimeout() : limit;
  if (reason == server_verdict::busy && !answer_->has_begun() &&
      RejectIfHopeless(late_limit)) {
    return;
  }
  if (!TryEnqueue(GetOrder(GetRank(), limit))) {
    Reject(error_kind::overloaded, GetOverloadWait());
    return;
  }
  context_.log.Write(
      event_category::request, "waiting",
      {{"request", metadata_.id.get()},
       {"route", rule_.name.get()},
       {"model", metadata_.model.get()},
       {"adapter", metadata_.adapter.get()},
       {"reason", std::string(GetServerVerdictText(reason))},
       {"ahead", static_cast<std::int64_t>(context_.pending.get_size() - 1)},
       {"limit_ms", limit}});
  queue_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnQueueTimeout(); });
}

auto proxy_session::TryDispatch() -> void {
  if (!PassesKeyCheck()) {
    return;
  }
  // What only a peer can send is tried under the peer's guard.
  const auto is_left_to_peer = context_.paths.is_closed() && CanHandOver();
  if (is_left_to_peer ? !PassesQuarantine() : !PassesGuard()) {
    return;
  }
  if (MustAwaitPaths()) {
    queue_reason_ = server_verdict::no_path;
    if (!position_) {
      Enqueue(server_verdict::no_path);
    }
    return;
  }
  const auto now = context_.loop.get_now();
  auto choice = ChooseServer();
  yields_ = false;
  if (choice.verdict == server_verdict::chosen && MustYield(*choice.server)) {
    choice = {server_verdict::busy};
    yields_ = true;
  }
  const auto can_send = choice.verdict == server_verdict::chosen ||
                        choice.verdict == server_verdict::no_path;
  if (can_send && !HasCredit()) {
    return;
  }
  if (choice.verdict == server_verdict::chosen) {
    LeaveQueue();
    for (const auto& id : choice.without_permit) {
      context_.permits.OnPassedOver(id, now);
    }
    Dispatch(*choice.server, choice.permit);
    return;
  }
  if (choice.verdict == server_verdict::no_path) {
    HandOver();
    return;
  }
  queue_reason_ = choice.verdict;
  pause_left_ = choice.pause_left;
  awaits_slot_ = choice.awaits_slot;
  if (!position_) {
    Enqueue(choice.verdict);
  }
  if (position_) {
    AwaitPermits(std::move(choice.without_permit));
  }
}

// Retries the dispatch with only the servers' slots as a limit: prompt tokens
// that wait for prefill no longer count.
auto proxy_session::OnQueueTimeout() -> void {
  const auto was_overdue = is_overdue_;
  const auto decides_again =
      IsAdmittedByCost() && queue_reason_ == server_verdict::busy;
  is_overdue_ =
      !decides_again || context_.admission.GetLatestStart(admission_terms_) <=
                            context_.loop.get_now();
  TryDispatch();
  if (is_finished_ || !position_) {
    return;
  }
  LeaveQueue();
  if (queue_reason_ == server_verdict::busy && IsAdmittedByCost()) {
    EnqueueByCost();
    return;
  }
  if (!was_overdue && queue_reason_ == server_verdict::busy && CanQueueLate()) {
    EnqueueLate();
    return;
  }
  Reject(GetVerdictError(queue_reason_), GetOverloadWait());
}

auto proxy_session::CanQueueLate() const -> bool {
  return !awaits_slot_ ||
         !context_.waits.IsOverloaded(GetQueueKey(), context_.loop.get_now());
}

// Queues a request that will miss its objective behind all others, since a late
// answer is better than none but must not delay requests that can be in time.
auto proxy_session::EnqueueLate() -> void {
  const auto limit = GetLateQueueTimeout();
  if (!TryEnqueue(GetOrder(GetRank() + kLatePriorityOffset, limit))) {
    Reject(error_kind::overloaded, GetOverloadWait());
    return;
  }
  queue_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnQueueTimeout(); });
}

auto proxy_session::GetOrder(int rank, duration limit) const -> queue_order {
  return {rank, context_.loop.get_now() + limit};
}

auto proxy_session::TryEnqueue(const queue_order& order) -> bool {
  auto evicted = std::shared_ptr<proxy_session>();
  position_ = context_.pending.Add(order, shared_from_this(), evicted);
  if (position_) {
    context_.waits.OnQueued(GetQueueKey());
  }
  if (evicted != nullptr) {
    evicted->OnEvicted();
  }
  return position_.has_value();
}

// Replaces the servers whose permit the queued request waits for.
auto proxy_session::AwaitPermits(std::vector<backend_name> servers) -> void {
  context_.permits.RemoveWaiting(awaited_permits_);
  awaited_permits_ = std::move(servers);
  context_.permits.AddWaiting(awaited_permits_);
}

auto proxy_session::LeaveQueue() -> void {
  context_.loop.CancelTimer(queue_timer_);
  AwaitPermits({});
  if (position_) {
    context_.pending.Remove(*position_);
    context_.waits.OnLeftQueue(GetQueueKey());
    position_.reset();
  }
  ForgetAdmissionOrder();
}

auto proxy_session::RetryDispatch() -> void {
  if (!is_finished_ && position_) {
    TryDispatch();
  }
}

auto proxy_session::OnEvicted() -> void {
  position_.reset();  // already removed from the queue
  ForgetAdmissionOrder();
  AwaitPermits({});
  context_.waits.OnLeftQueue(GetQueueKey());
  context_.loop.CancelTimer(queue_timer_);
  Reject(error_kind::overloaded, GetOverloadWait());
}

}  // namespace ebony
