#include "main/caller_session.h"

#include <charconv>
#include <utility>

#include "drivers/answer_status.h"

namespace ebony {

namespace {

constexpr std::size_t kMaxResponseBytes = 16U << 20;
// A longer response to a request with an idempotency key is recorded without
// its body.
constexpr std::size_t kMaxRecordedBytes = 64U << 10;
constexpr auto kProgressInterval = std::chrono::milliseconds(100);
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTooMany = 429;
constexpr int kStatusServerError = 500;

// Parses `running=N,queued=N`. Returns std::nullopt if a number is missing.
auto ParseLoad(const std::string& text) -> std::optional<engine_load> {
  auto load = engine_load();
  const auto parse = [&text](const std::string& name, std::uint32_t& to) {
    const auto at = text.find(name);
    if (at == std::string::npos) {
      return false;
    }
    const auto* begin = text.data() + at + name.size();
    return std::from_chars(begin, text.data() + text.size(), to).ec ==
           std::errc();
  };
  if (!parse("running=", load.running) || !parse("queued=", load.queued)) {
    return std::nullopt;
  }
  return load;
}

auto ParseLimit(int status, const header_map& headers) -> limit_statement {
  auto limit = limit_statement();
  limit.is_from_success = IsSuccess(status);
  const auto found = headers.find("x-request-limit");
  if (found != headers.end()) {
    limit.rate = ParseRequestRate(found->second);
    limit.is_unreadable = !limit.rate;
  }
  const auto pause = headers.find("retry-after");
  if (status == kStatusUnavailable && pause != headers.end()) {
    limit.retry_after = ParseRetryAfter(pause->second);
  }
  const auto leaving = headers.find("x-leaving");
  limit.is_leaving = leaving != headers.end() && leaving->second == "1";
  return limit;
}

auto ToSeconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

caller_session::caller_session(exchange_pointer exchange,
                               http_request request,
                               caller_request parsed,
                               metrics& counters,
                               mono_time arrived)
    : exchange_(std::move(exchange)),
      request_(std::move(request)),
      parsed_(std::move(parsed)),
      metrics_(counters),
      arrived_(arrived) {}

auto caller_session::StartAttempt(attempt_number attempt) -> void {
  const auto lock = std::lock_guard(mutex_);
  current_ = attempt;
  event_reader_.Reset();
  status_ = 0;
  body_.clear();
  load_.reset();
  is_stream_response_ = false;
}

auto caller_session::OnHead(attempt_number attempt,
                            int status,
                            const header_map& headers) -> limit_statement {
  const auto lock = std::lock_guard(mutex_);
  const auto limit = ParseLimit(status, headers);
  if (attempt != current_ || is_answered_) {
    return limit;
  }
  const auto get = [&headers](const std::string& name) -> std::string {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  };
  status_ = status;
  content_type_ = get("content-type");
  load_ = ParseLoad(get("x-engine-load"));
  is_stream_response_ = parsed_.is_stream && status == kStatusOk &&
                        content_type_.starts_with("text/event-stream");
  auto resumed_after = std::uint64_t{0};
  const auto resumed = get("x-resumed-after");
  std::from_chars(resumed.data(), resumed.data() + resumed.size(),
                  resumed_after);
  deduplicator_.StartAttempt(resumed_after);
  return limit;
}

auto caller_session::ForwardEvent(const sse_event& event) -> void {
  if (!deduplicator_.Accept(event)) {
    return;
  }
  if (!has_started_) {
    has_started_ = true;
    exchange_->StartStream(kStatusOk, {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-store"}});
  }
  exchange_->Write(event.raw);
  if (parsed_.key != request_key()) {
    Record(event.raw);
  }
}

auto caller_session::Record(std::string_view event) -> void {
  is_too_long_to_record_ =
      is_too_long_to_record_ ||
      recorded_stream_.size() + event.size() > kMaxRecordedBytes;
  if (is_too_long_to_record_) {
    recorded_stream_.clear();
  } else {
    recorded_stream_ += event;
  }
}

auto caller_session::OnData(attempt_number attempt,
                            std::string_view bytes,
                            mono_time now) -> std::optional<std::uint64_t> {
  const auto lock = std::lock_guard(mutex_);
  if (attempt != current_ || is_answered_) {
    return std::nullopt;
  }
  if (!has_first_byte_) {
    has_first_byte_ = true;
    metrics_.Observe("ebony_first_byte_seconds", ToSeconds(now - arrived_));
  }
  if (is_stream_response_) {
    event_reader_.Feed(bytes,
                       [this](const sse_event& event) { ForwardEvent(event); });
  } else if (body_.size() <= kMaxResponseBytes) {
    body_.append(bytes);
  }
  if (now - last_progress_ < kProgressInterval) {
    return std::nullopt;
  }
  last_progress_ = now;
  return deduplicator_.get_delivered_count();
}

auto caller_session::OnEnd(attempt_number attempt, transfer_result end)
    -> attempt_result {
  const auto lock = std::lock_guard(mutex_);
  auto result = attempt_result();
  if (attempt != current_) {
    return result;
  }
  result.status = status_;
  result.events_delivered =
      has_started_ ? deduplicator_.get_delivered_count() : 0;
  result.has_replay_mismatch = deduplicator_.has_replay_mismatch();
  switch (end) {
    case transfer_result::completed:
      result.end = attempt_end::complete;
      break;
    case transfer_result::not_sent:
      result.end = attempt_end::not_sent;
      break;
    case transfer_result::interrupted:
    case transfer_result::cancelled:
      result.end = attempt_end::interrupted;
      break;
  }
  // A stream is complete only with its final event. An error that the engine
  // answers to a resumed attempt stays one, so that it can be retried.
  const auto is_engine_error =
      status_ >= kStatusServerError || status_ == kStatusTooMany;
  const auto is_stream =
      is_stream_response_ || (has_started_ && !is_engine_error);
  const auto is_truncated = is_stream && !deduplicator_.is_done();
  const auto is_oversized = body_.size() > kMaxResponseBytes;
  if (result.end == attempt_end::complete && (is_truncated || is_oversized)) {
    result.end = attempt_end::interrupted;
  }
  if (result.end == attempt_end::complete && parsed_.key != request_key()) {
    const auto& body = is_stream_response_ ? recorded_stream_ : body_;
    const auto is_recorded = body.size() <= kMaxRecordedBytes;
    result.outcome = {status_, content_type_, is_recorded ? body : ""};
  }
  return result;
}

auto caller_session::Deliver(attempt_number attempt) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (attempt != current_ || is_answered_) {
    return;
  }
  is_answered_ = true;
  metrics_.Observe("ebony_answer_seconds{kind=\"whole\"}",
                   ToSeconds(last_progress_ - arrived_));
  if (has_started_ && !deduplicator_.is_done()) {
    // The error of another attempt does not end the stream that has begun.
    exchange_->Abort();
    return;
  }
  if (has_started_) {
    exchange_->Finish();
    return;
  }
  auto headers = header_map{{"X-Request-Ran", "yes"}};
  if (!content_type_.empty()) {
    headers["Content-Type"] = content_type_;
  }
  exchange_->Respond(status_, headers, body_);
}

auto caller_session::Reject(const refuse_action& rejection) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (is_answered_) {
    return;
  }
  is_answered_ = true;
  auto answer =
      MakeErrorResponse(rejection.kind, rejection.ran, rejection.message);
  if (rejection.retry_after.count() > 0) {
    answer.headers["Retry-After"] =
        std::to_string(rejection.retry_after.count());
  }
  if (!has_started_) {
    exchange_->Respond(answer.status, answer.headers, std::move(answer.body));
    return;
  }
  // Part of the response was sent: report the error as an event, then abort the
  // connection so that the response does not look complete.
  exchange_->Write("event: error\ndata: " + answer.body + "\n");
  exchange_->Abort();
}

auto caller_session::Replay(const claim_outcome& outcome) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (is_answered_) {
    return;
  }
  is_answered_ = true;
  if (outcome.body.empty()) {
    auto answer = MakeErrorResponse(
        error_kind::duplicate_in_progress, ran_state::yes,
        "the request ran with status " + std::to_string(outcome.status) +
            "; its response was too long to record");
    answer.headers.erase("Retry-After");
    exchange_->Respond(answer.status, answer.headers, std::move(answer.body));
    return;
  }
  exchange_->Respond(outcome.status,
                     {{"Content-Type", outcome.content_type},
                      {"X-Request-Ran", "yes"},
                      {"Idempotency-Replayed", "true"}},
                     outcome.body);
}

auto caller_session::DetachAttempt() -> void {
  const auto lock = std::lock_guard(mutex_);
  current_ = attempt_number();
}

auto caller_session::get_engine_load() const -> std::optional<engine_load> {
  const auto lock = std::lock_guard(mutex_);
  return load_;
}

}  // namespace ebony
