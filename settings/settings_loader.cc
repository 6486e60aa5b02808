#include "settings/settings_loader.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <popt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

#include "schema/settings.pb.h"

namespace ebony {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using schema::setting_options;

constexpr const char* kVersion = "ebonythread 0.1.0";

struct popt_closer {
  auto operator()(poptContext context) const -> void {
    poptFreeContext(context);
  }
};
using popt_pointer =
    std::unique_ptr<std::remove_pointer_t<poptContext>, popt_closer>;

auto GetOptions(const FieldDescriptor& field) -> const setting_options& {
  return field.options().GetExtension(schema::setting);
}

auto GetFlag(const FieldDescriptor& field) -> std::string {
  auto flag = std::string(field.name());
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

auto GetEnvironmentVariable(const FieldDescriptor& field) -> std::string {
  auto variable = "EBONY_" + std::string(field.name());
  std::transform(variable.begin(), variable.end(), variable.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  return variable;
}

auto DescribeRange(const setting_options& options) -> std::string {
  if (options.min() == 0 && options.max() == 0) {
    return "";
  }
  return std::to_string(options.min()) + " to " +
         std::to_string(options.max()) +
         (options.unit().empty() ? "" : " " + options.unit());
}

auto DescribeInvalidValue(const FieldDescriptor& field, const std::string& text)
    -> std::string {
  const auto range = DescribeRange(GetOptions(field));
  const auto allowed = field.type() == FieldDescriptor::TYPE_BOOL
                           ? std::string("true or false")
                           : (range.empty() ? std::string("a value") : range);
  return "--" + GetFlag(field) + ": '" + text + "' is not allowed; give " +
         allowed;
}

auto Split(const std::string& text) -> std::vector<std::string> {
  auto parts = std::vector<std::string>();
  auto stream = std::istringstream(text);
  auto part = std::string();
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

template <typename Number>
auto ParseNumber(const std::string& text) -> std::optional<Number> {
  auto number = Number{};
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

auto IsInRange(const setting_options& options, double value) -> bool {
  if (options.min() == 0 && options.max() == 0) {
    return true;
  }
  return value >= static_cast<double>(options.min()) &&
         value <= static_cast<double>(options.max());
}

// Returns false when `text` is not a valid value of the field.
auto SetField(Message& settings,
              const FieldDescriptor& field,
              const std::string& text) -> bool {
  const auto* reflection = settings.GetReflection();
  if (field.is_repeated()) {
    reflection->ClearField(&settings, &field);
    for (const auto& part : Split(text)) {
      reflection->AddString(&settings, &field, part);
    }
    return true;
  }
  switch (field.type()) {
    case FieldDescriptor::TYPE_STRING:
      reflection->SetString(&settings, &field, text);
      return true;
    case FieldDescriptor::TYPE_BOOL:
      reflection->SetBool(&settings, &field, text == "true");
      return text == "true" || text == "false";
    case FieldDescriptor::TYPE_UINT32: {
      const auto value = ParseNumber<std::uint32_t>(text);
      reflection->SetUInt32(&settings, &field, value.value_or(0));
      return value && IsInRange(GetOptions(field), *value);
    }
    case FieldDescriptor::TYPE_DOUBLE: {
      const auto value = ParseNumber<double>(text);
      reflection->SetDouble(&settings, &field, value.value_or(0));
      return value && IsInRange(GetOptions(field), *value);
    }
    default:
      return false;
  }
}

auto GetText(const Message& settings, const FieldDescriptor& field)
    -> std::string {
  const auto* reflection = settings.GetReflection();
  auto out = std::ostringstream();
  if (field.is_repeated()) {
    for (auto i = 0; i < reflection->FieldSize(settings, &field); ++i) {
      out << (i == 0 ? "" : ",")
          << reflection->GetRepeatedString(settings, &field, i);
    }
    return out.str();
  }
  switch (field.type()) {
    case FieldDescriptor::TYPE_STRING:
      return reflection->GetString(settings, &field);
    case FieldDescriptor::TYPE_BOOL:
      return reflection->GetBool(settings, &field) ? "true" : "false";
    case FieldDescriptor::TYPE_UINT32:
      out << reflection->GetUInt32(settings, &field);
      return out.str();
    default:
      out << reflection->GetDouble(settings, &field);
      return out.str();
  }
}

// The popt table and the strings that it points to.
struct flag_table {
  std::vector<std::string> names;
  std::vector<std::string> helps;
  std::vector<char*> values;  // allocated by popt; nullptr if not given
  std::vector<poptOption> options;
};

auto BuildFlagTable(const google::protobuf::Descriptor& type)
    -> std::unique_ptr<flag_table> {
  auto table = std::make_unique<flag_table>();
  const auto count = static_cast<std::size_t>(type.field_count());
  table->values.resize(count, nullptr);
  for (auto i = 0; i < type.field_count(); ++i) {
    const auto& field = *type.field(i);
    const auto range = DescribeRange(GetOptions(field));
    table->names.push_back(GetFlag(field));
    table->helps.push_back(GetOptions(field).help() +
                           (range.empty() ? "" : " (" + range + ")"));
  }
  for (auto i = std::size_t{0}; i < count; ++i) {
    auto option = poptOption();
    option.longName = table->names[i].c_str();
    option.argInfo = POPT_ARG_STRING;
    option.arg = &table->values[i];
    option.descrip = table->helps[i].c_str();
    option.argDescrip = "VALUE";
    table->options.push_back(option);
  }
  return table;
}

// Replaces `--flag` of a boolean setting with `--flag=true`, because popt
// parses all flags with a value.
auto ExpandBoolFlags(int argc,
                     const char** argv,
                     const google::protobuf::Descriptor& type)
    -> std::vector<std::string> {
  auto arguments = std::vector<std::string>(argv, argv + argc);
  for (auto i = 0; i < type.field_count(); ++i) {
    const auto& field = *type.field(i);
    if (field.type() != FieldDescriptor::TYPE_BOOL) {
      continue;
    }
    for (auto& argument : arguments) {
      if (argument == "--" + GetFlag(field)) {
        argument += "=true";
      }
    }
  }
  return arguments;
}

auto JoinErrors(const std::vector<std::string>& errors) -> std::string {
  auto text = std::string("settings: ") + std::to_string(errors.size()) +
              (errors.size() == 1 ? " error" : " errors");
  for (const auto& error : errors) {
    text += "\n  " + error;
  }
  return text;
}

auto ParseFlags(poptContext context,
                std::vector<std::string>* operands,
                std::vector<std::string>& errors) -> void {
  auto code = 0;
  while ((code = poptGetNextOpt(context)) != -1) {
    if (code == 'v') {
      std::cout << kVersion << "\n";
      std::exit(EXIT_SUCCESS);
    }
    if (code < -1) {
      errors.push_back(std::string(poptBadOption(context, 0)) + ": " +
                       poptStrerror(code) + "; see --help for the flags");
    }
  }
  while (const auto* argument = poptGetArg(context)) {
    if (operands != nullptr) {
      operands->emplace_back(argument);
    } else {
      errors.push_back(std::string(argument) + ": unexpected argument");
    }
  }
}

}  // namespace

settings_error::settings_error(const std::vector<std::string>& errors)
    : std::runtime_error(JoinErrors(errors)) {}

auto ReadEnvironment(const std::string& name) -> std::optional<std::string> {
  const auto* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

auto LoadSettings(int argc,
                  const char** argv,
                  const environment_reader& environment,
                  Message& settings,
                  std::vector<std::string>* operands)
    -> std::vector<settings_source> {
  const auto& type = *settings.GetDescriptor();
  auto table = BuildFlagTable(type);
  auto options = table->options;
  auto version = poptOption();
  version.longName = "version";
  version.argInfo = POPT_ARG_NONE;
  version.val = 'v';
  version.descrip = "Print the version, then exit";
  options.push_back(version);
  const poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
  options.insert(options.end(), std::begin(help), std::end(help));

  const auto arguments = ExpandBoolFlags(argc, argv, type);
  auto pointers = std::vector<const char*>();
  for (const auto& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  auto errors = std::vector<std::string>();
  const auto context =
      popt_pointer(poptGetContext(nullptr, static_cast<int>(pointers.size()),
                                  pointers.data(), options.data(), 0));
  ParseFlags(context.get(), operands, errors);

  auto sources = std::vector<settings_source>();
  for (auto i = 0; i < type.field_count(); ++i) {
    const auto& field = *type.field(i);
    const auto* flag = table->values[static_cast<std::size_t>(i)];
    const auto variable = environment(GetEnvironmentVariable(field));
    auto origin = std::string("default");
    auto text = GetOptions(field).default_value();
    if (variable) {
      origin = "environment";
      text = *variable;
    }
    if (flag != nullptr) {
      origin = "flag";
      text = flag;
    }
    sources.push_back({field.name(), origin});
    if (text.empty() && GetOptions(field).required()) {
      errors.push_back("--" + GetFlag(field) + " or " +
                       GetEnvironmentVariable(field) + ": required, " +
                       GetOptions(field).help());
    } else if (!(origin == "default" && text.empty()) &&
               !SetField(settings, field, text)) {
      errors.push_back(DescribeInvalidValue(field, text));
    }
  }
  for (auto* value : table->values) {
    std::free(value);
  }
  if (!errors.empty()) {
    throw settings_error(errors);
  }
  return sources;
}

auto RenderSettings(const Message& settings,
                    const std::vector<settings_source>& sources)
    -> std::string {
  auto out = std::ostringstream();
  const auto& type = *settings.GetDescriptor();
  for (const auto& source : sources) {
    const auto& field = *type.FindFieldByName(source.field);
    const auto hidden = GetOptions(field).secret();
    out << GetFlag(field) << " = "
        << (hidden ? "(hidden)" : GetText(settings, field)) << " ["
        << source.origin << "]\n";
  }
  return out.str();
}

auto RenderSettingsPage(const std::string& program, const Message& settings)
    -> std::string {
  auto out = std::ostringstream();
  out << "## " << program << "\n\n"
      << "| flag | environment variable | default | allowed | meaning |\n"
      << "| --- | --- | --- | --- | --- |\n";
  const auto& type = *settings.GetDescriptor();
  for (auto i = 0; i < type.field_count(); ++i) {
    const auto& field = *type.field(i);
    const auto& options = GetOptions(field);
    const auto fallback =
        options.required() ? "required" : options.default_value();
    out << "| `--" << GetFlag(field) << "` | `" << GetEnvironmentVariable(field)
        << "` | " << fallback << " | " << DescribeRange(options) << " | "
        << options.help() << " |\n";
  }
  return out.str();
}

}  // namespace ebony
