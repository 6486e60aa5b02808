// How a gateway finds out what began a stream that a caller takes up.

#include <memory>
#include <utility>

#include "core/error_kind.h"
#include "main/gateway_daemon.h"

namespace ebony {

namespace {

constexpr int kUnavailable = 503;

}  // namespace

auto gateway_daemon::FindOrigin(const route_rule& rule,
                                const request_metadata& metadata)
    -> std::optional<stream_origin> {
  if (metadata.resumes) {
    if (auto origin = origins_.Find(GetStreamKey(*metadata.resumes))) {
      return origin;
    }
  }
  const auto only = FindOnlySoftware(rule);
  const auto is_history_long =
      only && software_.GetOnly(only->service, loop_.get_now());
  return is_history_long ? only : std::nullopt;
}

auto gateway_daemon::FindOnlySoftware(const route_rule& rule) const
    -> std::optional<stream_origin> {
  const auto now = loop_.RefreshNow();
  const auto is_current =
      permits_.GetContactAge(now) < software_replica::kMaxAge &&
      freshness_.IsConfirmedWithin(software_replica::kMaxAge, now);
  const auto* versions = versions_.Get();
  if (rule.targets.size() != 1 || !is_current || versions == nullptr) {
    return std::nullopt;
  }
  const auto& service = rule.targets.front().service;
  const auto only = versions->GetOnly(service);
  return only ? std::optional(stream_origin{service, *only}) : std::nullopt;
}

auto gateway_daemon::TakeUpStream(const route_rule& rule,
                                  incoming_request call,
                                  request_metadata metadata,
                                  const response_pointer& answer) -> void {
  if (const auto origin = FindOrigin(rule, metadata)) {
    StartRouted(std::move(call), std::move(metadata), origin, answer);
  } else if (metadata.resumes) {
    AskForOrigin(std::move(call), std::move(metadata), answer);
  } else {
    StartUnknown(std::move(call), std::move(metadata), answer);
  }
}

auto gateway_daemon::StartUnknown(incoming_request call,
                                  request_metadata metadata,
                                  const response_pointer& answer) -> void {
  const auto* rule = route_table_->Match(metadata.host, metadata.path);
  const auto only = rule == nullptr ? std::nullopt : FindOnlySoftware(*rule);
  if (only) {
    StartRouted(std::move(call), std::move(metadata), only, answer);
    return;
  }
  RejectCall(metadata, error_kind::stream_origin_unknown, kUnavailable, answer);
}

auto gateway_daemon::IsAbandoned(const request_metadata& metadata,
                                 const response_pointer& answer) -> bool {
  if (!answer->is_final()) {
    return false;
  }
  quotas_.CreditBack(metadata.account.charge, loop_.get_now());
  return true;
}

// The coordinators may know what began the stream, or may be about to be told.
auto gateway_daemon::AskForOrigin(incoming_request call,
                                  request_metadata metadata,
                                  const response_pointer& answer) -> void {
  struct waiting_call {
    incoming_request call;
    request_metadata metadata;
    bool is_started = false;
  };
  const auto asked_at = loop_.get_now();
  const auto key = GetStreamKey(*metadata.resumes);
  const auto waiting = std::make_shared<waiting_call>(
      waiting_call{std::move(call), std::move(metadata)});
  const auto timeout = loop_.AddTimerIn(
      stream_origins::kQuestionTimeout, [this, waiting, answer] {
        if (std::exchange(waiting->is_started, true) ||
            IsAbandoned(waiting->metadata, answer)) {
          return;
        }
        StartUnknown(std::move(waiting->call), std::move(waiting->metadata),
                     answer);
      });
  origins_.Ask(
      key,
      [this, waiting, answer, asked_at, timeout](const stream_origin& origin) {
        if (std::exchange(waiting->is_started, true) ||
            IsAbandoned(waiting->metadata, answer)) {
          return;
        }
        loop_.CancelTimer(timeout);
        log_.Write(event_category::request, "stream_origin",
                   {{"request", waiting->metadata.id.get()},
                    {"resumes", waiting->metadata.resumes->get()},
                    {"software", origin.software.get()},
                    {"waited_ms", duration(loop_.get_now() - asked_at)}});
        StartRouted(std::move(waiting->call), std::move(waiting->metadata),
                    origin, answer);
      },
      asked_at);
  link_.SyncSoon();
}

}  // namespace ebony
