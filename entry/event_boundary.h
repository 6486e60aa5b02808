#ifndef EBONY_ENTRY_EVENT_BOUNDARY_H_
#define EBONY_ENTRY_EVENT_BOUNDARY_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace ebony {

// Follows the bytes of a stream of server-sent events and tells whether they
// end between two events. A blank line ends an event; lines end with LF or
// CRLF. Source: WHATWG HTML, "Server-sent events", 9.2.6.
class event_boundary {
  enum class position { between_events, at_line_start, in_line };

  position position_ = position::between_events;
  std::uint64_t events_ = 0;
  std::uint64_t partial_bytes_ = 0;

  // Follows one byte. Returns true when it ends an event.
  auto FollowByte(char byte) -> bool;

 public:
  // Follows `bytes` up to the end of the first event that ends in them. Returns
  // the number of bytes up to there, or std::nullopt after having followed all
  // of them without an end.
  auto FindEventEnd(std::string_view bytes) -> std::optional<std::size_t>;
  // Follows all of `bytes`.
  auto Follow(std::string_view bytes) -> void;

  // True after a part of an event. Line ends between events are no part of one.
  auto is_inside_event() const -> bool {
    return position_ != position::between_events;
  }
  // Number of events that have ended.
  auto get_events() const -> std::uint64_t { return events_; }
  // Number of bytes of the event that has not ended.
  auto get_partial_bytes() const -> std::uint64_t { return partial_bytes_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_EVENT_BOUNDARY_H_
