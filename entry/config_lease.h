#ifndef EBONY_ENTRY_CONFIG_LEASE_H_
#define EBONY_ENTRY_CONFIG_LEASE_H_

#include <map>
#include <set>

#include "core/ids.h"

namespace ebony {

// Decides whether this entry may act on its configuration.
//
// A lease comes from the control leader, or, while no leader answers, from a
// majority of the entries of the group: each confirms the newest version that
// it holds. A change counts as accepted only once a majority of the entries
// hold it, so any majority that confirms includes an entry that knows it.
//
// An entry that has not yet had a lease from a leader since its start is blank:
// it forgot what it held, so it neither serves nor confirms.
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

  // Polls of the control leader.
  auto OnPollSent(std::uint64_t sequence, mono_time now) -> void;
  auto OnLeaderLease(std::uint64_t sequence, duration lease) -> void;

  // Confirmation by other entries. The caller has applied what the peer sent.
  auto OnConfirmationRequested(std::uint64_t sequence, mono_time now) -> void;
  auto OnConfirmed(std::uint64_t sequence, const vm_name& peer) -> void;
  // True when no leader has renewed the lease for half its time.
  auto NeedsConfirmation(mono_time now) const -> bool;

  auto is_uninitialised() const -> bool { return is_uninitialised_; }
  auto IsCurrent(mono_time now) const -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CONFIG_LEASE_H_
