#ifndef EBONY_ENTRY_SSE_READER_H_
#define EBONY_ENTRY_SSE_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/event_boundary.h"

namespace ebony {

// One server-sent event as it was received.
struct sse_event {
  std::optional<std::uint64_t> id;  // std::nullopt: it has no numeric id
  std::string data;
  std::string raw;  // including the blank line that ends it
  // False for a block without a comment and a field that the source defines:
  // bytes that only look like an event.
  bool is_event = false;
};

// Splits a byte stream into complete events. The bytes of an incomplete event
// are buffered, so that an interrupted stream never delivers a partial event.
// Source: WHATWG HTML, "Server-sent events", 9.2.6.
class sse_reader {
  event_boundary boundary_;
  std::string buffer_;
  bool is_overlong_ = false;

 public:
  // A longer event is not read.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

  // Appends `bytes` and calls `on_event` for each event that they complete.
  auto Feed(std::string_view bytes,
            const std::function<void(const sse_event&)>& on_event) -> void;
  // Discards buffered bytes.
  auto Reset() -> void;

  // Returns the buffered bytes, which belong to no complete event.
  auto get_remainder() const -> std::string_view { return buffer_; }
  // Returns true after an event that exceeds the size limit of 1 MiB. Further
  // bytes are then ignored.
  auto is_overlong() const -> bool { return is_overlong_; }
};

// Merges the streams of several attempts into one answer. Each event is
// delivered once, and an attempt that replays delivered events must repeat them
// exactly.
class stream_deduplicator {
  std::vector<std::uint64_t> delivered_;  // hashes of the delivered events
  std::uint64_t next_ = 1;                // position in the current attempt
  bool is_done_ = false;
  bool has_replay_mismatch_ = false;

 public:
  // Starts an attempt that begins after event `resumed_after`.
  auto StartAttempt(std::uint64_t resumed_after) -> void;
  // Returns true when the event is new and has to be delivered.
  auto Accept(const sse_event& event) -> bool;

  auto get_delivered_count() const -> std::uint64_t {
    return delivered_.size();
  }
  // Returns true once the event that ends the answer was accepted.
  auto is_done() const -> bool { return is_done_; }
  // Returns true once an attempt has repeated an event with other data, or
  // started after an event that was not delivered.
  auto has_replay_mismatch() const -> bool { return has_replay_mismatch_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SSE_READER_H_
