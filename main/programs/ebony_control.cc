// ebony_control: a voter of the control group.

#include <iostream>

#include "core/metrics.h"
#include "drivers/daemon_runner.h"
#include "drivers/logger.h"
#include "main/control_daemon.h"
#include "settings/settings_loader.h"

namespace {

auto Run(int argc, const char** argv) -> int {
  auto settings = ebony::schema::control_settings();
  const auto sources =
      ebony::LoadSettings(argc, argv, ebony::ReadEnvironment, settings);
  if (settings.check_settings()) {
    std::cout << ebony::RenderSettings(settings, sources);
    return EXIT_SUCCESS;
  }
  ebony::ConfigureLogging(settings.log_level());
  if (settings.init()) {
    ebony::control_daemon::InitDataFolder(settings);
    return EXIT_SUCCESS;
  }
  auto counters = ebony::metrics();
  auto daemon = ebony::control_daemon(settings, counters);
  daemon.Start();
  auto is_stopping = false;
  ebony::RunUntilSignal([] {}, [&is_stopping] { is_stopping = true; },
                        [&] { return is_stopping || daemon.is_failed(); });
  const auto failed = daemon.is_failed();
  daemon.Stop();
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] { return Run(argc, argv); });
}
