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

// Thrown for invalid settings. `what` has one line for each error.
class settings_error : public std::runtime_error {
 public:
  explicit settings_error(const std::vector<std::string>& errors);
};

// Where the value of one setting comes from. Shown by `--check-settings` and at
// the start.
struct settings_source {
  std::string field;   // name in the schema
  std::string origin;  // "flag", "environment" or "default"
};

// Returns the value of an environment variable, or std::nullopt if it is not
// set.
using environment_reader =
    std::function<std::optional<std::string>(const std::string&)>;

// Returns the value of a variable in the environment of this process.
auto ReadEnvironment(const std::string& name) -> std::optional<std::string>;

// Sets each field of `settings` from its flag, else its environment variable,
// else its default in the schema. Prints the help or the version and exits if
// the flags request it. Positional arguments are appended to `operands`, or are
// errors if it is nullptr. Throws settings_error with all invalid, unknown and
// missing settings.
auto LoadSettings(int argc,
                  const char** argv,
                  const environment_reader& environment,
                  google::protobuf::Message& settings,
                  std::vector<std::string>* operands = nullptr)
    -> std::vector<settings_source>;

// Returns the effective settings with their sources, one in each line. Secrets
// are hidden.
auto RenderSettings(const google::protobuf::Message& settings,
                    const std::vector<settings_source>& sources) -> std::string;

// Returns the Markdown table of the settings of one program.
auto RenderSettingsPage(const std::string& program,
                        const google::protobuf::Message& settings)
    -> std::string;

}  // namespace ebony

#endif  // EBONY_SETTINGS_SETTINGS_LOADER_H_
