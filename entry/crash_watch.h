#ifndef EBONY_ENTRY_CRASH_WATCH_H_
#define EBONY_ENTRY_CRASH_WATCH_H_

#include <optional>
#include <vector>

#include "core/crash_ledger.h"
#include "core/ids.h"
#include "entry/crash_guard.h"
#include "entry/routing_table.h"

namespace ebony {

// The attributes of a request that tell what may crash a server.
struct watched_request {
  caller_name caller;
  service_name service;
  model_name model;
  std::uint64_t fingerprint = 0;  // hash of the method, path and body
  std::uint64_t prefix_hash = 0;  // of the start of the prompt; 0: none
};

auto MakeSuspects(const watched_request& request) -> request_suspects;

// An entry's part in finding requests that crash backend servers. An entry
// cannot tell at once whether a connection that broke off means a crash, so
// attempts that were interrupted wait until their server's run has turned out
// to be over, or has answered another request. Records are shared by gossip.
class crash_watch {
  struct interruption {
    request_suspects suspects;
    attempt_evidence evidence;
    backend_name backend;
    incarnation run;
    mono_time at;
  };

  crash_guard guard_;
  std::vector<interruption> interruptions_;

  // Accuses the requests of the interruptions for which `is_over` holds.
  template <typename Predicate>
  auto Resolve(const Predicate& is_over, mono_time now) -> void;

 public:
  // Interruptions that wait. Further ones are not looked into.
  static constexpr std::size_t kMaxInterruptions = 1024;
  // An interruption is dropped after this time.
  static constexpr duration kWaitTime = std::chrono::seconds(10);
  // Records in one gossip message, and how long a change is repeated in them.
  static constexpr std::size_t kMaxGossipRecords = 64;
  static constexpr duration kGossipTime = std::chrono::seconds(10);

  // Returns the time for which the request is rejected, if it is.
  auto GetQuarantineLeft(const request_suspects& suspects, mono_time now) const
      -> std::optional<duration>;
  // Returns the attempts of the request that may break off, since it may be the
  // cause.
  auto GetMaxInterruptions(const request_suspects& suspects,
                           mono_time now) const -> int;
  auto OnSent(const request_suspects& suspects, mono_time now)
      -> attempt_evidence;
  // The server answered an attempt: it lives, and the request does no harm.
  auto OnAnswered(const request_suspects& suspects,
                  const backend_name& backend,
                  incarnation run,
                  mono_time now) -> void;
  auto OnInterrupted(const request_suspects& suspects,
                     const attempt_evidence& evidence,
                     const backend_name& backend,
                     incarnation run,
                     mono_time now) -> void;
  // No connection could be made to the server.
  auto OnUnreachable(const backend_name& backend,
                     incarnation run,
                     mono_time now) -> void;
  // Looks for servers that are gone or have started again.
  auto Tick(const routing_table& table, mono_time now) -> void;

  // Returns what the next gossip message tells the other entries.
  auto ListGossip(mono_time now) const -> std::vector<crash_report>;
  // Takes a record of another entry.
  auto OnGossip(const crash_report& report, mono_time now) -> void;
  auto CountQuarantined(mono_time now) const -> std::size_t {
    return guard_.get_ledger().CountQuarantined(now);
  }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CRASH_WATCH_H_
