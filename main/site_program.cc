#include "main/site_program.h"

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
constexpr duration kSettingsCheck = std::chrono::milliseconds(1000);
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

// Identifies the content of the settings file without reading it.
struct file_mark {
  timespec changed = {};
  off_t size = 0;
  ino_t inode = 0;

  auto operator==(const file_mark& other) const -> bool {
    return changed.tv_sec == other.changed.tv_sec &&
           changed.tv_nsec == other.changed.tv_nsec && size == other.size &&
           inode == other.inode;
  }
};

auto ReadMark() -> file_mark {
  struct stat info = {};
  if (::stat(platform::GetSettingsPath().c_str(), &info) != 0) {
    return {};
  }
  return {info.st_mtim, info.st_size, info.st_ino};
}

// Follows the settings file for one daemon.
class settings_watch {
  event_log& log_;
  std::function<void(const site_settings&)> reload_;
  file_mark mark_ = ReadMark();
  sig_atomic_t seen_signals_ = 0;

 public:
  settings_watch(event_log& log,
                 std::function<void(const site_settings&)> reload)
      : log_(log), reload_(std::move(reload)) {}

  auto Check() -> void {
    const auto mark = ReadMark();
    const auto is_told = seen_signals_ != reload_signals;
    if (mark == mark_ && !is_told) {
      return;
    }
    mark_ = mark;
    seen_signals_ = reload_signals;
    try {
      reload_(platform::LoadSettingsFile());
      log_.Write(event_category::state, "settings_reloaded",
                 {{"signal", is_told ? "yes" : "no"}});
    } catch (const settings_error& error) {
      log_.Write(event_category::state, "settings_refused",
                 {{"error", error.what()}});
    }
  }

  auto is_due() const -> bool { return seen_signals_ != reload_signals; }
};

struct program_options {
  bool check_settings = false;
};

auto ParseOptions(int argc, const char** argv) -> program_options {
  auto check = 0;
  const poptOption table[] = {{"check-settings", 0, POPT_ARG_NONE, &check, 0,
                               "check the settings file, then exit", nullptr},
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
          const auto known = call.head.target == kMetricsPath;
          head.status = known ? kOk : kNotFound;
          head.fields = {{"Content-Type", "text/plain; version=0.0.4"}};
          answer->Respond(std::move(head),
                          known ? counters.Render() : std::string());
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
    std::cout << "settings: no fault\n";
    return EXIT_SUCCESS;
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
  auto watch = settings_watch(log, daemon.reload);
  RepeatEvery(loop, kSettingsCheck, [&watch] { watch.Check(); });
  log.Write(event_category::state, "started",
            {{"pid", static_cast<std::int64_t>(::getpid())},
             {"data_centre", context.settings.data_centre.get()}});
  auto is_told = false;
  loop.Run([&] {
    if (watch.is_due()) {
      watch.Check();
    }
    if (stop_signals > 0 && !is_told) {
      is_told = true;
      log.Write(event_category::state, "stop_signal", {});
      daemon.stop();
    }
    return daemon.is_done() || stop_signals > 1;
  });
  log.Write(event_category::state, "stopped", {});
  return EXIT_SUCCESS;
}

}  // namespace ebony
