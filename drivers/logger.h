#ifndef EBONY_DRIVERS_LOGGER_H_
#define EBONY_DRIVERS_LOGGER_H_

#include <string>
#include <utility>
#include <vector>

namespace ebony {

// Name and value of one member of a log line.
struct log_field {
  std::string name;
  std::string value;
};

enum class log_level { debug, info, warn, error };

// Directs the log lines of this process to standard error. `level` is the
// lowest level to write: debug, info, warn or error. Throws ebony_error for any
// other name.
auto ConfigureLogging(const std::string& level) -> void;

// Writes one JSON line for an event such as a state change.
auto LogEvent(log_level level,
              const std::string& event,
              const std::vector<log_field>& fields) -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_LOGGER_H_
