// How a proxy_session lets a peer make an attempt, and answers as a peer.

#include <utility>

#include "codec/handover_codec.h"
#include "main/peer_fields.h"
#include "main/proxy_session.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

// Peers that are tried one after another before one sends the request.
constexpr std::size_t kMaxTriedPeers = 3;
// The same while other servers can be connected to from here: most likely, the
// one that can't has crashed.
constexpr std::size_t kMaxTriedPeersIfOpen = 1;
// While the paths are closed, an attempt whose server has been silent for
// longer has lost its connection.
constexpr duration kMaxSilence = std::chrono::milliseconds(200);
constexpr int kUnavailable = 503;

}  // namespace

// A request that was handed over is never handed on: it would come back.
auto proxy_session::CanHandOver() -> bool {
  const auto limit =
      context_.paths.is_closed() ? kMaxTriedPeers : kMaxTriedPeersIfOpen;
  return !IsHandedOver() && tried_peers_.size() < limit &&
         context_.peers.Choose(tried_peers_, context_.loop.get_now()) !=
             nullptr;
}

auto proxy_session::MustAwaitPaths() -> bool {
  const auto has_failed = connect_failures_ > 0 || may_have_run_;
  return has_failed && context_.paths.is_in_doubt() && CanHandOver();
}

auto proxy_session::HandOver() -> void {
  const auto now = context_.loop.get_now();
  const auto* peer = context_.peers.Choose(tried_peers_, now);
  LeaveQueue();
  if (peer == nullptr) {
    Reject(error_kind::backend_unreachable, duration(0));
    return;
  }
  ++attempts_;
  peer_ = peer->vm;
  peer_result_.reset();
  tried_peers_.insert(peer->vm);
  server_ = backend_name();
  evidence_ = attempt_evidence();
  prefill_tokens_ = 0;
  context_.peers.OnStarted(peer_);
  auto terms = handover_terms();
  terms.config = route_table_->get_config().number;
  terms.service = service_.name;
  terms.organisation = metadata_.account.organisation;
  if (origin_) {
    terms.software = origin_->software;
  }
  terms.tried = {tried_servers_.begin(), tried_servers_.end()};
  auto forward = platform::forward_options();
  forward.time_left = GetTimeLeft();
  forward.resume_after = GetResumePoint();
  forward.has_organisations = HasOrganisations();
  auto head =
      platform::MakeForwardedHead(call_.head, forward, call_.body.size());
  head.fields.push_back({kHandoverField, EncodeTerms(terms)});
  context_.counters.Count("ebony_handovers_total");
  context_.log.Write(event_category::request, "handed_over",
                     {{"request", metadata_.id.get()},
                      {"route", rule_.name.get()},
                      {"model", metadata_.model.get()},
                      {"peer", peer_.get()},
                      {"after", forward.resume_after.value_or("")},
                      {"attempt", static_cast<std::int64_t>(attempts_)},
                      {"paths", context_.paths.is_closed() ? "closed" : "open"},
                      {"left_ms", forward.time_left}});
  StartAttempt(peer->address, head);
}

auto proxy_session::OnPeerError(const handover_result& result) -> void {
  if (result.is_declined) {
    OnAttemptEnd(attempt_outcome::not_sent);
    return;
  }
  if (server_answer_.status != kUnavailable) {
    OnAttemptEnd(attempt_outcome::interrupted);
    return;
  }
  ReleaseServer();
  --attempts_;
  Reject(*result.error, result.retry_after);
}

auto proxy_session::AddResult(http_head head,
                              const handover_result& result) const
    -> http_head {
  RemovePeerFields(head);
  if (IsHandedOver()) {
    head.fields.push_back({kHandoverResultField, EncodeResult(result)});
  }
  return head;
}

auto proxy_session::GetServerResult() const -> handover_result {
  auto result = handover_result();
  result.backend = server_;
  result.start_time_ms = server_start_time_ms_;
  result.software = server_software_;
  return result;
}

// What has not been sent goes to a peer at once, as does what may run again and
// lost its connection.
auto proxy_session::OnPathsClosed() -> void {
  if (is_finished_) {
    return;
  }
  const auto self = shared_from_this();
  if (attempt_ == nullptr) {
    RetryDispatch();
    return;
  }
  if (!IsDirect()) {
    return;
  }
  if (attempt_->CancelIfUnsent()) {
    OnAttemptEnd(attempt_outcome::not_sent);
    return;
  }
  const auto silence = context_.loop.get_now() - last_received_;
  const auto may_repeat =
      rule_.retry != retry_policy::at_most_once && attempts_ < GetMaxAttempts();
  if (context_.paths.is_hanging() && silence >= kMaxSilence && may_repeat) {
    OnStalled();
  }
}

}  // namespace ebony
