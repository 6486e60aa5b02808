#include "drivers/event_log.h"

#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace ebony {

namespace {

constexpr std::size_t kBufferBytes = 256 * 1024;
// Lines are batched for this long before they are written.
constexpr auto kBatchTime = std::chrono::milliseconds(100);
constexpr std::int64_t kMillisecondsPerSecond = 1000;

auto Quote(const std::string& text) -> std::string {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

auto GetUnixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

event_field::event_field(std::string_view field, std::string text)
    : name(field), value(std::move(text)) {}

event_field::event_field(std::string_view field, const char* text)
    : name(field), value(text) {}

event_field::event_field(std::string_view field, std::int64_t number)
    : name(field), value(std::to_string(number)), is_number(true) {}

event_field::event_field(std::string_view field, duration time)
    : event_field(
          field,
          static_cast<std::int64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(time)
                  .count())) {}

event_log::event_log(std::string process,
                     std::uint64_t request_lines_per_second)
    : process_(Quote(process)),
      request_lines_per_second_(request_lines_per_second),
      writer_([this] { Run(); }) {
  writer_.Start();
}

event_log::~event_log() {
  {
    const auto lock = std::lock_guard(mutex_);
    stopping_ = true;
  }
  lines_queued_.notify_one();
  writer_.Join();
}

auto event_log::Run() -> void {
  auto stopping = false;
  while (!stopping) {
    auto bytes = std::string();
    {
      auto lock = std::unique_lock(mutex_);
      lines_queued_.wait(lock,
                         [this] { return stopping_ || !buffer_.empty(); });
      if (!stopping_) {
        lines_queued_.wait_for(lock, kBatchTime, [this] { return stopping_; });
      }
      stopping = stopping_;
      bytes.swap(buffer_);
    }
    auto written = std::size_t{0};
    while (written < bytes.size()) {
      const auto count = ::write(STDOUT_FILENO, bytes.data() + written,
                                 bytes.size() - written);
      if (count < 0 && errno != EINTR) {
        break;  // Nowhere to report that standard output failed.
      }
      written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
  }
}

auto event_log::CountRequestLine(std::int64_t second) -> bool {
  if (second != current_second_) {
    current_second_ = second;
    lines_this_second_ = 0;
  }
  return ++lines_this_second_ > request_lines_per_second_;
}

auto event_log::Write(event_category category,
                      std::string_view event,
                      std::initializer_list<event_field> fields) -> void {
  const auto now = GetUnixMilliseconds();
  auto line = std::string();
  line.reserve(256);
  line.append("{\"time_ms\":").append(std::to_string(now));
  line.append(",\"process\":").append(process_);
  line.append(",\"event\":\"").append(event).append("\"");
  for (const auto& field : fields) {
    line.append(",\"").append(field.name).append("\":");
    line.append(field.is_number ? field.value : Quote(field.value));
  }
  const auto lock = std::lock_guard(mutex_);
  if (category == event_category::request &&
      CountRequestLine(now / kMillisecondsPerSecond)) {
    ++suppressed_;
    return;
  }
  if (buffer_.size() + line.size() > kBufferBytes) {
    ++dropped_;
    return;
  }
  if (dropped_ + suppressed_ > 0) {
    line.append(",\"lines_dropped\":").append(std::to_string(dropped_));
    line.append(",\"lines_suppressed\":").append(std::to_string(suppressed_));
    dropped_ = 0;
    suppressed_ = 0;
  }
  line.append("}\n");
  const auto was_empty = buffer_.empty();
  buffer_.append(line);
  if (was_empty) {
    lines_queued_.notify_one();
  }
}

}  // namespace ebony
