// ebony_coordinator: a member of the control group of a site.

#include <unistd.h>

#include "core/error_kind.h"
#include "drivers/daemon_runner.h"
#include "main/coordinator_daemon.h"
#include "main/site_program.h"

namespace {

constexpr useconds_t kDiskRetryUs = 200000;

// Retries until the disk can be opened. Nothing is served before that.
auto OpenDisk(ebony::coordinator_daemon& daemon, ebony::event_log& log)
    -> void {
  for (;;) {
    try {
      daemon.Open();
      return;
    } catch (const ebony::ebony_error& error) {
      log.Write(ebony::event_category::state, "disk_lost",
                {{"error", error.what()}});
      ::usleep(kDiskRetryUs);
    }
  }
}

auto MakeHooks(const ebony::site_program_context& parts)
    -> ebony::site_daemon_hooks {
  const auto daemon = std::make_shared<ebony::coordinator_daemon>(
      parts.settings, parts.loop, parts.log, parts.counters);
  auto hooks = ebony::site_daemon_hooks();
  hooks.start = [daemon, &log = parts.log] {
    OpenDisk(*daemon, log);
    daemon->Start();
  };
  hooks.stop = [daemon] { daemon->Stop(); };
  hooks.reload = [daemon](const ebony::site_settings& settings) {
    daemon->Reload(settings);
  };
  hooks.is_done = [daemon] { return daemon->is_stopping(); };
  return hooks;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] {
    return ebony::RunSiteProgram(argc, argv, "ebony_coordinator", MakeHooks);
  });
}
