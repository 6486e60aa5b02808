#ifndef EBONY_CORE_STRONG_TYPE_H_
#define EBONY_CORE_STRONG_TYPE_H_

#include <compare>
#include <functional>
#include <utility>

namespace ebony {

// Wraps a value in a distinct type so that ids and units of different kinds
// cannot be mixed up. `Tag` distinguishes the types; `Rep` is the value's type.
template <typename Tag, typename Rep>
class strong_type {
  Rep value_{};

 public:
  constexpr strong_type() = default;
  explicit constexpr strong_type(Rep value) : value_(std::move(value)) {}

  constexpr auto get() const -> const Rep& { return value_; }

  friend auto operator<=>(const strong_type&, const strong_type&)
      -> std::strong_ordering = default;
};

}  // namespace ebony

template <typename Tag, typename Rep>
struct std::hash<ebony::strong_type<Tag, Rep>> {
  auto operator()(const ebony::strong_type<Tag, Rep>& value) const noexcept
      -> std::size_t {
    return std::hash<Rep>{}(value.get());
  }
};

#endif  // EBONY_CORE_STRONG_TYPE_H_
