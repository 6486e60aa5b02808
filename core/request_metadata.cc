#include "core/request_metadata.h"

#include <array>
#include <charconv>

namespace ebony {

auto GetSegmentsText(const std::vector<prompt_segment>& segments)
    -> std::string {
  constexpr auto kHexadecimal = 16;
  constexpr auto kMaxDigits = 16;
  auto text = std::string();
  for (const auto& segment : segments) {
    auto digits = std::array<char, kMaxDigits>();
    const auto end = std::to_chars(digits.data(), digits.data() + kMaxDigits,
                                   segment.id, kHexadecimal);
    if (!text.empty()) {
      text.push_back(',');
    }
    text.append(digits.data(), end.ptr);
  }
  return text;
}

}  // namespace ebony
