#include "entry/sse_reader.h"

#include <charconv>
#include <utility>

#include "core/hashing.h"

namespace ebony {

namespace {

constexpr std::string_view kEndOfStreamData = "[DONE]";

// Returns the text after `field:` with one leading space removed.
auto GetFieldValue(std::string_view line, std::string_view field)
    -> std::string_view {
  line.remove_prefix(field.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

auto ParseEvent(std::string_view block) -> sse_event {
  auto event = sse_event();
  event.raw = std::string(block);
  auto is_first_data_line = true;
  while (!block.empty()) {
    const auto end = block.find('\n');
    auto line = block.substr(0, end);
    block.remove_prefix(end == std::string_view::npos ? block.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.starts_with("data:")) {
      event.data += is_first_data_line ? "" : "\n";
      event.data += GetFieldValue(line, "data:");
      is_first_data_line = false;
    } else if (line.starts_with("id:")) {
      const auto value = GetFieldValue(line, "id:");
      std::from_chars(value.data(), value.data() + value.size(), event.id);
    }
  }
  return event;
}

}  // namespace

auto sse_reader::Feed(std::string_view bytes,
                      const std::function<void(const sse_event&)>& on_event)
    -> void {
  if (is_overlong_) {
    return;
  }
  while (const auto end = boundary_.FindEventEnd(bytes)) {
    buffer_.append(bytes.substr(0, *end));
    bytes.remove_prefix(*end);
    on_event(ParseEvent(std::exchange(buffer_, {})));
  }
  buffer_.append(bytes);
  is_overlong_ = buffer_.size() > kMaxEventBytes;
}

auto sse_reader::Reset() -> void {
  boundary_ = {};
  buffer_.clear();
  is_overlong_ = false;
}

auto stream_deduplicator::StartAttempt(std::uint64_t resumed_after) -> void {
  next_ = resumed_after + 1;
  if (resumed_after > delivered_.size()) {
    has_replay_mismatch_ = true;
  }
}

auto stream_deduplicator::Accept(const sse_event& event) -> bool {
  if (is_done_ || has_replay_mismatch_) {
    return false;
  }
  const auto hash = HashBytes(event.data);
  const auto position = next_++;
  if (position <= delivered_.size()) {
    has_replay_mismatch_ = delivered_[position - 1] != hash;
    return false;
  }
  delivered_.push_back(hash);
  is_done_ = event.data == kEndOfStreamData;
  return true;
}

}  // namespace ebony
