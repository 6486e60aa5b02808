#include "entry/organisation_keys.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace ebony {

organisation_keys::organisation_keys(std::vector<organisation> organisations,
                                     std::uint64_t seed)
    : seed_(seed), organisations_(std::move(organisations)) {
  for (const auto& owner : organisations_) {
    least_urgent_ = std::max(least_urgent_, owner.priority.value_or(0));
    for (const auto& key : owner.keys) {
      entries_.emplace(HashBytes(key, seed_), entry{key, &owner});
    }
  }
}

// Looks at all bytes, so that its time says nothing of the first difference.
auto organisation_keys::IsSame(std::string_view left, std::string_view right)
    -> bool {
  auto difference = static_cast<unsigned>(left.size() != right.size());
  for (auto i = std::size_t{0}; i < left.size(); ++i) {
    const auto other = right.empty() ? '\0' : right[i % right.size()];
    difference |=
        static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(other);
  }
  return difference == 0;
}

auto organisation_keys::Find(std::string_view key) const
    -> const organisation* {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const auto [first, last] = entries_.equal_range(HashBytes(key, seed_));
  const organisation* owner = nullptr;
  // An unknown key is compared as well.
  auto is_same = first == last && IsSame(key, {});
  for (auto item = first; item != last; ++item) {
    if (IsSame(key, item->second.key)) {
      is_same = true;
      owner = item->second.owner;
    }
  }
  return is_same ? owner : nullptr;
}

auto organisation_keys::FindByName(const organisation_name& name) const
    -> const organisation* {
  const auto found = std::find_if(
      organisations_.begin(), organisations_.end(),
      [&name](const organisation& item) { return item.name == name; });
  return found == organisations_.end() ? nullptr : &*found;
}

auto organisation_keys::IsKeyOf(std::string_view key,
                                const organisation_name& name) const -> bool {
  const auto* owner = Find(key);
  return owner != nullptr && owner->name == name;
}

auto organisation_keys::GetPriority(const organisation* owner) const
    -> std::optional<int> {
  if (organisations_.empty()) {
    return std::nullopt;
  }
  return owner == nullptr ? least_urgent_
                          : owner->priority.value_or(least_urgent_);
}

}  // namespace ebony
