// ebony_load: generates open-loop load and checks every answer.

#include <iostream>
#include <nlohmann/json.hpp>

#include "drivers/daemon_runner.h"
#include "settings/settings_loader.h"
#include "tools/load_run.h"

namespace {

auto Run(int argc, const char** argv) -> int {
  auto settings = ebony::schema::load_settings();
  ebony::LoadSettings(argc, argv, ebony::ReadEnvironment, settings);
  auto run = ebony::load_run(settings);
  const auto report = run.Run();
  const auto text = ebony::RenderLoadReport(report, settings.seconds());
  if (settings.json()) {
    std::cout << text << "\n";
  } else {
    auto body = nlohmann::ordered_json::parse(text);
    body.erase("not_run_keys");
    for (const auto& [name, value] : body.items()) {
      std::cout << name << " = " << value.dump() << "\n";
    }
  }
  return settings.check() && ebony::HasViolation(report) ? EXIT_FAILURE
                                                         : EXIT_SUCCESS;
}

}  // namespace

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] { return Run(argc, argv); });
}
