// ebony_entry: the daemon that callers and backend servers connect to.

#include <iostream>

#include "core/metrics.h"
#include "drivers/daemon_runner.h"
#include "drivers/logger.h"
#include "main/entry_daemon.h"
#include "settings/settings_loader.h"

namespace {

auto Run(int argc, const char** argv) -> int {
  auto settings = ebony::schema::entry_settings();
  const auto sources =
      ebony::LoadSettings(argc, argv, ebony::ReadEnvironment, settings);
  if (settings.check_settings()) {
    std::cout << ebony::RenderSettings(settings, sources);
    return EXIT_SUCCESS;
  }
  ebony::ConfigureLogging(settings.log_level());
  auto counters = ebony::metrics();
  auto daemon = ebony::entry_daemon(settings, counters);
  daemon.Start();
  ebony::RunUntilSignal([&daemon] { daemon.DropDisconnectedCallers(); },
                        [&daemon] { daemon.Drain(); },
                        [&daemon] { return daemon.is_drained(); });
  daemon.Stop();
  return EXIT_SUCCESS;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] { return Run(argc, argv); });
}
