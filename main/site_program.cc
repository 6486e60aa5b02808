#include "main/site_program.h"

#include <malloc.h>
#include <popt.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "core/error_kind.h"
#include "platform/settings_file.h"
#include "settings/settings_loader.h"

namespace ebony {

namespace {

constexpr int kMetricsPort = 9464;
constexpr const char* kMetricsPath = "/metrics";
constexpr std::uint64_t kRequestLinesPerSecond = 150;
constexpr duration kSettingsCheckInterval = std::chrono::milliseconds(1000);
constexpr int kMappedBlockBytes = 256 * 1024;
constexpr int kKeptHeapBytes = 1024 * 1024;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

volatile sig_atomic_t stop_signals = 0;
volatile sig_atomic_t reload_signals = 0;

extern "C" void OnStopSignal(int) {
  stop_signals = stop_signals + 1;
}

extern "C" void OnReloadSignal(int) {
  reload_signals = reload_signals + 1;
}

auto HandleSignal(int signal, void (*handler)(int)) -> void {
  struct sigaction action = {};
  action.sa_handler = handler;
  ::sigaction(signal, &action, nullptr);
}

// Returns freed bodies to the system at once. By default, the C library keeps
// blocks of a size that was freed before, up to 32 MiB each.
auto LimitKeptMemory() -> void {
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
}

// Detects changes of the settings file without reading it.
struct file_stamp {
  timespec modified = {};
  off_t size = 0;
  ino_t inode = 0;

  auto operator==(const file_stamp& other) const -> bool {
    return modified.tv_sec == other.modified.tv_sec &&
           modified.tv_nsec == other.modified.tv_nsec && size == other.size &&
           inode == other.inode;
  }
};

auto ReadFileStamp() -> file_stamp {
  struct stat info = {};
  if (::stat(platform::GetSettingsPath().c_str(), &info) != 0) {
    return {};
  }
  return {info.st_mtim, info.st_size, info.st_ino};
}

// Reloads the settings when the file has changed or SIGHUP was received.
class settings_watcher {
  event_log& log_;
  std::function<void(const site_settings&)> reload_;
  file_stamp stamp_ = ReadFileStamp();
  sig_atomic_t handled_signals_ = 0;

 public:
  settings_watcher(event_log& log,
                   std::function<void(const site_settings&)> reload)
      : log_(log), reload_(std::move(reload)) {}

  auto Check() -> void {
    const auto stamp = ReadFileStamp();
    const auto is_signalled = handled_signals_ != reload_signals;
    if (stamp == stamp_ && !is_signalled) {
      return;
    }
    stamp_ = stamp;
    handled_signals_ = reload_signals;
    try {
      reload_(platform::LoadSettingsFile());
      log_.Write(event_category::state, "settings_reloaded",
                 {{"signal", is_signalled ? "yes" : "no"}});
    } catch (const settings_error& error) {
      log_.Write(event_category::state, "settings_refused",
                 {{"error", error.what()}});
    }
  }

  auto has_pending_signal() const -> bool {
    return handled_signals_ != reload_signals;
  }
};

struct program_options {
  bool check_settings = false;
};

auto ParseOptions(int argc, const char** argv) -> program_options {
  auto check = 0;
  const poptOption table[] = {{"check-settings", 0, POPT_ARG_NONE, &check, 0,
                               "validate the settings file and exit", nullptr},
                              POPT_AUTOHELP POPT_TABLEEND};
  auto context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>(
      poptGetContext(nullptr, argc, argv, table, 0), poptFreeContext);
  const auto result = poptGetNextOpt(context.get());
  if (result < -1) {
    throw settings_error(
        {std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
         ": " + poptStrerror(result)});
  }
  return {check != 0};
}

auto ServeMetrics(const site_program_context& context)
    -> std::unique_ptr<http_listener> {
  const auto address =
      host_port(context.settings.ip + ":" + std::to_string(kMetricsPort));
  auto options = http_listener::options();
  options.get_limits = [] { return connection_limits(); };
  options.is_closing = [] { return false; };
  try {
    return std::make_unique<http_listener>(
        context.loop, address, options,
        [&counters = context.counters](const incoming_request& call,
                                       const response_pointer& answer) {
          auto head = http_head();
          const auto is_metrics = call.head.target == kMetricsPath;
          head.status = is_metrics ? kOk : kNotFound;
          head.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
          answer->Respond(std::move(head),
                          is_metrics ? counters.Render() : std::string());
        });
  } catch (const ebony_error& error) {
    context.log.Write(event_category::state, "metrics_not_served",
                      {{"error", error.what()}});
    return nullptr;
  }
}

}  // namespace

auto RunSiteProgram(
    int argc,
    const char** argv,
    const std::string& name,
    const std::function<site_daemon_hooks(const site_program_context&)>& make)
    -> int {
  const auto options = ParseOptions(argc, argv);
  auto settings = platform::LoadSettingsFile();
  if (options.check_settings) {
    std::cout << "settings: no errors\n";
    return EXIT_SUCCESS;
  }
  if (settings.memory_mb > 0) {
    LimitKeptMemory();
  }
  HandleSignal(SIGTERM, OnStopSignal);
  HandleSignal(SIGINT, OnStopSignal);
  HandleSignal(SIGHUP, OnReloadSignal);
  HandleSignal(SIGPIPE, SIG_IGN);
  auto loop = event_loop();
  auto log = event_log(name + "@" + settings.vm.get(), kRequestLinesPerSecond);
  auto counters = metrics();
  const auto context =
      site_program_context{std::move(settings), loop, log, counters};
  const auto daemon = make(context);
  daemon.start();
  const auto exporter = ServeMetrics(context);
  auto watcher = settings_watcher(log, daemon.reload);
  RepeatEvery(loop, kSettingsCheckInterval, [&watcher] { watcher.Check(); });
  log.Write(event_category::state, "started",
            {{"pid", static_cast<std::int64_t>(::getpid())},
             {"data_centre", context.settings.data_centre.get()}});
  auto is_stopping = false;
  loop.Run([&] {
    if (watcher.has_pending_signal()) {
      watcher.Check();
    }
    if (stop_signals > 0 && !is_stopping) {
      is_stopping = true;
      log.Write(event_category::state, "stop_signal", {});
      daemon.stop();
    }
    return daemon.is_done() || stop_signals > 1;
  });
  log.Write(event_category::state, "stopped", {});
  return EXIT_SUCCESS;
}

}  // namespace ebony
