#include "core/backend_numbers.h"

namespace ebony {

auto backend_numbers::Assign(const backend_name& id) -> std::uint32_t {
  const auto known = GetNumber(id);
  if (known != 0) {
    return known;
  }
  Learn(++last_, id);
  return last_;
}

auto backend_numbers::Learn(std::uint32_t number, const backend_name& id)
    -> void {
  if (number == 0) {
    return;
  }
  numbers_[id] = number;
  names_[number] = id;
}

auto backend_numbers::GetNumber(const backend_name& id) const -> std::uint32_t {
  const auto found = numbers_.find(id);
  return found == numbers_.end() ? 0 : found->second;
}

auto backend_numbers::FindName(std::uint32_t number) const
    -> const backend_name* {
  const auto found = names_.find(number);
  return found == names_.end() ? nullptr : &found->second;
}

auto backend_numbers::Clear() -> void {
  numbers_.clear();
  names_.clear();
  last_ = 0;
}

}  // namespace ebony
