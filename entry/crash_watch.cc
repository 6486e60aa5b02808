#include "entry/crash_watch.h"

#include "core/hashing.h"

namespace ebony {

namespace {

auto GetRun(const backend_name& backend, incarnation run) -> server_run {
  return server_run(HashBytes(backend.get(), run.get()));
}

}  // namespace

// Callers don't share a request: its key is of one caller only.
auto MakeSuspects(const watched_request& request) -> request_suspects {
  auto metadata = request_metadata();
  metadata.host = request.caller.get();
  if (request.prefix_hash != 0) {
    metadata.prompt_segments = {{request.prefix_hash, 0},
                                {request.fingerprint, 0}};
  }
  const auto fingerprint =
      request_fingerprint(HashBytes(request.caller.get(), request.fingerprint));
  const auto service = request.service == service_name()
                           ? service_name(request.model.get())
                           : request.service;
  return GetSuspects(metadata, fingerprint, service);
}

template <typename Predicate>
auto crash_watch::Resolve(const Predicate& is_over, mono_time now) -> void {
  std::erase_if(interruptions_, [&](const interruption& item) {
    if (!is_over(item)) {
      return now - item.at > kWaitTime;
    }
    guard_.OnServerCrashed(item.suspects, item.evidence,
                           GetRun(item.backend, item.run), now);
    return true;
  });
}

auto crash_watch::GetQuarantineLeft(const request_suspects& suspects,
                                    mono_time now) const
    -> std::optional<duration> {
  const auto left = guard_.GetQuarantineLeft(suspects, now);
  return left > duration(0) ? std::optional(left) : std::nullopt;
}

auto crash_watch::GetMaxInterruptions(const request_suspects& suspects,
                                      mono_time now) const -> int {
  return guard_.IsSuspected(suspects, now) ? 1 : 2;
}

auto crash_watch::OnSent(const request_suspects& suspects, mono_time now)
    -> attempt_evidence {
  auto evidence = guard_.OnSent(suspects, now);
  guard_.EndTrial(evidence);  // entries share no trials
  return evidence;
}

auto crash_watch::OnAnswered(const request_suspects& suspects,
                             const backend_name& backend,
                             incarnation run,
                             mono_time now) -> void {
  guard_.OnRan(suspects, now);
  std::erase_if(interruptions_, [&](const interruption& item) {
    return item.backend == backend && item.run == run;
  });
}

auto crash_watch::OnInterrupted(const request_suspects& suspects,
                                const attempt_evidence& evidence,
                                const backend_name& backend,
                                incarnation run,
                                mono_time now) -> void {
  if (interruptions_.size() < kMaxInterruptions) {
    interruptions_.push_back({suspects, evidence, backend, run, now});
  }
}

auto crash_watch::OnUnreachable(const backend_name& backend,
                                incarnation run,
                                mono_time now) -> void {
  Resolve(
      [&](const interruption& item) {
        return item.backend == backend && item.run == run;
      },
      now);
}

auto crash_watch::Tick(const routing_table& table, mono_time now) -> void {
  Resolve(
      [&table](const interruption& item) {
        const auto* route = table.FindBackend(item.backend);
        return route == nullptr || route->removed || route->run != item.run;
      },
      now);
  guard_.get_ledger().Forget(now);
}

auto crash_watch::ListGossip(mono_time now) const -> std::vector<crash_report> {
  auto list = std::vector<crash_report>();
  auto revision = std::uint64_t{0};
  const auto& ledger = guard_.get_ledger();
  for (auto page = ledger.ListSince(revision, now); !page.empty();
       page = ledger.ListSince(revision, now)) {
    for (auto& report : page) {
      const auto key = report.record.key;
      const auto is_told = report.age <= kGossipTime ||
                           ledger.Judge(key, now) == suspicion::quarantined;
      if (is_told && list.size() < kMaxGossipRecords) {
        list.push_back(std::move(report));
      }
    }
  }
  return list;
}

auto crash_watch::OnGossip(const crash_report& report, mono_time now) -> void {
  guard_.get_ledger().Merge(report, true, now);
}

}  // namespace ebony
