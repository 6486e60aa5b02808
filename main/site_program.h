#ifndef EBONY_MAIN_SITE_PROGRAM_H_
#define EBONY_MAIN_SITE_PROGRAM_H_

#include <functional>
#include <memory>
#include <string>

#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"

namespace ebony {

// Entry points of a daemon, called by `RunSiteProgram`.
struct site_daemon_hooks {
  std::function<void()> start;
  std::function<void()> stop;  // called once, on SIGTERM or SIGINT
  std::function<void(const site_settings&)> reload;  // with valid settings only
  std::function<bool()> is_done;                     // ends the program
};

// Resources that `RunSiteProgram` provides to the daemon. The references stay
// valid until the program ends.
struct site_program_context {
  site_settings settings;
  event_loop& loop;
  event_log& log;
  metrics& counters;
};

// Runs a daemon with the settings from the settings file until it is stopped by
// a signal; a second one ends it at once. Reloads the settings on SIGHUP and
// when the file changes, serves metrics, and logs start and stop.
// `--check-settings` only validates the file. Returns the exit status; throws
// `settings_error` if an option or the settings at the start are invalid.
auto RunSiteProgram(
    int argc,
    const char** argv,
    const std::string& name,
    const std::function<site_daemon_hooks(const site_program_context&)>& make)
    -> int;

}  // namespace ebony

#endif  // EBONY_MAIN_SITE_PROGRAM_H_
