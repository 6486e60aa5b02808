// ebony_settings_page: prints docs/SETTINGS.md from the settings schema.

#include <iostream>

#include "schema/settings.pb.h"
#include "settings/settings_loader.h"

namespace {

// The settings of a site are read by platform/settings_file.cc; this is what
// two of them mean together.
constexpr const char* kGroupSizes = R"(
## What a control group bears

The coordinators of a site form one group. How many VMs have a disk, and the number `tolerate.machines`,
decide how many of them vote: five, or twice the tolerated losses and one, and an odd number where more
than two are there. The others stand by with a copy of the log, and take the place of a lost voter
after 6 s, or after 0.6 s where the VM is back with an empty disk.

| VMs with a disk | voters (standby), tolerate 0 to 2 | tolerate 3 | tolerate 4 | losses borne at once |
| --- | --- | --- | --- | --- |
| 1 | 1 | 1 | 1 | 0 |
| 2 | 2 | 2 | 2 | 0 |
| 3 | 3 | 3 | 3 | 1 |
| 4 | 3 (1) | 3 (1) | 3 (1) | 1 |
| 5 | 5 | 5 | 5 | 2 |
| 6 | 5 (1) | 5 (1) | 5 (1) | 2 |
| 7 | 5 (2) | 7 | 7 | 2; 3 with tolerate 3 or more |
| 8 | 5 (3) | 7 (1) | 7 (1) | 2; 3 with tolerate 3 or more |
| 9 | 5 (4) | 7 (2) | 9 | 2; 3 with tolerate 3; 4 with tolerate 4 |

- From three VMs on, each may be replaced or lose its disk, one after the other, any number of times: each
  counts as lost until its successor votes, which takes a few seconds. Then the group bears what the
  table says again. `ebony_control_losses_borne` and the log line `losses_borne` tell what it bears now.
- One VM: its disk is the group. Two VMs: both have to agree to each change, and a disk that is lost, or a VM
  that is replaced, ends the group for good; a frozen, cut off or stopped one suspends it.
- A number of voters that the table does not have, such as the four of an earlier build, is kept while all of
  them are at work; a lost one goes.
- Lost voters without a replacement are removed where fewer of the others have to agree without them, down to
  twice the tolerated losses and one, three at least. They join again when they return.
- Voters are not chosen by data centre: one that is lost counts as all voters that it holds.
  `tolerate.zones` and `tolerate.regions` are not read.
- More VMs gone for good than the table says, or their disks lost: no majority is left. Nothing is acknowledged
  or read back then, rather than something old.
)";

}  // namespace

auto main() -> int {
  namespace schema = ebony::schema;
  std::cout << "# Settings\n\n"
               "Generated from schema/settings.proto; do not edit. A flag goes "
               "before its environment variable, and that before the "
               "default.\n\n"
            << ebony::RenderSettingsPage("ebony_control",
                                         schema::control_settings())
            << "\n"
            << ebony::RenderSettingsPage("ebony_entry",
                                         schema::entry_settings())
            << "\n"
            << ebony::RenderSettingsPage("ebonyctl", schema::ctl_settings())
            << "\n"
            << ebony::RenderSettingsPage("ebony_load", schema::load_settings())
            << "\n"
            << ebony::RenderSettingsPage("ebony_burn", schema::burn_settings())
            << "\n"
            << ebony::RenderSettingsPage("ebony_fake_backends",
                                         schema::fake_settings())
            << kGroupSizes;
  return 0;
}
