#ifndef EBONY_CONTROL_MEMORY_LEDGER_H_
#define EBONY_CONTROL_MEMORY_LEDGER_H_

#include <optional>
#include <vector>

#include "core/domain.h"

namespace ebony {

// Returns the memory of all residents together.
auto SumMemory(const std::vector<resident>& residents) -> mebibytes;

// Returns every model and adapter of both sides, each once.
auto MergeResidents(const std::vector<resident>& left,
                    const std::vector<resident>& right)
    -> std::vector<resident>;

// True when both sides hold the same models and adapters, in any order.
auto HaveSameResidents(std::vector<resident> left, std::vector<resident> right)
    -> bool;

// What one accelerator was promised: the state it last confirmed, and at most
// one order whose outcome is not known. The open order counts at its worst:
// its loads as done, its unloads as not done. For routing it is the reverse.
class accelerator_ledger {
  mebibytes capacity_;
  std::vector<resident> confirmed_;
  std::optional<order> open_;
  std::uint64_t resolved_sequence_ = 0;

 public:
  accelerator_ledger() = default;
  accelerator_ledger(mebibytes capacity, std::vector<resident> confirmed);

  // Changes.
  auto Open(order next) -> void;
  // Records the state that an announcement of `sequence` showed.
  auto Confirm(std::vector<resident> observed, std::uint64_t sequence) -> void;
  auto CloseOrder() -> void { open_.reset(); }

  // Checks.
  auto Fits(const std::vector<resident>& target) const -> bool;
  auto GetWorstCase() const -> mebibytes;
  // Memory that no outcome of the open order can use.
  auto GetHeadroom() const -> mebibytes;
  // What is resident under every outcome of the open order.
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
