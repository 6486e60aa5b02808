#include "entry/stream_assembler.h"

#include <algorithm>

namespace ebony {

stream_assembler::stream_assembler(bool is_resumable)
    : is_resumable_(is_resumable) {}

auto stream_assembler::StartRun() -> void {
  position_ = {};
  reader_.Reset();
  repeats_events_ = false;
}

auto stream_assembler::Feed(std::string_view bytes) -> std::string_view {
  position_.Follow(bytes);
  if (!is_resumable_) {
    return bytes;
  }
  events_.clear();
  reader_.Feed(bytes, [this](const sse_event& event) {
    repeats_events_ =
        repeats_events_ || (event.id > 0 && event.id <= last_event_id_);
    if (repeats_events_) {
      return;  // a second run must not be joined to the first
    }
    events_.append(event.raw);
    last_event_id_ = std::max(last_event_id_, event.id);
  });
  return events_;
}

auto stream_assembler::IsUnusable() const -> bool {
  return position_.get_partial_bytes() > sse_reader::kMaxEventBytes ||
         reader_.is_overlong() || repeats_events_;
}

auto stream_assembler::IsWhole(bool has_framing) const -> bool {
  return !position_.is_inside_event() &&
         (has_framing || position_.get_events() > 0);
}

}  // namespace ebony
