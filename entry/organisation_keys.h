#ifndef EBONY_ENTRY_ORGANISATION_KEYS_H_
#define EBONY_ENTRY_ORGANISATION_KEYS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/organisation.h"

namespace ebony {

// Finds the organisation that a key belongs to. A look-up takes the same time
// whether the key is known or not, and says nothing of keys that are alike:
// keys are found by a hash with a secret seed and compared in full.
class organisation_keys {
  struct entry {
    std::string key;
    const organisation* owner = nullptr;
  };

  std::uint64_t seed_;
  std::vector<organisation> organisations_;
  std::unordered_multimap<std::uint64_t, entry> entries_;
  int least_urgent_ = 0;

  static auto IsSame(std::string_view left, std::string_view right) -> bool;

 public:
  // Longer keys are unknown.
  static constexpr std::size_t kMaxKeyBytes = 256;

  // `seed` should be random and not be known outside of this process.
  organisation_keys(std::vector<organisation> organisations,
                    std::uint64_t seed);
  organisation_keys(const organisation_keys&) = delete;
  auto operator=(const organisation_keys&) -> organisation_keys& = delete;

  // Returns nullptr for a key that no organisation has. Without organisations,
  // there is no key.
  auto Find(std::string_view key) const -> const organisation*;
  // Returns nullptr for an unknown name.
  auto FindByName(const organisation_name& name) const -> const organisation*;
  // Returns true if the key belongs to the organisation of this name.
  auto IsKeyOf(std::string_view key, const organisation_name& name) const
      -> bool;
  // Returns the priority of an organisation, or of a request without one, which
  // counts as the least urgent. std::nullopt if there are no organisations.
  auto GetPriority(const organisation* owner) const -> std::optional<int>;
  auto has_organisations() const -> bool { return !organisations_.empty(); }
  auto get_organisations() const -> const std::vector<organisation>& {
    return organisations_;
  }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_ORGANISATION_KEYS_H_
