// ebony_gateway: the HTTP proxy between callers and backend servers.

#include "drivers/daemon_runner.h"
#include "main/gateway_daemon.h"
#include "main/site_program.h"

namespace {

auto MakeHooks(const ebony::site_program_context& context)
    -> ebony::site_daemon_hooks {
  const auto daemon = std::make_shared<ebony::gateway_daemon>(
      context.settings, context.loop, context.log, context.counters);
  auto hooks = ebony::site_daemon_hooks();
  hooks.start = [daemon] { daemon->Start(); };
  hooks.stop = [daemon] { daemon->Drain(); };
  hooks.reload = [daemon](const ebony::site_settings& settings) {
    daemon->Reload(settings);
  };
  hooks.is_done = [daemon] { return daemon->is_drained(); };
  return hooks;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] {
    return ebony::RunSiteProgram(argc, argv, "ebony_gateway", MakeHooks);
  });
}
