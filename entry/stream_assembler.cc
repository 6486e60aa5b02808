#include "entry/stream_assembler.h"

namespace ebony {

stream_assembler::stream_assembler(bool is_resumable)
    : is_resumable_(is_resumable) {}

auto stream_assembler::StartRun() -> void {
  position_ = {};
  reader_.Reset();
  is_spoiled_ = false;
}

// A second run must not be joined to the first, nor to what is no run at all.
auto stream_assembler::Accept(const sse_event& event) -> void {
  const auto is_repeated =
      event.id && last_event_id_ && *event.id <= *last_event_id_;
  is_spoiled_ = is_spoiled_ || is_repeated || !event.is_event;
  if (is_spoiled_) {
    return;
  }
  events_.append(event.raw);
  has_unnumbered_end_ = !event.id;
  if (event.id) {
    last_event_id_ = event.id;
  }
}

auto stream_assembler::Feed(std::string_view bytes) -> std::string_view {
  position_.Follow(bytes);
  if (!is_resumable_) {
    has_unnumbered_end_ = has_unnumbered_end_ || !bytes.empty();
    return bytes;
  }
  events_.clear();
  reader_.Feed(bytes, [this](const sse_event& event) { Accept(event); });
  return events_;
}

auto stream_assembler::IsUnusable() const -> bool {
  return position_.get_partial_bytes() > sse_reader::kMaxEventBytes ||
         reader_.is_overlong() || is_spoiled_;
}

auto stream_assembler::IsWhole(bool has_framing) const -> bool {
  return !position_.is_inside_event() &&
         (has_framing || position_.get_events() > 0);
}

}  // namespace ebony
