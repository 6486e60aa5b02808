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

// What a site's daemon has to offer to the program around it.
struct site_daemon_hooks {
  std::function<void()> start;
  std::function<void()> stop;  // SIGTERM or SIGINT
  std::function<void(const site_settings&)> reload;
  std::function<bool()> is_done;
};

// What the program gives the daemon.
struct site_program_context {
  site_settings settings;
  event_loop& loop;
  event_log& log;
  metrics& counters;
};

// Runs a daemon of a site from the settings file until it is told to stop:
// signals, reload on SIGHUP and when the file has changed, metrics, the first
// and the last line of the log. `--check-settings` checks the file and ends.
auto RunSiteProgram(
    int argc,
    const char** argv,
    const std::string& name,
    const std::function<site_daemon_hooks(const site_program_context&)>& make)
    -> int;

}  // namespace ebony

#endif  // EBONY_MAIN_SITE_PROGRAM_H_
