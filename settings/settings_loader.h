#ifndef EBONY_SETTINGS_SETTINGS_LOADER_H_
#define EBONY_SETTINGS_SETTINGS_LOADER_H_

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace google::protobuf {
class Message;
}

namespace ebony {

// All faults of the settings at once; `what` has a line for each.
class settings_error : public std::runtime_error {
 public:
  explicit settings_error(const std::vector<std::string>& faults);
};

// The outcome of loading, for `--check-settings` and for the start.
struct settings_source {
  std::string field;
  std::string origin;  // "flag", "environment" or "default"
};

// Returns the value of an environment variable, if it is set.
using environment_reader =
    std::function<std::optional<std::string>(const std::string&)>;

// Reads the process's environment.
auto ReadEnvironment(const std::string& name) -> std::optional<std::string>;

// Fills `settings` from flags, else the environment, else the defaults that
// the schema states. Prints help or the version and exits when asked to.
// Words that are no flags go to `operands`; without it they are faults.
// Throws settings_error when any value is wrong, unknown or missing.
auto LoadSettings(int argc,
                  const char** argv,
                  const environment_reader& environment,
                  google::protobuf::Message& settings,
                  std::vector<std::string>* operands = nullptr)
    -> std::vector<settings_source>;

// Returns the effective settings with their sources, secrets hidden.
auto RenderSettings(const google::protobuf::Message& settings,
                    const std::vector<settings_source>& sources) -> std::string;

// Returns the Markdown table of the settings of one program.
auto RenderSettingsPage(const std::string& program,
                        const google::protobuf::Message& settings)
    -> std::string;

}  // namespace ebony

#endif  // EBONY_SETTINGS_SETTINGS_LOADER_H_
