#include "settings/settings_loader.h"

#include <boost/test/unit_test.hpp>

#include "schema/settings.pb.h"

namespace ebony::testing {

namespace {

auto NoEnvironment(const std::string&) -> std::optional<std::string> {
  return std::nullopt;
}

auto Load(std::vector<const char*> words,
          const environment_reader& environment,
          schema::load_settings& settings) -> std::vector<settings_source> {
  words.insert(words.begin(), "program");
  return LoadSettings(static_cast<int>(words.size()), words.data(), environment,
                      settings);
}

auto GetFault(std::vector<const char*> words) -> std::string {
  auto settings = schema::load_settings();
  try {
    Load(std::move(words), NoEnvironment, settings);
  } catch (const settings_error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

BOOST_AUTO_TEST_CASE(a_flag_goes_before_the_environment_and_the_default) {
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

BOOST_AUTO_TEST_CASE(all_faults_are_named_at_once) {
  const auto fault = GetFault({"--seconds=0", "--rate=fast", "--colour=red"});
  BOOST_TEST(fault.find("4 faults") != std::string::npos);
  BOOST_TEST(fault.find("--colour") != std::string::npos);
  BOOST_TEST(fault.find("1 to 3600 s") != std::string::npos);
  BOOST_TEST(fault.find("--rate: 'fast'") != std::string::npos);
  BOOST_TEST(fault.find("EBONY_ENTRIES: required") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_bool_flag_needs_no_value) {
  auto settings = schema::load_settings();
  Load({"--entries=a", "--check"}, NoEnvironment, settings);
  BOOST_TEST(settings.check());
  BOOST_TEST(GetFault({"--entries=a", "--check=maybe"}).find("true or false") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
