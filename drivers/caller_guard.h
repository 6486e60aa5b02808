#ifndef EBONY_DRIVERS_CALLER_GUARD_H_
#define EBONY_DRIVERS_CALLER_GUARD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/memory_account.h"
#include "core/memory_reclaim.h"
#include "core/metrics.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"

namespace ebony {

// Why a caller got no service, for counters and log lines.
enum class turn_away_reason {
  no_progress,
  over_share,
  unread_answer,
  idle,
  no_memory,
  too_large,
};

// Keeps what a process holds for its callers, over all its listeners, within
// the memory and descriptors of its VM.
class caller_guard : public std::enable_shared_from_this<caller_guard> {
 public:
  struct limits {
    memory_limits memory;
    std::size_t max_connections = 0;  // of callers; 0: no limit
  };
  // A connection of a caller.
  struct member {
    std::function<caller_holding()> get_holding;
    // Ends it. A request that is being handled ends later, from the loop.
    std::function<void(reclaim_reason)> turn_away;
  };
  // Returns false if there is still no memory for the connection that waits.
  using retry = std::function<bool()>;

 private:
  struct waiter {
    std::uint64_t id = 0;
    mono_time until;
    retry on_retry;
    std::function<void()> on_expired;
  };

  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  std::shared_ptr<memory_account> account_;
  std::size_t max_connections_;
  std::size_t connections_ = 0;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, member> members_;
  std::deque<waiter> waiters_;
  std::vector<std::weak_ptr<std::function<void()>>> resume_hooks_;
  bool is_retry_scheduled_ = false;
  bool is_report_scheduled_ = false;
  bool is_overdraft_scheduled_ = false;
  bool is_descriptor_awaited_ = false;
  mono_time last_failed_reclaim_;
  std::map<turn_away_reason, std::uint64_t>
      turned_away_;  // since the last line

  auto GetHoldings() const -> std::vector<caller_holding>;
  auto TurnAway(const std::vector<reclaim>& items) -> void;
  auto ScheduleRetry() -> void;
  auto RetryWaiters() -> void;
  auto ScheduleReport() -> void;
  auto Report() -> void;
  auto ReturnDescriptor() -> void;
  auto AwaitDescriptor() -> void;
  auto ResumeListeners() -> void;

 public:
  caller_guard(event_loop& loop,
               event_log& log,
               metrics& counters,
               limits bounds);

  auto MakeCharge(client_address client, memory_user user) -> memory_charge {
    return memory_charge(account_, client, user);
  }
  auto Add(member item) -> std::uint64_t;
  auto Remove(std::uint64_t id) -> void;

  // Grows a charge, if need be by turning others away.
  auto Draw(memory_charge& charge, std::uint64_t bytes) -> bool;
  // Calls `on_retry` from time to time until it returns true, and `on_expired`
  // at `until`. Returns false if too many wait.
  auto Await(std::uint64_t id,
             mono_time until,
             retry on_retry,
             std::function<void()> on_expired) -> bool;
  // Ends connections that do not read, if answers exceed the limit.
  auto CheckOverdraft() -> void;

  // Returns false if there is no descriptor for another caller.
  auto HasDescriptor() -> bool;
  // Counts a connection until the object ends.
  auto TakeDescriptor() -> std::shared_ptr<const void>;
  // Calls `hook`, while it exists, when there is a descriptor again.
  auto SetOnDescriptor(std::weak_ptr<std::function<void()>> hook) -> void {
    resume_hooks_.push_back(std::move(hook));
  }
  auto CountTurnedAway(turn_away_reason reason) -> void;
  auto get_account() -> memory_account& { return *account_; }
  auto get_connections() const -> std::size_t { return connections_; }
};

// Returns the connections that callers may have of a process with this many
// descriptors; 0: no limit. The others are for servers, peers and operators.
auto GetMaxCallers(std::uint32_t max_descriptors) -> std::size_t;

}  // namespace ebony

#endif  // EBONY_DRIVERS_CALLER_GUARD_H_
