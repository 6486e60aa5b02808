#ifndef EBONY_ENTRY_STREAM_ASSEMBLER_H_
#define EBONY_ENTRY_STREAM_ASSEMBLER_H_

#include <cstdint>
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
  // Id of the last event returned by `Feed`; 0 before the first.
  std::uint64_t last_event_id_ = 0;
  bool repeats_events_ = false;  // the latest run sent an earlier event again

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
  // size limit, or repeats an earlier one.
  auto IsUnusable() const -> bool;
  // Returns whether the stream is whole when the response of the latest run has
  // ended in an orderly way. The end of the framing does not prove it: a server
  // that breaks off may end it, or close a response without a framing.
  auto IsWhole(bool has_framing) const -> bool;

  auto get_last_event_id() const -> std::uint64_t { return last_event_id_; }
  // Number of complete events of the latest run.
  auto get_events() const -> std::uint64_t { return position_.get_events(); }
  // Number of bytes of the event of the latest run that has not ended.
  auto get_partial_bytes() const -> std::uint64_t {
    return position_.get_partial_bytes();
  }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_STREAM_ASSEMBLER_H_
