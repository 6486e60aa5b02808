#include "settings/settings_loader.h"

#include <boost/test/unit_test.hpp>

#include "schema/settings.pb.h"

namespace ebony::testing {

namespace {

auto NoEnvironment(const std::string&) -> std::optional<std::string> {
  return std::nullopt;
}

auto Load(std::vector<const char*> arguments,
          const environment_reader& environment,
          schema::load_settings& settings) -> std::vector<settings_source> {
  arguments.insert(arguments.begin(), "program");
  return LoadSettings(static_cast<int>(arguments.size()), arguments.data(),
                      environment, settings);
}

auto GetError(std::vector<const char*> arguments) -> std::string {
  auto settings = schema::load_settings();
  try {
    Load(std::move(arguments), NoEnvironment, settings);
  } catch (const settings_error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

BOOST_AUTO_TEST_CASE(flags_override_the_environment_and_defaults) {
  auto settings = schema::load_settings();
  const auto environment =
      [](const std::string& name) -> std::optional<std::string> {
    if (name == "EBONY_SECONDS") {
      return "7";
    }
    return name == "EBONY_RATE" ? std::optional<std::string>("3")
                                : std::nullopt;
  };
  Load({"--entries=a,b", "--rate=9"}, environment, settings);
  BOOST_TEST(settings.entries_size() == 2);
  BOOST_TEST(settings.rate() == 9);
  BOOST_TEST(settings.seconds() == 7U);
  BOOST_TEST(settings.tokens() == 24U);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once) {
  const auto error = GetError({"--seconds=0", "--rate=fast", "--colour=red"});
  BOOST_TEST(error.find("4 errors") != std::string::npos);
  BOOST_TEST(error.find("--colour") != std::string::npos);
  BOOST_TEST(error.find("1 to 3600 s") != std::string::npos);
  BOOST_TEST(error.find("--rate: 'fast'") != std::string::npos);
  BOOST_TEST(error.find("EBONY_ENTRIES: required") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(boolean_flags_need_no_value) {
  auto settings = schema::load_settings();
  Load({"--entries=a", "--check"}, NoEnvironment, settings);
  BOOST_TEST(settings.check());
  BOOST_TEST(GetError({"--entries=a", "--check=maybe"}).find("true or false") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
