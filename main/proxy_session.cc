#include "main/proxy_session.h"

#include <algorithm>
#include <utility>

#include "platform/request_codec.h"

namespace ebony {

namespace {

// Bytes that a caller may leave unread before its stream is ended.
constexpr std::size_t kMaxUnread = 1024 * 1024;
// A kept connection may be used for what must not run twice only this long,
// since a server can close it without a word.
constexpr duration kSafeIdle = std::chrono::milliseconds(300);
constexpr duration kAnyIdle = std::chrono::seconds(4);
constexpr duration kConnectTime = std::chrono::milliseconds(400);
// Part of the objective that a request may wait for room.
constexpr double kBusyWaitPart = 0.5;
// Callers leave a silent stream after the longest of these.
constexpr duration kShortestPatience = std::chrono::seconds(2);
constexpr int kPatienceObjectives = 4;
constexpr int kPatienceGaps = 8;
// A late request waits for this part of what is left, behind every rank.
constexpr int kLateWaitPart = 4;
constexpr int kLateRank = 100;
constexpr duration kAdapterWait = std::chrono::milliseconds(500);
// A stream that has begun waits this long for a server that goes on with it.
constexpr duration kResumeWait = std::chrono::seconds(2);
// From a miss to the start of the load.
constexpr duration kLoadNotice = std::chrono::milliseconds(300);
// An idempotent request goes elsewhere after this many objectives.
constexpr int kStallObjectives = 3;
constexpr duration kShortestStall = std::chrono::milliseconds(250);
// A resumable stream goes on elsewhere after this many longest pauses.
constexpr int kStallGaps = 8;
constexpr int kMaxUnreached = 3;
constexpr int kOk = 200;
constexpr int kFirstError = 300;

}  // namespace

proxy_session::proxy_session(proxy_context& context,
                             route_table_pointer table,
                             const route_rule& rule,
                             const service_spec& service,
                             incoming_request call,
                             caller_terms terms,
                             response_pointer answer)
    : context_(context),
      table_(std::move(table)),
      rule_(rule),
      service_(service),
      call_(std::move(call)),
      answer_(std::move(answer)),
      terms_(std::move(terms)) {
  const auto limit =
      std::min(rule_.time_limit, terms_.deadline.value_or(rule_.time_limit));
  deadline_ = call_.received_at + limit;
}

auto proxy_session::Start() -> void {
  ++context_.active;
  const auto self = shared_from_this();
  answer_->SetOnDisconnect([self] { self->OnCallerGone(); });
  deadline_timer_ =
      context_.loop.AddTimer(deadline_, [self] { self->OnDeadline(); });
  context_.repeats.OnRequest(service_.name, context_.loop.get_now());
  if (IsEngine()) {
    auto& count =
        context_.demand[{service_.name, terms_.model, terms_.adapter}];
    ++count.arrived;
    count.prompt_tokens += terms_.prompt_tokens;
  }
  if (rule_.is_stream && context_.refuses_streams()) {
    Refuse(error_kind::draining, std::chrono::milliseconds(100));
    return;
  }
  TryDispatch();
}

auto proxy_session::GetTimeLeft() const -> duration {
  return deadline_ - context_.loop.get_now();
}

auto proxy_session::MakeQuery() const -> server_query {
  auto query = server_query();
  query.service = service_.name;
  query.is_engine = IsEngine();
  query.model = terms_.model;
  query.adapter = terms_.adapter;
  query.prompt_tokens = static_cast<double>(terms_.prompt_tokens);
  query.ignores_prefill_limit = has_waited_;
  query.avoid = &tried_;
  return query;
}

auto proxy_session::HasAlternative() -> bool {
  const auto now = context_.loop.get_now();
  return context_.board.Choose(MakeQuery(), now).verdict ==
             server_verdict::chosen &&
         context_.repeats.CanRetry(service_.name, now);
}

auto proxy_session::TryDispatch() -> void {
  const auto choice =
      context_.board.Choose(MakeQuery(), context_.loop.get_now());
  if (choice.verdict == server_verdict::chosen) {
    StopWaiting();
    Dispatch(*choice.server);
    return;
  }
  wait_reason_ = choice.verdict;
  if (!place_) {
    Wait(choice.verdict);
  }
}

// How long a caller waits for the first event of a stream before it leaves.
auto proxy_session::GetPatience() const -> duration {
  if (!rule_.is_stream) {
    return rule_.time_limit;
  }
  return std::max({kShortestPatience, rule_.objective * kPatienceObjectives,
                   rule_.event_gap * kPatienceGaps});
}

// How long the model takes to get to a server that does not hold it.
auto proxy_session::GetLoadTime() const -> duration {
  if (!IsEngine()) {
    return duration(0);
  }
  for (const auto& model : service_.engine->models) {
    if (model.name == terms_.model) {
      return model.load_from_store + kLoadNotice;
    }
  }
  return duration(0);
}

auto proxy_session::GetWaitLimit(server_verdict reason) const -> duration {
  if (answer_->has_begun()) {
    return kResumeWait;
  }
  if (reason == server_verdict::busy) {
    return duration(static_cast<duration::rep>(
        kBusyWaitPart * static_cast<double>(rule_.objective.count())));
  }
  if (reason != server_verdict::no_replica || !IsEngine()) {
    return duration(0);
  }
  if (!terms_.adapter.get().empty()) {
    return kAdapterWait;
  }
  // A load that ends soon is waited for here; for a long one it is better to
  // come back.
  const auto load = GetLoadTime();
  const auto longest = std::min(GetTimeLeft(), GetPatience()) / 2;
  return load + kLoadNotice <= longest ? load + kLoadNotice : duration(0);
}

auto proxy_session::Wait(server_verdict reason) -> void {
  const auto is_first_try = tried_.empty();
  if (reason == server_verdict::no_replica && IsEngine() && is_first_try) {
    ++context_.demand[{service_.name, terms_.model, terms_.adapter}].missed;
    context_.on_missing();
  }
  // Once it was tried, a request that finds no other server is not kept.
  const auto may_wait =
      is_first_try || reason == server_verdict::busy || answer_->has_begun();
  const auto limit =
      may_wait ? std::min(GetWaitLimit(reason), GetTimeLeft()) : duration(0);
  const auto refuse_absent = reason != server_verdict::busy;
  if (limit <= duration(0)) {
    Refuse(refuse_absent ? error_kind::no_backend : error_kind::overloaded,
           refuse_absent ? GetLoadTime() : duration(0));
    return;
  }
  if (!TakePlace(rule_.rank, limit)) {
    Refuse(error_kind::overloaded, duration(0));
    return;
  }
  context_.log.Write(
      event_category::request, "waiting",
      {{"request", terms_.id.get()},
       {"route", rule_.name.get()},
       {"model", terms_.model.get()},
       {"adapter", terms_.adapter.get()},
       {"reason", std::string(GetServerVerdictText(reason))},
       {"ahead", static_cast<std::int64_t>(context_.waiting.get_size() - 1)},
       {"limit_ms", limit}});
  wait_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnWaited(); });
}

// The wait is over: it goes to whatever server still has a slot.
auto proxy_session::OnWaited() -> void {
  const auto was_late = has_waited_;
  has_waited_ = true;
  TryDispatch();
  if (is_done_ || !place_) {
    return;
  }
  StopWaiting();
  if (!was_late && wait_reason_ == server_verdict::busy) {
    WaitLate();
    return;
  }
  Refuse(wait_reason_ == server_verdict::busy ? error_kind::overloaded
                                              : error_kind::no_backend,
         duration(0));
}

// Too late for its objective, it gets what room the others leave, for a while:
// a late answer is better than none, but not at the price of those in time.
auto proxy_session::WaitLate() -> void {
  const auto limit = std::min(GetTimeLeft(), GetPatience()) / kLateWaitPart;
  if (!TakePlace(rule_.rank + kLateRank, limit)) {
    Refuse(error_kind::overloaded, duration(0));
    return;
  }
  wait_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnWaited(); });
}

auto proxy_session::TakePlace(int rank, duration limit) -> bool {
  auto displaced = std::shared_ptr<proxy_session>();
  place_ = context_.waiting.Add(rank, context_.loop.get_now() + limit,
                                shared_from_this(), displaced);
  if (displaced != nullptr) {
    displaced->Displace();
  }
  return place_.has_value();
}

auto proxy_session::StopWaiting() -> void {
  context_.loop.CancelTimer(wait_timer_);
  if (place_) {
    context_.waiting.Remove(*place_);
    place_.reset();
  }
}

auto proxy_session::Retry() -> void {
  if (!is_done_ && place_) {
    TryDispatch();
  }
}

auto proxy_session::Displace() -> void {
  place_.reset();  // taken off the list already
  context_.loop.CancelTimer(wait_timer_);
  Refuse(error_kind::overloaded, duration(0));
}

auto proxy_session::Dispatch(const backend_status& server) -> void {
  const auto now = context_.loop.get_now();
  ++attempts_;
  server_ = server.id;
  tried_.insert(server.id);
  sent_ = now;
  head_ = http_head();
  server_answer_ = server_answer();
  body_.clear();
  reader_.Reset();
  prefill_tokens_ = static_cast<double>(terms_.prompt_tokens);
  context_.board.OnStarted(server_, prefill_tokens_);

  auto terms = platform::forward_terms();
  terms.instance = server.id;
  terms.time_left = GetTimeLeft();
  if (IsEngine()) {
    terms.priority = std::clamp(rule_.rank, 0, 9);
  }
  if (!last_event_.empty()) {
    terms.resume_after = last_event_;
  }
  const auto head =
      platform::MakeForwardedHead(call_.head, terms, call_.body.size());
  auto options = call_options();
  options.connect_timeout = kConnectTime;
  options.max_idle_time =
      rule_.repeat == repeat_rule::idempotent ? kAnyIdle : kSafeIdle;
  context_.log.Write(
      event_category::request, "sent",
      {{"request", terms_.id.get()},
       {"route", rule_.name.get()},
       {"model", terms_.model.get()},
       {"backend", server_.get()},
       {"attempt", static_cast<std::int64_t>(attempts_)},
       {"load", static_cast<std::int64_t>(
                    context_.board.GetLoad(server_, now).requests)},
       {"left_ms", terms.time_left}});
  attempt_ = context_.pool.Start(
      server.address, RenderRequestHead(head).append(call_.body),
      call_.head.method == "HEAD", options, MakeHooks());
  ArmStall();
}

auto proxy_session::MakeHooks() -> call_hooks {
  const auto self = shared_from_this();
  auto hooks = call_hooks();
  hooks.on_head = [self](const http_head& head) { return self->OnHead(head); };
  hooks.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  hooks.on_complete = [self] { self->OnWhole(); };
  hooks.on_failed = [self](call_failure failure) {
    switch (failure) {
      case call_failure::not_sent:
        self->OnAttemptEnd(attempt_outcome::not_sent);
        break;
      case call_failure::interrupted:
        self->OnAttemptEnd(attempt_outcome::interrupted);
        break;
      case call_failure::malformed_response:
        self->OnAttemptEnd(attempt_outcome::invalid);
        break;
    }
  };
  return hooks;
}

auto proxy_session::OnHead(const http_head& head) -> bool {
  const auto decoded = platform::DecodeServerAnswer(head);
  if (decoded.echoed_id != caller_request_id() &&
      decoded.echoed_id != terms_.id) {
    context_.counters.Count("ebony_foreign_answers_total");
    return false;
  }
  head_ = head;
  server_answer_ = decoded;
  is_streaming_ = rule_.is_stream && head.status == kOk && decoded.is_sealed &&
                  !decoded.is_encoded;
  return true;
}

auto proxy_session::OnBody(std::string_view bytes) -> void {
  if (!is_streaming_) {
    body_.append(bytes);
    return;
  }
  if (prefill_tokens_ > 0) {
    context_.board.OnPrefilled(server_, prefill_tokens_);
    prefill_tokens_ = 0;
  }
  ShowEvents(bytes);
  if (attempt_ != nullptr) {
    ArmStall();  // what a stall may do depends on what has been shown
  }
}

auto proxy_session::NotePause() -> void {
  const auto now = context_.loop.get_now();
  if (shown_ == mono_time()) {
    first_event_ = now - call_.received_at;
    context_.counters.Observe(
        "ebony_first_event_seconds",
        std::chrono::duration<double>(first_event_).count());
  } else {
    longest_pause_ = std::max(longest_pause_, duration(now - shown_));
  }
  shown_ = now;
}

auto proxy_session::ShowEvents(std::string_view bytes) -> void {
  if (!answer_->has_begun()) {
    answer_->Begin(platform::MakeCallerHead(head_));
  }
  NotePause();
  if (rule_.repeat != repeat_rule::resumable) {
    answer_->Append(bytes);
  } else {
    // Only whole events are shown, so that another server can go on.
    auto whole = std::string();
    reader_.Feed(bytes, [&](const sse_event& event) {
      whole.append(event.raw);
      if (event.id > 0) {
        last_event_ = std::to_string(event.id);
      }
    });
    answer_->Append(whole);
  }
  if (answer_->GetUnsentBytes() > kMaxUnread) {
    attempt_->Cancel();
    ReleaseServer();
    BreakOff("caller_does_not_read");
  }
}

auto proxy_session::OnWhole() -> void {
  if (server_answer_.not_run) {
    OnAttemptEnd(attempt_outcome::not_run);
    return;
  }
  const auto is_success = server_answer_.status < kFirstError;
  if (is_success && (!server_answer_.is_sealed || server_answer_.is_encoded)) {
    OnAttemptEnd(attempt_outcome::invalid);
    return;
  }
  OnAttemptEnd(attempt_outcome::complete);
}

auto proxy_session::ReleaseServer() -> void {
  context_.loop.CancelTimer(stall_timer_);
  if (attempt_ == nullptr) {
    return;
  }
  attempt_ = nullptr;
  context_.board.OnEnded(server_, prefill_tokens_);
  prefill_tokens_ = 0;
}

// A server that got no byte costs nothing of the repeats.
auto proxy_session::MayGoOn(attempt_outcome end) -> bool {
  if (GetTimeLeft() <= duration(0)) {
    return false;
  }
  if (end == attempt_outcome::not_sent) {
    return unreached_ <= kMaxUnreached;
  }
  return context_.repeats.TryConsume(service_.name, context_.loop.get_now());
}

auto proxy_session::OnAttemptEnd(attempt_outcome end) -> void {
  if (is_done_) {
    return;
  }
  const auto self = shared_from_this();
  const auto now = context_.loop.get_now();
  ReleaseServer();
  if (end == attempt_outcome::not_sent) {
    --attempts_;
    ++unreached_;
  }
  auto facts = attempt_summary();
  facts.outcome = end;
  facts.answer = server_answer_;
  facts.retry_rule = rule_.repeat;
  facts.attempts = attempts_;
  facts.max_attempts = rule_.max_attempts;
  facts.may_have_run = has_run_maybe_;
  facts.has_delivered_events = answer_->has_begun();
  const auto is_misdirected = end == attempt_outcome::not_run &&
                              server_answer_.instance != backend_name() &&
                              server_answer_.instance != server_;
  if (is_misdirected) {
    context_.board.OnMisdirected(server_);
  } else if (end == attempt_outcome::complete && server_answer_.status < 500) {
    context_.board.OnAnswered(server_);
  } else if (end != attempt_outcome::not_run &&
             context_.board.OnFailed(server_, now)) {
    context_.counters.Count("ebony_ejections_total");
    context_.log.Write(
        event_category::state, "backend_ejected",
        {{"backend", server_.get()}, {"request", terms_.id.get()}});
  }
  auto step = end == attempt_outcome::complete && is_streaming_
                  ? attempt_action::deliver
                  : DecideAction(facts);
  if (step == attempt_action::retry && !MayGoOn(end)) {
    step = GetFallback(facts);
  }
  has_run_maybe_ = has_run_maybe_ || (end != attempt_outcome::not_sent &&
                                      end != attempt_outcome::not_run);
  if (step != attempt_action::deliver) {
    context_.log.Write(
        event_category::request, "attempt_ended",
        {{"request", terms_.id.get()},
         {"backend", server_.get()},
         {"end", std::string(GetAttemptOutcomeText(end))},
         {"status", static_cast<std::int64_t>(server_answer_.status)},
         {"took_ms", duration(now - sent_)},
         {"next", std::string(GetAttemptActionText(step))}});
  }
  context_.on_room();
  switch (step) {
    case attempt_action::deliver:
      Deliver();
      break;
    case attempt_action::retry:
      if (end == attempt_outcome::complete) {
        // The server's own failure is better than none of ours.
        spare_ = http_answer_copy{head_, std::move(body_)};
      }
      TryDispatch();
      break;
    case attempt_action::refuse:
      Refuse(end == attempt_outcome::not_sent ? error_kind::backend_unreachable
                                              : error_kind::overloaded,
             duration(0));
      break;
    case attempt_action::fail:
      Fail(error_kind::backend_failed);
      break;
    case attempt_action::abort_stream:
      BreakOff("stream_cut");
      break;
  }
}

auto proxy_session::GetStallLimit() const -> duration {
  const auto has_attempts = attempts_ < rule_.max_attempts;
  if (!has_attempts) {
    return duration(0);
  }
  if (rule_.repeat == repeat_rule::idempotent) {
    return std::max(kShortestStall, rule_.objective * kStallObjectives);
  }
  if (rule_.repeat == repeat_rule::resumable && answer_->has_begun()) {
    return rule_.event_gap * kStallGaps;
  }
  return duration(0);
}

auto proxy_session::ArmStall() -> void {
  context_.loop.CancelTimer(stall_timer_);
  const auto limit = GetStallLimit();
  if (limit <= duration(0)) {
    return;
  }
  stall_timer_ = context_.loop.AddTimerIn(
      limit, [self = shared_from_this()] { self->OnStalled(); });
}

// A silent server keeps its request for as long as nobody else could take it.
auto proxy_session::OnStalled() -> void {
  if (is_done_ || attempt_ == nullptr) {
    return;
  }
  if (!HasAlternative()) {
    ArmStall();
    return;
  }
  attempt_->Cancel();
  OnAttemptEnd(attempt_outcome::stalled);
}

}  // namespace ebony
