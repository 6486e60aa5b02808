#include "core/backend_index.h"

namespace ebony {

auto backend_index::Assign(const backend_name& id) -> std::uint32_t {
  const auto existing = GetNumber(id);
  if (existing != 0) {
    return existing;
  }
  Insert(++last_number_, id);
  return last_number_;
}

auto backend_index::Insert(std::uint32_t number, const backend_name& id)
    -> void {
  if (number == 0 || number > kMaxNumber) {
    return;
  }
  if (number >= names_.size()) {
    names_.resize(std::size_t{number} + 1);
  }
  numbers_[id] = number;
  names_[number] = id;
}

auto backend_index::GetNumber(const backend_name& id) const -> std::uint32_t {
  const auto found = numbers_.find(id);
  return found == numbers_.end() ? 0 : found->second;
}

auto backend_index::FindName(std::uint32_t number) const
    -> const backend_name* {
  const auto is_used =
      number < names_.size() && names_[number] != backend_name();
  return is_used ? &names_[number] : nullptr;
}

auto backend_index::Clear() -> void {
  numbers_.clear();
  names_.clear();
  last_number_ = 0;
}

}  // namespace ebony
