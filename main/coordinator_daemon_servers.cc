#include <utility>

#include "codec/message_reader.h"
#include "codec/site_codec.h"
#include "main/coordinator_daemon.h"
#include "main/site_paths.h"

// Announcements and departures of backend servers, from the servers themselves
// and passed on by other coordinators.

namespace ebony {

namespace {

// Below the 1 s timeout of backend servers that announce themselves.
constexpr duration kForwardTimeout = std::chrono::milliseconds(900);
constexpr duration kLinkIdleTimeout = std::chrono::seconds(5);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// Returns the code of the error that answers an announcement, or an empty
// string if it is accepted. One that says that the server leaves agrees with
// what is known of a start that is over.
auto GetRefusal(announce_result result, const backend_status& status)
    -> std::string {
  if (status.is_leaving) {
    return {};
  }
  switch (result) {
    case announce_result::earlier_start:
      return "later_start_known";
    case announce_result::has_left:
      return "start_has_left";
    case announce_result::changed:
    case announce_result::unchanged:
    case announce_result::superseded:
      break;
  }
  return {};
}

}  // namespace

// What several calls in one message come to: the first refusal, else whether
// all live gateways have what was said.
struct coordinator_daemon::announce_outcome {
  std::size_t remaining = 0;
  bool is_propagated = true;
  int refused_with = 0;  // HTTP status; 0: nothing was refused
  std::string refusal;

  auto Refuse(int status, const std::string& code) -> void {
    if (refused_with == 0) {
      refused_with = status;
      refusal = platform::EncodeRefusal(code);
    }
  }
};

auto coordinator_daemon::RespondToAnnouncement(const response_pointer& answer)
    -> void {
  const auto next = raft_.is_leader() ? settings_.operator_address
                                      : raft_.GetLeaderOperatorAddress();
  Respond(answer, kOk, platform::EncodeAnnounceAnswer(next));
}

auto coordinator_daemon::RecordAnnouncement(backend_status status,
                                            mono_time said_at)
    -> announce_result {
  order_executor_.ApplyKnownModels(status);
  if (!software_.Contains({status.service, status.software})) {
    has_all_software_ = false;
    is_census_due_ = true;
  }
  const auto result = registry_.Announce(status, loop_.get_now(), said_at);
  if (result == announce_result::changed) {
    log_.Write(event_category::state, "backend_announced",
               {{"backend", status.id.get()},
                {"service", status.service.get()},
                {"address", status.address.get()},
                {"leaving", status.is_leaving ? "yes" : "no"},
                {"models", static_cast<std::int64_t>(status.models.size())},
                {"sequence", static_cast<std::int64_t>(status.sequence)}});
  }
  return result;
}

auto coordinator_daemon::ApplyAnnouncement(const backend_status& status,
                                           mono_time said_at,
                                           announce_outcome& outcome) -> void {
  const auto code = GetRefusal(RecordAnnouncement(status, said_at), status);
  if (code.empty()) {
    return;
  }
  outcome.Refuse(kConflict, code);
  metrics_.Count("ebony_announcements_refused_total{reason=\"" + code + "\"}");
  const auto& known = registry_.Find(status.id)->status;
  log_.Write(
      event_category::request, "announcement_refused",
      {{"backend", status.id.get()},
       {"reason", code},
       {"start_ms", static_cast<std::int64_t>(status.start_time_ms)},
       {"known_start_ms", static_cast<std::int64_t>(known.start_time_ms)},
       {"sequence", static_cast<std::int64_t>(status.sequence)}});
}

auto coordinator_daemon::ApplyDeparture(const backend_departure& departure,
                                        announce_outcome& outcome) -> void {
  const auto result = registry_.Leave(departure);
  if (result == departure_result::known) {
    return;
  }
  const auto is_recorded = result == departure_result::recorded;
  if (!is_recorded) {
    outcome.Refuse(kUnavailable, "start_not_known");
    metrics_.Count("ebony_departures_refused_total");
  }
  const auto& known = registry_.Find(departure.id)->status;
  log_.Write(
      event_category::state, is_recorded ? "backend_left" : "departure_refused",
      {{"backend", departure.id.get()},
       {"start_ms", static_cast<std::int64_t>(departure.start_time_ms)},
       {"known_start_ms", static_cast<std::int64_t>(known.start_time_ms)},
       {"age_ms", duration(loop_.get_now() - departure.said_at)}});
}

auto coordinator_daemon::FinishAnnouncements(
    const std::vector<backend_name>& ids,
    announce_outcome outcome,
    std::function<void(const announce_outcome&)> done) -> void {
  outcome.remaining = ids.size();
  const auto shared = std::make_shared<announce_outcome>(std::move(outcome));
  for (const auto& id : ids) {
    AwaitPropagation(id, [shared, done](bool is_propagated) {
      shared->is_propagated = shared->is_propagated && is_propagated;
      if (--shared->remaining == 0) {
        done(*shared);
      }
    });
  }
}

// A departure is acknowledged only after the gateways have received it, so that
// it survives the loss of this leader. Everything else is acknowledged at once.
auto coordinator_daemon::AwaitPropagation(const backend_name& id,
                                          std::function<void(bool)> done)
    -> void {
  const auto* record = registry_.Find(id);
  const auto is_departing =
      record != nullptr && (record->has_left || record->status.is_leaving);
  if (!is_departing) {
    done(true);
    return;
  }
  if (!raft_.IsConfirmedLeader()) {
    done(false);  // another leader may serve the gateways
    return;
  }
  drain_acks_.Wait(record->revision, loop_.get_now(), std::move(done));
}

auto coordinator_daemon::RespondToServer(const announce_outcome& outcome,
                                         const response_pointer& answer)
    -> void {
  if (outcome.refused_with != 0) {
    Respond(answer, outcome.refused_with, outcome.refusal);
  } else if (outcome.is_propagated) {
    RespondToAnnouncement(answer);
  } else {
    Respond(answer, kUnavailable, {});
  }
}

auto coordinator_daemon::OnAnnounce(const backend_status& status,
                                    mono_time said_at,
                                    const response_pointer& answer) -> void {
  if (!raft_.is_leader()) {
    auto record = backend_record();
    record.status = status;
    record.last_seen = said_at;
    ForwardToLeader(record, answer);
    return;
  }
  auto outcome = announce_outcome();
  ApplyAnnouncement(status, said_at, outcome);
  FinishAnnouncements({status.id}, std::move(outcome),
                      [this, answer](const announce_outcome& result) {
                        RespondToServer(result, answer);
                      });
}

auto coordinator_daemon::OnLeave(const platform::leave_call& call,
                                 mono_time said_at,
                                 const response_pointer& answer) -> void {
  if (!raft_.is_leader()) {
    auto record = backend_record();
    record.status.id = call.id;
    record.status.start_time_ms = call.start_time_ms;
    record.has_left = true;
    record.last_seen = said_at;
    ForwardToLeader(record, answer);
    return;
  }
  auto outcome = announce_outcome();
  ApplyDeparture({call.id, call.start_time_ms, said_at}, outcome);
  FinishAnnouncements({call.id}, std::move(outcome),
                      [this, answer](const announce_outcome& result) {
                        RespondToServer(result, answer);
                      });
}

// The call is acknowledged only after the leader has accepted it. The leader is
// told how long ago it may have been said: a departure that lay here while this
// process stood still may be of an earlier start of the server.
auto coordinator_daemon::ForwardToLeader(const backend_record& record,
                                         const response_pointer& answer)
    -> void {
  const auto leader = raft_.GetLeaderLinkAddress();
  if (leader == host_port() || leader == raft_.get_own_link_address()) {
    Respond(answer, kUnavailable, {});
    return;
  }
  auto batch = schema::announce_batch();
  *batch.add_backends() = ToSchema(record, loop_.get_now());
  const auto status = std::make_shared<int>(0);
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_head = [status](const http_head& head) { *status = head.status; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, status, body, answer] {
    if (*status == kOk) {
      RespondToAnnouncement(answer);
    } else {
      const auto is_refused = *status == kConflict;
      Respond(answer, is_refused ? kConflict : kUnavailable, *body);
    }
  };
  hooks.on_failed = [this, answer](call_failure) {
    Respond(answer, kUnavailable, {});
  };
  auto options = MakeLinkOptions();
  options.max_idle_time = kLinkIdleTimeout;
  options.connect_timeout = kForwardTimeout;
  const auto call = std::shared_ptr<pooled_call>(pool_.Start(
      leader, RenderPost(kAnnouncePath, leader, batch.SerializeAsString()),
      false, options, std::move(hooks)));
  loop_.AddTimerIn(kForwardTimeout, [this, call, answer] {
    if (!answer->is_final()) {
      call->CancelAndReset();
      Respond(answer, kUnavailable, {});
    }
  });
}

auto coordinator_daemon::OnAnnounceBatch(const incoming_request& call,
                                         const response_pointer& answer)
    -> void {
  auto batch = schema::announce_batch();
  if (!raft_.is_leader()) {
    Respond(answer, kUnavailable, {});
    return;
  }
  if (!CheckRows(kAnnouncePath, call.body.size(),
                 ReadMessage(call.body, batch)) ||
      batch.backends().empty()) {
    Respond(answer, kBadRequest, {});
    return;
  }
  auto outcome = announce_outcome();
  auto ids = std::vector<backend_name>();
  for (const auto& row : batch.backends()) {
    const auto record = ToDomain(row, call.arrived_after);
    ids.push_back(record.status.id);
    if (record.has_left) {
      ApplyDeparture(
          {record.status.id, record.status.start_time_ms, record.last_seen},
          outcome);
    } else {
      ApplyAnnouncement(record.status, record.last_seen, outcome);
    }
  }
  FinishAnnouncements(
      ids, std::move(outcome), [this, answer](const announce_outcome& result) {
        const auto status = result.refused_with != 0 ? result.refused_with
                            : result.is_propagated   ? kOk
                                                     : kUnavailable;
        Respond(answer, status, result.refusal);
      });
}

}  // namespace ebony
