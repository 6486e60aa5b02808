#include "drivers/logger.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "core/error_kind.h"

namespace ebony {

namespace {

auto GetRootLogger() -> log4cxx::LoggerPtr {
  return log4cxx::Logger::getRootLogger();
}

auto ParseLevel(const std::string& level) -> log4cxx::LevelPtr {
  if (level == "debug") {
    return log4cxx::Level::getDebug();
  }
  if (level == "info") {
    return log4cxx::Level::getInfo();
  }
  if (level == "warn") {
    return log4cxx::Level::getWarn();
  }
  if (level == "error") {
    return log4cxx::Level::getError();
  }
  throw ebony_error(
      error_kind::invalid_request,
      "--log-level: '" + level + "' must be debug, info, warn or error");
}

}  // namespace

auto ConfigureLogging(const std::string& level) -> void {
  const auto parsed = ParseLevel(level);
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}\","
                  "\"level\":\"%p\",%m}%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  GetRootLogger()->removeAllAppenders();
  GetRootLogger()->addAppender(appender);
  GetRootLogger()->setLevel(parsed);
}

auto LogEvent(log_level level,
              const std::string& event,
              const std::vector<log_field>& fields) -> void {
  auto line = nlohmann::ordered_json();
  line["event"] = event;
  for (const auto& field : fields) {
    line[field.name] = field.value;
  }
  const auto text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // The layout adds the braces around time, level and these members.
  const auto members = text.substr(1, text.size() - 2);
  switch (level) {
    case log_level::debug:
      LOG4CXX_DEBUG(GetRootLogger(), members);
      break;
    case log_level::info:
      LOG4CXX_INFO(GetRootLogger(), members);
      break;
    case log_level::warn:
      LOG4CXX_WARN(GetRootLogger(), members);
      break;
    case log_level::error:
      LOG4CXX_ERROR(GetRootLogger(), members);
      break;
  }
}

}  // namespace ebony
