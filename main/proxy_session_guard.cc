// How a proxy_session takes part in finding requests that crash servers.

#include <utility>

#include "core/hashing.h"
#include "main/proxy_session.h"

namespace ebony {

namespace {

// Time after which the leader has told what other gateways saw of a server.
constexpr duration kReportDelay = std::chrono::milliseconds(600);

}  // namespace

auto proxy_session::PassesGuard() -> bool {
  const auto decision =
      context_.guard.Check(suspects_, context_.loop.get_now());
  switch (decision.verdict) {
    case guard_verdict::clear:
      return true;
    case guard_verdict::await_trial:
      queue_reason_ = server_verdict::await_trial;
      if (!position_) {
        context_.on_suspicion();
        Enqueue(server_verdict::await_trial);
      }
      return false;
    case guard_verdict::quarantined:
      break;
  }
  RejectQuarantined(decision.quarantine_left);
  return false;
}

auto proxy_session::PassesQuarantine() -> bool {
  const auto left =
      context_.guard.GetQuarantineLeft(suspects_, context_.loop.get_now());
  if (left <= duration(0)) {
    return true;
  }
  RejectQuarantined(left);
  return false;
}

auto proxy_session::RejectQuarantined(duration quarantine_left) -> void {
  context_.counters.Count("ebony_quarantine_rejections_total");
  LeaveQueue();
  Reject(error_kind::crashes_servers, quarantine_left);
}

auto proxy_session::GetServerRun() const -> server_run {
  return server_run(HashBytes(server_.get(), server_start_time_ms_));
}

auto proxy_session::RecordRun() -> void {
  if (!IsDirect() || std::exchange(is_proven_, true)) {
    return;
  }
  const auto cleared = context_.guard.OnRan(suspects_, context_.loop.get_now());
  context_.guard.EndTrial(evidence_);
  if (cleared.empty()) {
    return;
  }
  for (const auto key : cleared) {
    context_.log.Write(event_category::state, "suspect_cleared",
                       {{"request", metadata_.id.get()},
                        {"key", GetKeyText(key)},
                        {"backend", server_.get()}});
  }
  context_.counters.Count("ebony_cleared_suspects_total", cleared.size());
  context_.on_suspicion();
}

auto proxy_session::RecordCrash(const attempt_evidence& evidence,
                                server_run run) -> void {
  const auto accused = context_.guard.OnServerCrashed(suspects_, evidence, run,
                                                      context_.loop.get_now());
  for (const auto key : accused) {
    const auto& record = *context_.guard.get_ledger().Find(key);
    context_.log.Write(
        event_category::state, "suspect_accused",
        {{"request", metadata_.id.get()},
         {"key", GetKeyText(key)},
         {"backend", server_.get()},
         {"just_begun", evidence.has_just_begun ? "yes" : "no"},
         {"rounds", static_cast<std::int64_t>(record.rounds)},
         {"begun_rounds", static_cast<std::int64_t>(record.begun_rounds)},
         {"servers",
          static_cast<std::int64_t>(record.runs.get_values().size())},
         {"proven", IsProvenCrasher(record) ? "yes" : "no"}});
  }
  if (!accused.empty()) {
    context_.on_suspicion();
  }
}

auto proxy_session::HasFallenForWantOfRoom(const backend_name& server,
                                           std::uint64_t start_time_ms)
    -> bool {
  const auto now = context_.loop.get_now();
  const auto has_fallen =
      context_.permits.HasFallenForWantOfRoom(server, start_time_ms, now);
  if (has_fallen) {
    context_.counters.Count("ebony_fallen_servers_total");
    context_.log.Write(
        event_category::state, "fell_for_want_of_room",
        {{"request", metadata_.id.get()}, {"backend", server.get()}});
  }
  return has_fallen;
}

// A server that falls over when it has to reject many requests may have
// rejected those of other gateways, whose reports take a moment.
auto proxy_session::OnServerEnded(const attempt_evidence& evidence,
                                  server_run run) -> void {
  if (!context_.permits.HasSlotLimit(server_, server_start_time_ms_)) {
    RecordCrash(evidence, run);
    return;
  }
  if (HasFallenForWantOfRoom(server_, server_start_time_ms_)) {
    return;
  }
  context_.loop.AddTimerIn(
      kReportDelay, [self = shared_from_this(), evidence, run, server = server_,
                     start = server_start_time_ms_] {
        if (!self->HasFallenForWantOfRoom(server, start)) {
          self->RecordCrash(evidence, run);
        }
      });
}

auto proxy_session::CheckForCrash(std::function<void()> on_done) -> void {
  const auto run = GetServerRun();
  context_.verifier.Verify(
      server_, server_address_, run,
      [self = shared_from_this(), run,
       evidence = std::exchange(evidence_, attempt_evidence()),
       on_done = std::move(on_done)](bool has_ended) mutable {
        if (has_ended) {
          self->OnServerEnded(evidence, run);
        }
        self->context_.guard.EndTrial(evidence);
        on_done();
      });
}

}  // namespace ebony
