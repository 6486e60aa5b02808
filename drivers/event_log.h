#ifndef EBONY_DRIVERS_EVENT_LOG_H_
#define EBONY_DRIVERS_EVENT_LOG_H_

#include <condition_variable>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "drivers/worker_thread.h"

namespace ebony {

// One named value of a line. Numbers stay numbers.
struct event_field {
  std::string_view name;
  std::string value;
  bool is_number = false;

  event_field(std::string_view field, std::string text);
  event_field(std::string_view field, const char* text);
  event_field(std::string_view field, std::int64_t number);
  event_field(std::string_view field, duration milliseconds);
};

enum class event_category {
  state,    // start, stop, reload, dependencies, beliefs: kept first
  request,  // decisions on single requests: limited in number
};

// Structured lines on standard output, one JSON object each. A thread of its
// own writes them, so that a slow reader never holds up the caller; what does
// not fit the buffer is dropped and counted in the next line that does.
class event_log {
  std::string process_;
  std::uint64_t request_lines_per_second_;
  std::mutex mutex_;
  std::condition_variable filled_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t suppressed_ = 0;
  std::int64_t second_ = 0;
  std::uint64_t lines_this_second_ = 0;
  bool stopping_ = false;
  worker_thread writer_;

  auto Run() -> void;
  auto IsSuppressed(std::int64_t second) -> bool;

 public:
  event_log(std::string process, std::uint64_t request_lines_per_second);
  // Writes what is left.
  ~event_log();

  auto Write(event_category weight,
             std::string_view event,
             std::initializer_list<event_field> fields) -> void;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_EVENT_LOG_H_
