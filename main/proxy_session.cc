#include "main/proxy_session.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"
#include "core/request_priority.h"
#include "drivers/answer_status.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

// Maximum idle time of a connection that is reused. A server can close an idle
// connection just as a request is sent, which leaves open whether the request
// ran, so the limit is short for requests that must not run twice.
constexpr duration kMaxIdleRunOnce = std::chrono::milliseconds(300);
constexpr duration kMaxIdleIdempotent = std::chrono::seconds(4);
constexpr duration kConnectTimeout = std::chrono::milliseconds(400);
// Of a server's answer, of which only a part is kept at a time.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{64} * 1024 * 1024;
// Connection failures after which another server may still be tried.
constexpr int kMaxConnectFailures = 3;
// The same for servers that did not run the request.
constexpr int kMaxNotRunAnswers = 3;
// Requests in flight at a server that counts as idle.
constexpr double kMaxRequestsOfIdleServer = 2;
// Share of its slots below which a server runs a request without delay.
constexpr double kMaxUncongestedLoad = 0.5;
constexpr int kUnavailable = 503;

}  // namespace

proxy_session::proxy_session(proxy_context& context,
                             route_table_pointer table,
                             const route_rule& rule,
                             const service_spec& service,
                             incoming_request call,
                             request_metadata metadata,
                             std::optional<stream_origin> origin,
                             std::optional<handover_terms> terms,
                             response_pointer answer)
    : context_(context),
      route_table_(std::move(table)),
      rule_(rule),
      service_(service),
      call_(std::move(call)),
      answer_(std::move(answer)),
      metadata_(std::move(metadata)),
      fingerprint_(GetFingerprint(metadata_.host,
                                  call_.head.method,
                                  call_.head.target,
                                  call_.body)),
      terms_(std::move(terms)),
      orders_by_cost_(
          route_table_->get_objectives().OrdersByCost(service.name)),
      suspects_(GetSuspects(metadata_, fingerprint_, service.name)),
      origin_(std::move(origin)),
      stream_(rule.retry == retry_policy::resumable) {
  const auto limit =
      std::min(rule_.time_limit, metadata_.deadline.value_or(rule_.time_limit));
  deadline_ = call_.received_at + limit;
  admission_terms_ = MakeAdmissionTerms();
  if (terms_) {
    tried_servers_ = {terms_->tried.begin(), terms_->tried.end()};
  }
}

auto proxy_session::Start() -> void {
  ++context_.active_sessions;
  context_.handed_over += IsHandedOver() ? 1 : 0;
  const auto self = shared_from_this();
  answer_->SetOnDisconnect([self] { self->OnCallerGone(); });
  deadline_timer_ =
      context_.loop.AddTimer(deadline_, [self] { self->OnDeadline(); });
  if (!IsHandedOver()) {
    context_.retries.OnRequest(service_.name, context_.loop.get_now());
  }
  if (IsEngine() && !IsHandedOver()) {
    auto& count =
        context_.demand[{service_.name, metadata_.model, metadata_.adapter}];
    ++count.arrived;
    count.prompt_tokens += metadata_.prompt_tokens;
  }
  context_.waits.OnArrived(GetQueueKey(), context_.loop.get_now());
  if (rule_.is_stream && context_.rejects_streams()) {
    Reject(error_kind::draining, std::chrono::milliseconds(100));
    return;
  }
  TryDispatch();
}

auto proxy_session::GetTimeLeft() const -> duration {
  return deadline_ - context_.loop.get_now();
}

auto proxy_session::MakeQuery() -> server_query {
  auto query = server_query();
  query.service = service_.name;
  query.is_engine = IsEngine();
  query.is_spread = route_table_->get_objectives().OrdersAnyByCost();
  query.model = metadata_.model;
  query.adapter = metadata_.adapter;
  query.prompt_tokens = static_cast<double>(metadata_.prompt_tokens);
  query.ignores_prefill_limit = is_overdue_;
  query.avoid = &tried_servers_;
  query.ignores_closed_paths = !CanHandOver();
  query.software = origin_ ? &origin_->software : nullptr;
  if (!origin_ && rule_.retry == retry_policy::resumable) {
    query.may_begin_at = [this](const software_version& software) {
      return context_.may_begin_at({service_.name, software});
    };
  }
  return query;
}

auto proxy_session::HasAlternativeServer() -> bool {
  const auto now = context_.loop.get_now();
  const auto verdict = context_.selector.Choose(MakeQuery(), now).verdict;
  return (verdict == server_verdict::chosen ||
          verdict == server_verdict::no_path) &&
         context_.retries.CanRetry(service_.name, now);
}

// A stream whose other servers run another version may go on at a server that
// broke it off, if that is reachable.
auto proxy_session::ChooseServer() -> server_choice {
  const auto now = context_.loop.get_now();
  auto query = MakeQuery();
  auto choice = context_.selector.Choose(query, now);
  if (origin_ && choice.verdict == server_verdict::no_replica) {
    query.avoid = nullptr;
    choice = context_.selector.Choose(query, now);
  }
  return choice;
}

auto proxy_session::Dispatch(const backend_status& server, permit_source permit)
    -> void {
  const auto now = context_.loop.get_now();
  ++attempts_;
  peer_ = vm_name();
  peer_result_.reset();
  server_ = server.id;
  server_address_ = server.address;
  evidence_ = context_.guard.OnSent(suspects_, now);
  first_body_at_ = mono_time();
  is_proven_ = false;
  server_start_time_ms_ = server.start_time_ms;
  server_software_ = server.software;
  tried_servers_.insert(server.id);
  prefill_tokens_ = static_cast<double>(metadata_.prompt_tokens);
  const auto requests = context_.selector.GetLoad(server_, now).requests;
  found_requests_ = requests;
  found_idle_server_ = requests <= kMaxRequestsOfIdleServer;
  found_free_slots_ = requests <= kMaxUncongestedLoad * server.slots;
  context_.permits.OnSent(server_, server_start_time_ms_, permit, now);
  context_.pauses.OnSent(server_, server_start_time_ms_, now);
  context_.selector.OnStarted(server_, prefill_tokens_);
  context_.waits.OnSent(GetQueueKey(), now);
  if (orders_by_cost_) {
    context_.admission.OnStarted(admission_terms_, now);
  }

  auto forward = platform::forward_options();
  forward.backend = server.id;
  forward.time_left = GetTimeLeft();
  if (IsEngine()) {
    forward.priority =
        GetEnginePriority(metadata_.account.priority, rule_.priority);
  }
  forward.resume_after = GetResumePoint();
  forward.has_organisations = HasOrganisations();
  forward.organisation = metadata_.account.organisation;
  const auto load = context_.selector.GetLoad(server_, now).requests;
  context_.paths.OnAttemptStarted();
  StartAttempt(server.address, platform::MakeForwardedHead(call_.head, forward,
                                                           call_.body.size()));
  context_.log.Write(
      event_category::request, "sent",
      {{"request", metadata_.id.get()},
       {"route", rule_.name.get()},
       {"model", metadata_.model.get()},
       {"fingerprint", FormatHexadecimal(fingerprint_.get())},
       {"segments", GetSegmentsText(metadata_.prompt_segments)},
       {"backend", server_.get()},
       {"software", server.software.get()},
       {"resumes", metadata_.resumes.value_or(caller_request_id()).get()},
       {"after", forward.resume_after.value_or("")},
       {"attempt", static_cast<std::int64_t>(attempts_)},
       {"trial", evidence_.on_trial.empty() ? "no" : "yes"},
       {"load", static_cast<std::int64_t>(load)},
       {"connection_number", static_cast<std::int64_t>(path_.connection)},
       {"earlier_calls", static_cast<std::int64_t>(path_.earlier_calls)},
       {"permit", std::string(GetPermitSourceText(permit))},
       {"left_ms", forward.time_left}});
}

auto proxy_session::GetResumePoint() const -> std::optional<std::string> {
  const auto last = stream_.get_last_event_id();
  return last ? std::optional(std::to_string(*last)) : std::nullopt;
}

auto proxy_session::StartAttempt(const host_port& address,
                                 const http_head& head) -> void {
  sent_at_ = context_.loop.get_now();
  last_received_ = sent_at_;
  connection_failure_.reset();
  is_new_connection_ = false;
  response_head_ = http_head();
  server_answer_ = server_answer();
  response_body_.clear();
  CountBuffered();
  stream_.StartRun();
  auto options = call_options();
  options.connect_timeout = kConnectTimeout;
  options.max_body_bytes = kMaxAnswerBytes;
  options.id = call_id(metadata_.id.get());
  // The id also tells a peer's answer from that to another request.
  options.matching =
      IsDirect() ? answer_matching::by_id : answer_matching::by_order;
  options.max_idle_time = rule_.retry == retry_policy::idempotent
                              ? kMaxIdleIdempotent
                              : kMaxIdleRunOnce;
  attempt_ =
      context_.pool.Start(address, RenderRequestHead(head).append(call_.body),
                          call_.head.method == "HEAD", options, MakeHooks());
  path_ = attempt_->get_path();
  ArmStallTimer();
}

auto proxy_session::MakeHooks() -> call_hooks {
  const auto self = shared_from_this();
  auto hooks = call_hooks();
  hooks.on_connected = [self] { self->OnConnected(); };
  hooks.on_head = [self](const http_head& head) { self->OnHead(head); };
  hooks.on_foreign_head = [self](const http_head& head) {
    self->OnForeignHead(head);
  };
  hooks.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  hooks.on_complete = [self] { self->OnComplete(); };
  hooks.on_failed = [self](call_failure failure) {
    self->connection_failure_ = failure;
    switch (failure) {
      case call_failure::refused:
      case call_failure::unanswered:
      case call_failure::not_sent:
        self->OnAttemptEnd(attempt_outcome::not_sent);
        break;
      case call_failure::interrupted:
        self->OnAttemptEnd(attempt_outcome::interrupted);
        break;
      case call_failure::malformed_response:
        self->context_.counters.Count("ebony_malformed_answers_total");
        self->OnAttemptEnd(attempt_outcome::invalid);
        break;
    }
  };
  return hooks;
}

auto proxy_session::OnConnected() -> void {
  if (!IsDirect()) {
    return;
  }
  context_.counters.Count(
      "ebony_server_connections_total{result=\"accepted\"}");
  is_new_connection_ = true;
}

auto proxy_session::GetConnectionText() const -> std::string_view {
  if (!connection_failure_) {
    return "made";
  }
  switch (*connection_failure_) {
    case call_failure::refused:
      return "refused";
    case call_failure::unanswered:
      return "unanswered";
    case call_failure::not_sent:
    case call_failure::interrupted:
    case call_failure::malformed_response:
      break;
  }
  return "made";
}

auto proxy_session::GetFramingText() const -> std::string {
  return response_head_.status == 0
             ? "none"
             : std::string(GetBodyFramingText(response_head_.framing));
}

auto proxy_session::RecordServiceTime() -> void {
  if (!IsEngine() || !found_free_slots_ || response_head_.status == 0 ||
      server_answer_.not_run) {
    return;
  }
  const auto slot_time = context_.loop.get_now() - sent_at_;
  context_.selector.AddSlotTime(slot_time);
  const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(slot_time);
  auto& count =
      context_.demand[{service_.name, metadata_.model, metadata_.adapter}];
  ++count.ended;
  count.busy_ms += static_cast<std::uint64_t>(took.count());
}

auto proxy_session::ReleaseServer() -> void {
  context_.loop.CancelTimer(stall_timer_);
  if (attempt_ == nullptr) {
    return;
  }
  attempt_ = nullptr;
  if (!IsDirect()) {
    context_.peers.OnEnded(peer_);
    return;
  }
  context_.paths.OnAttemptEnded();
  context_.selector.OnEnded(server_, prefill_tokens_);
  RecordServiceTime();
  prefill_tokens_ = 0;
}

// Attempts that sent no byte are not charged to the retry allowance.
auto proxy_session::MayRetry(attempt_outcome outcome) -> bool {
  if (GetTimeLeft() <= duration(0)) {
    return false;
  }
  if (outcome == attempt_outcome::not_sent) {
    const auto has_peer = context_.paths.is_closed() && CanHandOver();
    return connect_failures_ <= kMaxConnectFailures || has_peer ||
           MustAwaitPaths();
  }
  if (outcome == attempt_outcome::not_run &&
      not_run_answers_ > kMaxNotRunAnswers) {
    return false;
  }
  return context_.retries.TryConsume(service_.name, context_.loop.get_now());
}

auto proxy_session::OnAttemptEnd(attempt_outcome outcome) -> void {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  ReleaseServer();
  const auto is_broken_off = outcome == attempt_outcome::interrupted ||
                             outcome == attempt_outcome::truncated ||
                             outcome == attempt_outcome::invalid;
  if (is_broken_off && IsDirect()) {
    context_.paths.OnServerFailed(server_);
  }
  if (is_broken_off && !IsDirect()) {
    // The peer looks for a crash of the server.
    may_have_run_ = true;
    ConcludeAttempt(outcome);
    return;
  }
  if (is_broken_off && !is_proven_) {
    may_have_run_ = true;
    CheckForCrash([self, outcome] { self->ConcludeAttempt(outcome); });
    return;
  }
  const auto is_unframed_success = outcome == attempt_outcome::complete &&
                                   IsDirect() && !is_proven_ &&
                                   IsSuccess(server_answer_.status);
  if (is_unframed_success) {
    // Its end may be that of the server; the caller need not wait for the
    // answer.
    CheckForCrash([] {});
  }
  ConcludeAttempt(outcome);
}

auto proxy_session::ConcludeAttempt(attempt_outcome outcome) -> void {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  context_.guard.EndTrial(evidence_);
  if (!IsDirect() && server_ != backend_name()) {
    tried_servers_.insert(server_);
  }
  if (outcome == attempt_outcome::not_sent) {
    --attempts_;
    RecordUnsent();
  } else if (outcome == attempt_outcome::not_run) {
    --attempts_;
    RecordRejection();
  }
  RecordSlot(outcome);
  auto summary = attempt_summary();
  summary.outcome = outcome;
  summary.answer = server_answer_;
  summary.retry_rule = rule_.retry;
  summary.attempts = attempts_;
  summary.max_attempts = GetMaxAttempts();
  summary.may_have_run = may_have_run_;
  summary.has_delivered_events = answer_->has_begun();
  summary.can_go_on = stream_.CanGoOn();
  const auto is_misdirected = outcome == attempt_outcome::not_run &&
                              server_answer_.backend != backend_name() &&
                              server_answer_.backend != server_;
  if (is_misdirected) {
    context_.selector.OnMisdirected(server_);
  } else if (IsDirect()) {
    RecordServerOutcome(outcome);
  }
  auto action = outcome == attempt_outcome::complete && is_streaming_
                    ? attempt_action::deliver
                    : DecideAction(summary);
  if (action == attempt_action::retry && !MayRetry(outcome)) {
    action = GetFallback(summary);
  }
  may_have_run_ = may_have_run_ || (outcome != attempt_outcome::not_sent &&
                                    outcome != attempt_outcome::not_run);
  if (action != attempt_action::deliver) {
    LogAttemptEnd(outcome, action);
  }
  context_.on_capacity_freed();
  switch (action) {
    case attempt_action::deliver:
      Deliver();
      break;
    case attempt_action::retry:
      if (outcome == attempt_outcome::complete) {
        // If no other server can be tried, the caller gets the server's own
        // error rather than one from the gateway.
        error_response_ =
            buffered_response{response_head_, std::move(response_body_)};
      }
      TryDispatch();
      break;
    case attempt_action::refuse:
      Reject(outcome == attempt_outcome::not_sent
                 ? error_kind::backend_unreachable
                 : error_kind::overloaded,
             duration(0));
      break;
    case attempt_action::fail:
      Fail(error_kind::backend_failed);
      break;
    case attempt_action::abort_stream:
      AbortStream("stream_cut");
      break;
  }
}

auto proxy_session::RecordRejection() -> void {
  ++not_run_answers_;
  context_.counters.Count("ebony_server_rejections_total{status=\"" +
                          std::to_string(server_answer_.status) + "\"}");
  RecordFullServer();
}

auto proxy_session::RecordSlot(attempt_outcome outcome) -> void {
  if (!IsDirect()) {
    return;
  }
  const auto now = context_.loop.get_now();
  const auto is_rejection = outcome == attempt_outcome::not_run &&
                            server_answer_.status == kUnavailable &&
                            !server_answer_.retry_after;
  if (is_rejection) {
    context_.permits.OnRejected(server_, server_start_time_ms_, now);
  } else if (outcome == attempt_outcome::complete) {
    context_.permits.OnEnded(server_, server_start_time_ms_,
                             context_.selector.HasFreeSlot(server_, now), now);
  }
}

// An engine without room is asked again once a slot may be free, rather than
// left to the caller to try: it may be the only one with the model.
auto proxy_session::RecordFullServer() -> void {
  const auto is_counted =
      IsEngine() || route_table_->get_objectives().OrdersAnyByCost() ||
      context_.permits.HasSlotLimit(server_, server_start_time_ms_);
  const auto is_full = IsDirect() && is_counted &&
                       server_answer_.status == kUnavailable &&
                       !server_answer_.retry_after;
  if (!is_full) {
    return;
  }
  const auto time = context_.selector.OnFull(server_, context_.loop.get_now());
  tried_servers_.erase(server_);
  context_.counters.Count("ebony_full_servers_total");
  context_.loop.AddTimerIn(time, [self = shared_from_this()] {
    self->context_.on_capacity_freed();
  });
}

// A VM that reaches no server fails at all of them, which says nothing of each.
auto proxy_session::RecordServerOutcome(attempt_outcome outcome) -> void {
  if (outcome == attempt_outcome::complete && server_answer_.status < 500) {
    context_.selector.OnAnswered(server_);
    return;
  }
  const auto is_failure =
      outcome != attempt_outcome::not_run && !context_.paths.is_closed() &&
      context_.selector.OnFailed(server_, context_.loop.get_now());
  if (is_failure) {
    context_.counters.Count("ebony_ejections_total");
    context_.log.Write(
        event_category::state, "backend_ejected",
        {{"backend", server_.get()}, {"request", metadata_.id.get()}});
  }
}

auto proxy_session::RecordUnsent() -> void {
  const auto now = context_.loop.get_now();
  if (!IsDirect()) {
    context_.peers.OnFailed(peer_, now);
    return;
  }
  context_.counters.Count("ebony_server_connections_total{result=\"" +
                          std::string(GetConnectionText()) + "\"}");
  ++connect_failures_;
  context_.selector.OnUnreachable(server_, now);
  context_.permits.OnNotSent(server_, now);
  context_.paths.OnServerFailed(server_);
}

auto proxy_session::GetMaxAttempts() const -> int {
  return IsHandedOver() ? 1 : rule_.max_attempts;
}

}  // namespace ebony
