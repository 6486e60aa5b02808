#ifndef EBONY_ENTRY_QUOTA_GATE_H_
#define EBONY_ENTRY_QUOTA_GATE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>

#include "core/ids.h"
#include "entry/quota_leases.h"

namespace ebony {

// What becomes of a request whose organisation has a quota.
struct quota_decision {
  bool is_admitted = false;
  quota_charge charge;  // of an admitted request
  // Of a request that is not admitted: the time after which to come back.
  duration retry_after{0};
  // The coordinators have not answered, so it is not known whether the quota
  // is used up.
  bool is_unknown = false;
};

// Admits requests up to the quotas of their organisations. One without credit
// waits, in order of arrival, until the coordinators have leased some, and is
// refused at once if they said that there is none in time.
class quota_gate {
 public:
  using decision_hook = std::function<void(const quota_decision&)>;
  // Returns a number in [0, bound).
  using random_source = std::function<std::uint64_t(std::uint64_t)>;
  using waiter_id = std::uint64_t;

 private:
  struct waiter {
    waiter_id id = 0;
    std::uint64_t amount = 0;
    mono_time expires;  // refused if it has no credit by then
    decision_hook on_decided;
  };

  quota_leases& leases_;
  random_source random_;
  std::map<organisation_name, std::list<waiter>> waiters_;
  waiter_id last_id_ = 0;

  auto Refuse(const organisation_name& name, mono_time now) -> quota_decision;
  // Removes the waiters that are decided now and appends their hooks with the
  // decisions.
  auto Decide(const organisation_name& name,
              std::list<waiter>& queue,
              mono_time now,
              std::list<std::pair<decision_hook, quota_decision>>& decided)
      -> void;

 public:
  // Requests of one organisation that may wait here at the same time.
  static constexpr std::size_t kMaxWaiting = 64;

  quota_gate(quota_leases& leases, random_source random);

  // Decides on a request, at once or within `max_wait`. Returns the id under
  // which it waits, or std::nullopt if `on_decided` has been called.
  auto Admit(const organisation_name& name,
             std::uint64_t amount,
             duration max_wait,
             mono_time now,
             decision_hook on_decided) -> std::optional<waiter_id>;
  // Drops a request whose caller has left. Its hook is not called.
  auto Remove(const organisation_name& name, waiter_id id) -> void;
  // Decides on those that wait, after leases have come or time has passed.
  auto DecideWaiting(mono_time now) -> void;
  // Returns what requests wait for.
  auto GetWanted() const -> quota_leases::waiting_amounts;
  auto CountWaiting() const -> std::size_t;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_QUOTA_GATE_H_
