// ebony_fake_backends: simulates model engines and plain services for tests and
// benchmarks.

#include <iostream>

#include "drivers/daemon_runner.h"
#include "drivers/logger.h"
#include "fakes/fake_fleet.h"
#include "schema/settings.pb.h"
#include "settings/settings_loader.h"

namespace {

using std::chrono::milliseconds;

auto MakeFleetOptions(const ebony::schema::fake_settings& settings)
    -> ebony::fake_fleet_options {
  auto options = ebony::fake_fleet_options();
  for (const auto& entry : settings.entries()) {
    options.entries.emplace_back(entry);
  }
  options.loads_per_second = settings.loads_per_second();
  options.loads_at_full_speed = settings.loads_at_full_speed();
  options.load_time = milliseconds(settings.load_ms());
  options.admin_address = ebony::host_port(settings.admin_address());
  return options;
}

auto AddEngines(const ebony::schema::fake_settings& settings,
                ebony::fake_fleet& fleet) -> void {
  const auto total = settings.engines() + settings.service_servers();
  for (auto i = 0U; i < total; ++i) {
    auto options = ebony::fake_engine_options();
    const auto is_engine = i < settings.engines();
    const auto data_centre =
        i % static_cast<unsigned>(settings.data_centres_size());
    options.name = ebony::backend_name((is_engine ? "engine-" : "service-") +
                                       std::to_string(i));
    options.data_centre = ebony::data_centre_name(
        settings.data_centres(static_cast<int>(data_centre)));
    if (is_engine) {
      for (auto a = 0U; a < settings.accelerators(); ++a) {
        options.accelerators.emplace_back(settings.accelerator_mib());
      }
    } else {
      for (const auto& service : settings.services()) {
        options.services.emplace_back(service);
      }
    }
    options.slots = settings.slots();
    options.checks_fencing = !settings.ignore_fencing();
    options.order_key = settings.order_key();
    fleet.Add(options);
  }
}

auto Run(int argc, const char** argv) -> int {
  auto settings = ebony::schema::fake_settings();
  ebony::LoadSettings(argc, argv, ebony::ReadEnvironment, settings);
  ebony::ConfigureLogging(settings.log_level());
  auto fleet = ebony::fake_fleet(MakeFleetOptions(settings));
  AddEngines(settings, fleet);
  fleet.Start();
  auto is_stopping = false;
  ebony::RunUntilSignal([] {}, [&is_stopping] { is_stopping = true; },
                        [&is_stopping] { return is_stopping; });
  fleet.Stop();
  std::cout << fleet.RenderReport() << "\n";
  return EXIT_SUCCESS;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] { return Run(argc, argv); });
}
