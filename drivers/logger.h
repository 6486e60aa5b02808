#ifndef EBONY_DRIVERS_LOGGER_H_
#define EBONY_DRIVERS_LOGGER_H_

#include <string>
#include <utility>
#include <vector>

namespace ebony {

// One named value of a log line.
struct log_field {
  std::string name;
  std::string value;
};

enum class log_level { debug, info, warn, error };

// Sends log lines of this process to standard error. `level` is the lowest
// level that is written; an unknown name throws ebony_error.
auto ConfigureLogging(const std::string& level) -> void;

// Writes one structured line for a change of state.
auto LogEvent(log_level level,
              const std::string& event,
              const std::vector<log_field>& fields) -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_LOGGER_H_
