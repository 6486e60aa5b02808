#ifndef EBONY_CONTROL_MEMORY_LEDGER_H_
#define EBONY_CONTROL_MEMORY_LEDGER_H_

#include <optional>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Returns the total memory of the residents and their adapters.
auto SumMemory(const std::vector<resident>& residents) -> mebibytes;

// Returns the union of the models and adapters of both sides. Where both have
// an item, the larger memory size is used.
auto MergeResidents(const std::vector<resident>& left,
                    const std::vector<resident>& right)
    -> std::vector<resident>;

// True when both sides hold the same models and adapters, in any order.
auto HaveSameResidents(std::vector<resident> left, std::vector<resident> right)
    -> bool;

// Memory reservations of one accelerator: the state that was last confirmed,
// and at most one open order whose outcome is not known. For memory, the open
// order counts with its worst case: loads as done and unloads as not done. For
// routing it is the reverse.
class accelerator_ledger {
  mebibytes capacity_;
  std::vector<resident> confirmed_;
  std::optional<order> open_;
  std::uint64_t resolved_sequence_ = 0;

 public:
  accelerator_ledger() = default;
  accelerator_ledger(mebibytes capacity, std::vector<resident> confirmed);

  // Reserves the memory of `next` until its outcome is known.
  auto Open(order next) -> void;
  // Replaces the confirmed state by that of announcement `sequence`.
  auto Confirm(std::vector<resident> observed, std::uint64_t sequence) -> void;
  auto CloseOrder() -> void { open_.reset(); }

  // True when `target` fits into the capacity together with everything that may
  // be resident now.
  auto Fits(const std::vector<resident>& target) const -> bool;
  // Most memory that is in use under any outcome of the open order.
  auto GetWorstCase() const -> mebibytes;
  // Memory that stays unused under every outcome of the open order.
  auto GetHeadroom() const -> mebibytes;
  // Models and adapters that are resident under every outcome of the open
  // order.
  auto GetGuaranteed() const -> std::vector<resident>;

  auto get_capacity() const -> mebibytes { return capacity_; }
  auto get_confirmed() const -> const std::vector<resident>& {
    return confirmed_;
  }
  auto get_open() const -> const std::optional<order>& { return open_; }
  auto get_resolved_sequence() const -> std::uint64_t {
    return resolved_sequence_;
  }
};

}  // namespace ebony

#endif  // EBONY_CONTROL_MEMORY_LEDGER_H_
