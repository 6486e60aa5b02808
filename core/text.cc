#include "core/text.h"

#include <algorithm>
#include <boost/nowide/utf/utf.hpp>

namespace ebony {

namespace {

namespace utf = boost::nowide::utf;

constexpr unsigned char kFirstNonAscii = 0x80;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

auto IsAscii(char byte) -> bool {
  return static_cast<unsigned char>(byte) < kFirstNonAscii;
}

auto IsControlCharacter(char byte) -> bool {
  const auto value = static_cast<unsigned char>(byte);
  return value < kFirstPrintable || value == kDelete;
}

}  // namespace

auto IsUtf8(std::string_view bytes) -> bool {
  if (std::all_of(bytes.begin(), bytes.end(), IsAscii)) {
    return true;
  }
  const auto* at = bytes.data();
  const auto* end = at + bytes.size();
  while (at != end) {
    if (!utf::is_valid_codepoint(utf::utf_traits<char>::decode(at, end))) {
      return false;
    }
  }
  return true;
}

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameBytes && IsUtf8(text) &&
         std::none_of(text.begin(), text.end(), IsControlCharacter);
}

}  // namespace ebony
