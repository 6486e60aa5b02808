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

// Name and value of one member of a log line. Numbers are written unquoted.
struct event_field {
  std::string_view name;
  std::string value;
  bool is_number = false;

  event_field(std::string_view field, std::string text);
  event_field(std::string_view field, const char* text);
  event_field(std::string_view field, std::int64_t number);
  // Written as whole milliseconds.
  event_field(std::string_view field, duration time);
};

enum class event_category {
  state,    // start, stop, reload, dependencies, leadership, membership
  request,  // decisions on single requests; limited in number per second
};

// Writes structured lines to standard output, one JSON object per line. A
// worker thread does the writing, so that a slow reader does not block callers.
// Lines that do not fit into the buffer are dropped; the next line that fits
// reports how many.
class event_log {
  std::string process_;
  std::uint64_t request_lines_per_second_;
  std::mutex mutex_;
  std::condition_variable lines_queued_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;        // lines that did not fit into the buffer
  std::uint64_t suppressed_ = 0;     // lines over the limit per second
  std::int64_t current_second_ = 0;  // Unix time
  std::uint64_t lines_this_second_ = 0;
  bool stopping_ = false;
  worker_thread writer_;

  auto Run() -> void;
  // Counts a line of category `request`. Returns true when it exceeds the limit
  // of the current second.
  auto CountRequestLine(std::int64_t second) -> bool;

 public:
  event_log(std::string process, std::uint64_t request_lines_per_second);
  // Writes the buffered lines.
  ~event_log();

  // Queues a line. May be called from any thread.
  auto Write(event_category category,
             std::string_view event,
             std::initializer_list<event_field> fields) -> void;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_EVENT_LOG_H_
