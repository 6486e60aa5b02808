// ebony_site_soak: runs the programs of a site as processes, under load and
// random faults, and checks the guarantees to callers and operators.
//   ebony_site_soak PROGRAM_DIR SEED SECONDS [calm]
// With "calm", no faults are injected.

#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <string>

#include "tests/soak/soak_site.h"

auto main(int argc, char** argv) -> int {
  constexpr int kExitUsage = 2;
  if (argc < 4) {
    std::cerr << "usage: ebony_site_soak PROGRAM_DIR SEED SECONDS [calm]\n";
    return kExitUsage;
  }
  ::signal(SIGPIPE, SIG_IGN);
  auto site = ebony::testing::soak_site(argv[1], std::stoull(argv[2]));
  site.Start();
  site.Run(std::chrono::seconds(std::stoi(argv[3])), argc == 4);
  for (const auto& violation : site.get_violations()) {
    std::cout << "BREACH: " << violation << "\n";
  }
  std::cout << "seed " << argv[2] << ": " << site.Describe() << "\n";
  return site.get_violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
