#include "entry/sse_reader.h"

#include <charconv>
#include <utility>

#include "core/hashing.h"

namespace ebony {

namespace {

constexpr std::string_view kEndOfStreamData = "[DONE]";

// A line `name: value` of an event; a comment has an empty name.
struct sse_field {
  std::string_view name;
  std::string_view value;
};

auto ParseField(std::string_view line) -> sse_field {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return {line, {}};
  }
  auto value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return {line.substr(0, colon), value};
}

// Returns std::nullopt for a text that is not a decimal number as a whole.
auto ParseId(std::string_view text) -> std::optional<std::uint64_t> {
  auto id = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, id);
  return error == std::errc() && stop == end ? std::optional(id) : std::nullopt;
}

auto IsKnownField(std::string_view name) -> bool {
  return name.empty() || name == "data" || name == "id" || name == "event" ||
         name == "retry";
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
    if (line.empty()) {
      continue;
    }
    const auto field = ParseField(line);
    event.is_event = event.is_event || IsKnownField(field.name);
    if (field.name == "data") {
      event.data += is_first_data_line ? "" : "\n";
      event.data += field.value;
      is_first_data_line = false;
    } else if (field.name == "id") {
      event.id = ParseId(field.value);
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
  // What has no data is compared as a whole.
  const auto hash = HashBytes(event.data.empty() ? event.raw : event.data);
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
