#include "entry/event_boundary.h"

#include <algorithm>

namespace ebony {

auto event_boundary::FollowByte(char byte) -> bool {
  if (byte == '\r') {
    return false;  // the line ends with the LF that follows
  }
  if (byte != '\n') {
    position_ = position::in_line;
    return false;
  }
  if (position_ != position::at_line_start) {
    position_ = position_ == position::in_line ? position::at_line_start
                                               : position::between_events;
    return false;
  }
  position_ = position::between_events;
  ++events_;
  return true;
}

auto event_boundary::FindEventEnd(std::string_view bytes)
    -> std::optional<std::size_t> {
  for (auto at = std::size_t{0}; at < bytes.size(); ++at) {
    if (position_ == position::in_line) {
      at = std::min(bytes.find('\n', at), bytes.size());
      if (at == bytes.size()) {
        break;
      }
    }
    if (FollowByte(bytes[at])) {
      partial_bytes_ = 0;
      return at + 1;
    }
  }
  partial_bytes_ = is_inside_event() ? partial_bytes_ + bytes.size() : 0;
  return std::nullopt;
}

auto event_boundary::Follow(std::string_view bytes) -> void {
  while (const auto end = FindEventEnd(bytes)) {
    bytes.remove_prefix(*end);
  }
}

}  // namespace ebony
