#include "control/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

auto FindResident(std::vector<resident>& residents, const replica_key& key)
    -> resident* {
  const auto found =
      std::find_if(residents.begin(), residents.end(),
                   [&key](const resident& item) { return item.key == key; });
  return found == residents.end() ? nullptr : &*found;
}

auto MergeAdapters(std::vector<adapter_spec>& into,
                   const std::vector<adapter_spec>& from) -> void {
  for (const auto& adapter : from) {
    const auto found = std::find_if(
        into.begin(), into.end(),
        [&adapter](const adapter_spec& a) { return a.key == adapter.key; });
    if (found == into.end()) {
      into.push_back(adapter);
    } else {
      found->memory = std::max(found->memory, adapter.memory);
    }
  }
}

auto SortResidents(std::vector<resident>& residents) -> void {
  for (auto& item : residents) {
    std::sort(item.adapters.begin(), item.adapters.end());
  }
  std::sort(residents.begin(), residents.end());
}

}  // namespace

auto SumMemory(const std::vector<resident>& residents) -> mebibytes {
  auto sum = std::uint64_t{0};
  for (const auto& item : residents) {
    sum += item.memory.get();
    for (const auto& adapter : item.adapters) {
      sum += adapter.memory.get();
    }
  }
  return mebibytes(sum);
}

auto MergeResidents(const std::vector<resident>& left,
                    const std::vector<resident>& right)
    -> std::vector<resident> {
  auto merged = left;
  for (const auto& item : right) {
    auto* present = FindResident(merged, item.key);
    if (present == nullptr) {
      merged.push_back(item);
      continue;
    }
    present->memory = std::max(present->memory, item.memory);
    MergeAdapters(present->adapters, item.adapters);
  }
  return merged;
}

auto HaveSameResidents(std::vector<resident> left, std::vector<resident> right)
    -> bool {
  SortResidents(left);
  SortResidents(right);
  return left == right;
}

accelerator_ledger::accelerator_ledger(mebibytes capacity,
                                       std::vector<resident> confirmed)
    : capacity_(capacity), confirmed_(std::move(confirmed)) {}

auto accelerator_ledger::Open(order next) -> void {
  open_ = std::move(next);
}

auto accelerator_ledger::Confirm(std::vector<resident> observed,
                                 std::uint64_t sequence) -> void {
  confirmed_ = std::move(observed);
  resolved_sequence_ = sequence;
}

auto accelerator_ledger::Fits(const std::vector<resident>& target) const
    -> bool {
  auto worst = MergeResidents(confirmed_, target);
  if (open_) {
    worst = MergeResidents(worst, open_->target);
  }
  return SumMemory(worst) <= capacity_;
}

auto accelerator_ledger::GetWorstCase() const -> mebibytes {
  return open_ ? SumMemory(MergeResidents(confirmed_, open_->target))
               : SumMemory(confirmed_);
}

auto accelerator_ledger::GetHeadroom() const -> mebibytes {
  const auto worst = GetWorstCase();
  return worst >= capacity_ ? mebibytes(0)
                            : mebibytes(capacity_.get() - worst.get());
}

auto accelerator_ledger::GetGuaranteed() const -> std::vector<resident> {
  if (!open_) {
    return confirmed_;
  }
  auto guaranteed = std::vector<resident>();
  for (const auto& item : confirmed_) {
    const auto in_target = std::find_if(
        open_->target.begin(), open_->target.end(),
        [&item](const resident& other) { return other.key == item.key; });
    if (in_target == open_->target.end()) {
      continue;
    }
    auto common = item;
    std::erase_if(common.adapters, [&in_target](const adapter_spec& adapter) {
      return std::none_of(in_target->adapters.begin(),
                          in_target->adapters.end(),
                          [&adapter](const adapter_spec& other) {
                            return other.key == adapter.key;
                          });
    });
    guaranteed.push_back(std::move(common));
  }
  return guaranteed;
}

}  // namespace ebony
