#ifndef EBONY_CORE_MEMORY_RECLAIM_H_
#define EBONY_CORE_MEMORY_RECLAIM_H_

#include <cstdint>
#include <vector>

#include "core/memory_account.h"

namespace ebony {

// What a connection of a caller holds memory or a descriptor for.
enum class caller_activity {
  idle,       // waits for a request
  receiving,  // of a request that has not been handled
  waiting,    // for memory, to receive more
  handling,   // a request that may have run, or whose answer is sent
};

struct caller_holding {
  std::uint64_t id = 0;  // of the connection
  client_address client;
  caller_activity activity = caller_activity::idle;
  std::uint64_t bytes = 0;
  std::uint64_t unread_bytes = 0;  // of an answer
  mono_time last_progress;
};

enum class reclaim_reason {
  no_progress,    // the request is not sent further
  over_share,     // the client holds more than its share
  unread_answer,  // the caller does not take its answer
  idle,
};

struct reclaim {
  std::uint64_t id = 0;
  reclaim_reason reason = reclaim_reason::no_progress;
};

// For whom memory is reclaimed.
struct reclaim_request {
  std::uint64_t bytes = 0;
  client_address client;
  memory_verdict verdict = memory_verdict::no_room;
  std::uint64_t share = 0;  // of each client
};

// Returns the connections to end so that the bytes become free: requests that
// make no progress, answers that are not read, and then requests of clients
// above their share, the latest first. Returns none if it is not enough. A
// client above its own share gets only memory that it holds itself.
auto ChooseReclaims(std::vector<caller_holding> holdings,
                    const reclaim_request& request,
                    mono_time now) -> std::vector<reclaim>;
// Returns the connections whose answers have been read least recently and hold
// the bytes, or all such.
auto ChooseUnread(std::vector<caller_holding> holdings, std::uint64_t bytes)
    -> std::vector<reclaim>;
// Returns up to `count` connections to end for others: those that have been
// idle for longest, or if there are none, requests that make no progress. One
// that has just been accepted does not count as idle.
auto ChooseConnections(std::vector<caller_holding> holdings,
                       std::size_t count,
                       mono_time now) -> std::vector<reclaim>;

}  // namespace ebony

#endif  // EBONY_CORE_MEMORY_RECLAIM_H_
