#ifndef EBONY_ENTRY_STREAM_ASSEMBLER_H_
#define EBONY_ENTRY_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "entry/event_boundary.h"
#include "entry/sse_reader.h"

namespace ebony {

// Assembles the stream of events of one request from the runs of its attempts,
// and judges whether it is whole.
class stream_assembler {
  bool is_resumable_;
  event_boundary position_;  // in the latest run
  sse_reader reader_;        // of a resumable stream
  std::string events_;       // returned by the latest `Feed`
  // Of the last event with an id that `Feed` has returned.
  std::optional<std::uint64_t> last_event_id_;
  // `Feed` has returned bytes since that no id stands for.
  bool has_unnumbered_end_ = false;
  // The latest run sent an earlier event again, or bytes that are no event.
  bool is_spoiled_ = false;

  auto Accept(const sse_event& event) -> void;

 public:
  explicit stream_assembler(bool is_resumable);

  // Starts the run of another attempt.
  auto StartRun() -> void;
  // Takes bytes of the latest run and returns those that may be sent to the
  // caller, valid until the next call and as long as `bytes`. Only complete
  // events of a resumable stream are returned, so that another run can go on
  // after the last of them.
  auto Feed(std::string_view bytes) -> std::string_view;
  // Returns the bytes of a whole stream that are part of no event.
  auto get_remainder() const -> std::string_view {
    return reader_.get_remainder();
  }
  // Returns true once the latest run can't be continued: an event exceeds the
  // size limit or repeats an earlier one, or what came is no event.
  auto IsUnusable() const -> bool;
  // Returns true if another run can follow what `Feed` has returned: nothing
  // has been returned, or the run can go on after the last event's id.
  auto CanGoOn() const -> bool { return !has_unnumbered_end_; }
  // Returns whether the stream is whole when the response of the latest run has
  // ended in an orderly way. The end of the framing does not prove it: a server
  // that breaks off may end it, or close a response without a framing.
  auto IsWhole(bool has_framing) const -> bool;

  // Returns the id after which another run has to go on; std::nullopt if it has
  // to begin anew. Meaningful only if `CanGoOn` returns true.
  auto get_last_event_id() const -> std::optional<std::uint64_t> {
    return last_event_id_;
  }
  // Number of complete events of the latest run.
  auto get_events() const -> std::uint64_t { return position_.get_events(); }
  // Number of bytes of the event of the latest run that has not ended.
  auto get_partial_bytes() const -> std::uint64_t {
    return position_.get_partial_bytes();
  }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_STREAM_ASSEMBLER_H_
