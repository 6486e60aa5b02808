#ifndef EBONY_ENTRY_SSE_READER_H_
#define EBONY_ENTRY_SSE_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ebony {

// One server-sent event as it was received.
struct sse_event {
  std::uint64_t id = 0;  // 0: the event carries none
  std::string data;
  std::string raw;  // with the blank line that ends it
};

// Splits a byte stream into whole events. Bytes of an unfinished event are
// kept, so that a cut stream never shows half an event.
// Source: WHATWG HTML, "Server-sent events", 9.2.6.
class sse_reader {
  std::string buffer_;
  bool is_overlong_ = false;

 public:
  // Calls `on_event` for each event that `bytes` completes.
  auto Feed(std::string_view bytes,
            const std::function<void(const sse_event&)>& on_event) -> void;
  auto Reset() -> void;

  // True after an event longer than an engine may send; the stream is then
  // no longer read.
  auto is_overlong() const -> bool { return is_overlong_; }
};

// Follows one answer over several attempts: each event is shown once, and an
// attempt that replays shown events must repeat them exactly.
class stream_deduplicator {
  std::vector<std::uint64_t> delivered_;  // a hash for each shown event
  std::uint64_t next_ = 1;                // position in the current attempt
  bool is_done_ = false;
  bool has_replay_mismatch_ = false;

 public:
  // Starts an attempt that begins after event `resumed_after`.
  auto StartAttempt(std::uint64_t resumed_after) -> void;
  // Returns true when the event is new and has to be shown.
  auto Accept(const sse_event& event) -> bool;

  auto get_delivered_count() const -> std::uint64_t {
    return delivered_.size();
  }
  // True once the event that ends the answer was seen.
  auto is_done() const -> bool { return is_done_; }
  auto has_replay_mismatch() const -> bool { return has_replay_mismatch_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SSE_READER_H_
