#ifndef EBONY_ENTRY_CONFIG_LEASE_H_
#define EBONY_ENTRY_CONFIG_LEASE_H_

#include <map>
#include <set>

#include "core/ids.h"

namespace ebony {

// Lease under which this entry may serve with its configuration.
//
// The control leader grants the lease. While no leader answers, a majority of
// the entries of the group can renew it: each confirms the newest version that
// it holds. A change is accepted only once a majority of the entries hold it,
// so any confirming majority includes an entry that holds every accepted
// change.
//
// An entry is uninitialised until the leader grants it the first lease after
// its start. It has lost the configuration that it held before, so it neither
// serves nor confirms.
class config_lease {
  struct confirmation_round {
    mono_time sent;
    std::set<vm_name> confirmed;
  };

  vm_name self_;
  std::size_t entry_count_;
  std::map<std::uint64_t, mono_time> polls_;
  std::map<std::uint64_t, confirmation_round> rounds_;
  bool is_uninitialised_ = true;
  duration lease_{0};
  mono_time lease_until_;

 public:
  config_lease(vm_name self, std::size_t entry_count);

  // Polls sent to the control leader.
  auto OnPollSent(std::uint64_t sequence, mono_time now) -> void;
  // Handles a lease granted in the answer to the poll `sequence`.
  auto OnLeaderLease(std::uint64_t sequence, duration lease) -> void;

  // Confirmation rounds among the entries. `OnConfirmed` must be called after
  // the configuration sent by the peer has been applied.
  auto OnConfirmationRequested(std::uint64_t sequence, mono_time now) -> void;
  auto OnConfirmed(std::uint64_t sequence, const vm_name& peer) -> void;
  // Returns true when half or less of the lease remains.
  auto NeedsConfirmation(mono_time now) const -> bool;

  auto is_uninitialised() const -> bool { return is_uninitialised_; }
  // Returns whether the entry holds an unexpired lease.
  auto IsCurrent(mono_time now) const -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CONFIG_LEASE_H_
