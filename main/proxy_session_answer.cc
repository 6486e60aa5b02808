// How a proxy_session takes a server's answer: its head, its body, and what
// both say of the server.

#include <algorithm>
#include <utility>

#include "codec/handover_codec.h"
#include "drivers/answer_status.h"
#include "main/peer_fields.h"
#include "main/proxy_session.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

// Unsent bytes of a stream, beyond which a caller that reads too slowly is cut
// off.
constexpr std::size_t kMaxUnsentBytes = 1024 * 1024;
// Bodies of answers that are not streams: of one, and of all together.
constexpr std::size_t kMaxBufferedBytes = std::size_t{8} * 1024 * 1024;
// A stream that has gone on for this long after its first bytes has not crashed
// its server by beginning.
constexpr duration kProofTime = std::chrono::milliseconds(250);
constexpr int kOk = 200;

// Returns what a peer says of its answer; nothing if that is unreadable.
auto TakePeerResult(const http_head& head) -> std::optional<handover_result> {
  const auto* field = head.Find(kHandoverResultField);
  return field == nullptr ? std::nullopt : DecodeResult(*field);
}

}  // namespace

auto proxy_session::OnHead(const http_head& head) -> void {
  RecordBytes();
  meter_.Reset();
  if (!IsDirect()) {
    peer_result_ = TakePeerResult(head);
    if (peer_result_) {
      server_ = peer_result_->backend;
      server_start_time_ms_ = peer_result_->start_time_ms;
      server_software_ = peer_result_->software;
    }
  }
  const auto decoded = platform::DecodeServerAnswer(head);
  RecordLeaving(decoded);
  response_head_ = head;
  RemovePeerFields(response_head_);
  server_answer_ = decoded;
  if (IsDirect()) {
    evidence_.has_just_begun = IsSuccess(decoded.status);
    RecordLimit(decoded);
    RecordPause(decoded);
  }
  is_streaming_ = rule_.is_stream && call_.head.method != "HEAD" &&
                  head.status == kOk && decoded.is_signed &&
                  !decoded.has_content_encoding && decoded.is_event_stream;
}

auto proxy_session::OnForeignHead(const http_head& head) -> void {
  RecordBytes();
  const auto answer = platform::DecodeServerAnswer(head);
  context_.counters.Count("ebony_foreign_answers_total");
  context_.log.Write(
      event_category::request, "answer_skipped",
      {{"request", metadata_.id.get()},
       {"echoed", answer.echoed_id.get()},
       {"status", static_cast<std::int64_t>(answer.status)},
       {"not_run", answer.not_run ? "yes" : "no"},
       {"backend", server_.get()},
       {"peer", peer_.get()},
       {"connection_number", static_cast<std::int64_t>(path_.connection)},
       {"earlier_calls", static_cast<std::int64_t>(path_.earlier_calls)}});
}

auto proxy_session::RecordBytes() -> void {
  last_received_ = context_.loop.get_now();
  if (!IsDirect()) {
    return;
  }
  context_.paths.OnBytes();
  if (std::exchange(is_new_connection_, false)) {
    context_.paths.OnAnswered();
  }
}

auto proxy_session::RecordLeaving(const server_answer& answer) -> void {
  const auto is_other_server =
      answer.backend != backend_name() && answer.backend != server_;
  if (is_other_server) {
    return;
  }
  if (answer.has_unreadable_leaving) {
    context_.counters.Count("ebony_unreadable_leaving_total");
    context_.log.Write(
        event_category::request, "leaving_unreadable",
        {{"request", metadata_.id.get()}, {"backend", server_.get()}});
  }
  if (answer.is_leaving) {
    context_.counters.Count("ebony_leaving_answers_total");
    context_.on_server_leaving(server_, server_start_time_ms_);
  }
}

auto proxy_session::RecordPause(const server_answer& answer) -> void {
  const auto now = context_.loop.get_now();
  const auto is_other_server =
      answer.backend != backend_name() && answer.backend != server_;
  if (is_other_server) {
    return;
  }
  if (answer.has_unreadable_retry_after) {
    context_.counters.Count("ebony_unreadable_retry_after_total");
    context_.log.Write(
        event_category::request, "retry_after_unreadable",
        {{"request", metadata_.id.get()}, {"backend", server_.get()}});
    return;
  }
  if (!answer.retry_after) {
    if (context_.pauses.OnAccepted(server_, server_start_time_ms_, now)) {
      context_.log.Write(
          event_category::state, "pause_over",
          {{"request", metadata_.id.get()}, {"backend", server_.get()}});
      context_.on_capacity_freed();
    }
    return;
  }
  if (context_.pauses.OnAsked(server_, server_start_time_ms_,
                              *answer.retry_after, now)) {
    context_.counters.Count("ebony_server_pauses_total");
    context_.log.Write(event_category::state, "pause_asked",
                       {{"request", metadata_.id.get()},
                        {"backend", server_.get()},
                        {"asked_ms", *answer.retry_after}});
  }
}

// Only a success ends a limit: errors may come from a part of the server that
// does not know of it.
auto proxy_session::RecordLimit(const server_answer& answer) -> void {
  const auto is_other_server =
      answer.backend != backend_name() && answer.backend != server_;
  const auto is_success = answer.is_signed && IsSuccess(answer.status);
  if (is_other_server) {
    return;
  }
  ReportUnreadableLimit(answer);
  const auto has_rate =
      answer.limit || (is_success && !answer.has_unreadable_limit);
  const auto has_rejections =
      answer.max_rejections ||
      (is_success && !answer.has_unreadable_max_rejections);
  if (!has_rate && !has_rejections) {
    return;
  }
  auto limit = context_.permits.GetLimit(server_, server_start_time_ms_);
  limit.rate = has_rate ? answer.limit : limit.rate;
  limit.max_rejections =
      has_rejections ? answer.max_rejections : limit.max_rejections;
  limit.is_presumed = false;
  limit.observed = context_.loop.get_now();
  if (context_.permits.OnAnswer(server_, server_start_time_ms_, limit)) {
    context_.counters.Count("ebony_limit_changes_total");
    context_.log.Write(
        event_category::state, "limit_named",
        {{"request", metadata_.id.get()},
         {"backend", server_.get()},
         {"per_1000_s", GetRateField(limit.rate)},
         {"max_rejections", GetRejectionField(limit.max_rejections)}});
  }
}

auto proxy_session::ReportUnreadableLimit(const server_answer& answer) -> void {
  if (answer.has_unreadable_limit) {
    context_.counters.Count("ebony_unreadable_limits_total");
    context_.log.Write(
        event_category::request, "limit_unreadable",
        {{"request", metadata_.id.get()}, {"backend", server_.get()}});
  }
  if (!answer.has_unreadable_max_rejections) {
    return;
  }
  context_.counters.Count("ebony_unreadable_max_rejections_total");
  if (context_.permits.OnUnreadable(server_, server_start_time_ms_)) {
    context_.log.Write(
        event_category::state, "max_rejections_unreadable",
        {{"request", metadata_.id.get()}, {"backend", server_.get()}});
  }
}

auto proxy_session::OnBody(std::string_view bytes) -> void {
  const auto self = shared_from_this();  // the attempt may be cancelled here
  evidence_.has_just_begun = false;
  RecordBytes();
  if (!is_streaming_) {
    BufferBody(bytes);
    return;
  }
  if (prefill_tokens_ > 0) {
    context_.selector.OnPrefilled(server_, prefill_tokens_);
    if (found_idle_server_) {
      constexpr double kTokensPerUnit = 1000;
      context_.first_events.Add(
          prefill_tokens_ / kTokensPerUnit,
          std::chrono::duration<double>(context_.loop.get_now() - sent_at_)
              .count());
      context_.pace.AddFirstEvent(
          GetPaceSource(), prefill_tokens_ / kTokensPerUnit,
          context_.loop.get_now() - sent_at_, context_.loop.get_now());
    }
    prefill_tokens_ = 0;
  }
  const auto now = context_.loop.get_now();
  if (first_body_at_ == mono_time()) {
    first_body_at_ = now;
    if (orders_by_cost_) {
      context_.admission.OnAnswered(admission_terms_, now - sent_at_);
    }
  } else if (now - first_body_at_ >= kProofTime) {
    RecordRun();
  }
  const auto events = stream_.get_events();
  ForwardEvents(bytes);
  // Bytes that complete no event are no progress.
  if (attempt_ != nullptr && stream_.get_events() != events) {
    RecordPace(stream_.get_events() - events);
    ArmStallTimer();
  }
}

auto proxy_session::GetPaceSource() -> pace_source {
  return {service_.name, server_, server_start_time_ms_,
          context_.selector.GetLoadPerSlot(server_, context_.loop.get_now())};
}

auto proxy_session::RecordPace(std::uint64_t events) -> void {
  if (!IsDirect()) {
    return;
  }
  const auto now = context_.loop.get_now();
  meter_.Add(events, now);
  if (meter_.HasSample()) {
    context_.pace.AddEvents(GetPaceSource(), meter_.get_events(),
                            meter_.get_time(), now);
    meter_.Clear();
  }
}

auto proxy_session::RecordAnswerTime() -> void {
  if (!IsDirect() || IsEngine()) {
    return;
  }
  const auto now = context_.loop.get_now();
  context_.pace.AddAnswer(GetPaceSource(), now - sent_at_, now);
}

auto proxy_session::BufferBody(std::string_view bytes) -> void {
  response_body_.append(bytes);
  CountBuffered();
  const auto is_too_large =
      response_body_.size() > kMaxBufferedBytes ||
      context_.buffered_bytes > context_.max_buffered_bytes;
  if (!is_too_large) {
    return;
  }
  context_.counters.Count("ebony_oversized_answers_total");
  attempt_->Cancel();
  response_body_.clear();
  OnAttemptEnd(attempt_outcome::invalid);
}

auto proxy_session::CountBuffered() -> void {
  const auto bytes = response_body_.size() +
                     (error_response_ ? error_response_->body.size() : 0);
  context_.buffered_bytes += bytes - std::exchange(buffered_bytes_, bytes);
  context_.buffered_charge.Set(context_.buffered_bytes);
}

auto proxy_session::RecordWrite() -> void {
  const auto now = context_.loop.get_now();
  if (last_write_ == mono_time()) {
    first_event_delay_ = now - call_.received_at;
    context_.counters.Observe(
        "ebony_first_event_seconds",
        std::chrono::duration<double>(first_event_delay_).count());
  } else {
    longest_gap_ = std::max(longest_gap_, duration(now - last_write_));
  }
  last_write_ = now;
}

auto proxy_session::RecordOrigin() -> void {
  if (rule_.retry != retry_policy::resumable) {
    return;
  }
  if (!origin_) {
    origin_ = stream_origin{service_.name, server_software_};
  }
  const auto first = metadata_.resumes.value_or(metadata_.id);
  if (!context_.origins.OnBegun(GetStreamKey(first), *origin_,
                                context_.loop.get_now())) {
    context_.counters.Count("ebony_unreported_streams_total");
  }
}

auto proxy_session::SendToCaller(std::string_view bytes) -> void {
  if (bytes.empty()) {
    return;
  }
  if (!answer_->has_begun()) {
    RecordOrigin();
    answer_->Begin(
        AddResult(platform::MakeCallerHead(response_head_), GetServerResult()));
  }
  RecordWrite();
  answer_->Append(bytes);
}

auto proxy_session::ForwardEvents(std::string_view bytes) -> void {
  SendToCaller(stream_.Feed(bytes));
  if (answer_->GetUnsentBytes() > kMaxUnsentBytes) {
    attempt_->Cancel();
    ReleaseServer();
    AbortStream("caller_does_not_read");
  } else if (stream_.IsUnusable()) {
    attempt_->Cancel();
    OnAttemptEnd(attempt_outcome::invalid);
  }
}

auto proxy_session::OnComplete() -> void {
  if (!IsDirect() && !peer_result_) {
    OnAttemptEnd(attempt_outcome::invalid);
    return;
  }
  if (!IsDirect() && peer_result_->error) {
    OnPeerError(*peer_result_);
    return;
  }
  if (server_answer_.not_run) {
    OnAttemptEnd(attempt_outcome::not_run);
    return;
  }
  const auto is_success = IsSuccess(server_answer_.status);
  if (is_success &&
      (!server_answer_.is_signed || server_answer_.has_content_encoding)) {
    OnAttemptEnd(attempt_outcome::invalid);
    return;
  }
  const auto has_framing = response_head_.framing != body_framing::at_close;
  if (is_streaming_ && !stream_.IsWhole(has_framing)) {
    context_.counters.Count("ebony_truncated_streams_total");
    OnAttemptEnd(attempt_outcome::truncated);
    return;
  }
  if (is_success && has_framing) {
    RecordRun();
  }
  if (is_success && !is_streaming_) {
    RecordAnswerTime();
  }
  OnAttemptEnd(attempt_outcome::complete);
}

}  // namespace ebony
