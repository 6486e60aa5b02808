#include "drivers/daemon_runner.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <signal.h>

#include <cstdlib>
#include <iostream>

#include "settings/settings_loader.h"

namespace ebony {

namespace {

const auto kTickPeriod = ACE_Time_Value(0, 100000);  // 100 ms
constexpr int kExitUsage = 2;

// Counts the received stop signals.
class stop_handler : public ACE_Event_Handler {
  int signals_ = 0;

 public:
  // NOLINTNEXTLINE(readability-identifier-naming): name given by ACE.
  auto handle_signal(int, siginfo_t*, ucontext_t*) -> int override {
    ++signals_;
    return 0;
  }

  auto get_signals() const -> int { return signals_; }
};

}  // namespace

auto RunUntilSignal(const std::function<void()>& on_tick,
                    const std::function<void()>& on_signal,
                    const std::function<bool()>& is_done) -> void {
  auto* reactor = ACE_Reactor::instance();
  auto handler = stop_handler();
  reactor->register_handler(SIGTERM, &handler);
  reactor->register_handler(SIGINT, &handler);
  auto is_stop_reported = false;
  while (!is_done() && handler.get_signals() < 2) {
    auto wait = kTickPeriod;
    reactor->handle_events(wait);
    on_tick();
    if (handler.get_signals() > 0 && !is_stop_reported) {
      is_stop_reported = true;
      on_signal();
    }
  }
  reactor->remove_handler(SIGTERM, static_cast<ACE_Sig_Action*>(nullptr));
  reactor->remove_handler(SIGINT, static_cast<ACE_Sig_Action*>(nullptr));
}

auto RunProgram(const std::function<int()>& body) -> int {
  try {
    return body();
  } catch (const settings_error& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return EXIT_FAILURE;
  }
}

}  // namespace ebony
