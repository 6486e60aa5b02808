// ebony_settings_page: prints docs/SETTINGS.md from the settings schema.

#include <iostream>

#include "schema/settings.pb.h"
#include "settings/settings_loader.h"

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
                                         schema::fake_settings());
  return 0;
}
