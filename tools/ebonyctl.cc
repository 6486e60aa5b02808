// ebonyctl: the command-line tool for operators.

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "codec/record_codec.h"
#include "core/error_kind.h"
#include "drivers/daemon_runner.h"
#include "drivers/http_client.h"
#include "drivers/wakeup_event.h"
#include "schema/settings.pb.h"
#include "settings/settings_loader.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr int kExitRejected = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnavailable = 3;
constexpr int kExitNotInForce = 4;
constexpr int kStatusOk = 200;
constexpr int kStatusNotInForce = 202;
constexpr int kStatusUnavailable = 503;
constexpr auto kRetryDelay = milliseconds(200);
// Time after which an unanswered request is sent to the next control VM.
constexpr auto kAttemptTimeout = milliseconds(1000);
constexpr const char* kUsage =
    "usage: ebonyctl COMMAND [ARGUMENT] [FLAGS]\n"
    "  apply FILE        create or change the record in FILE (JSON)\n"
    "  diff FILE         compare FILE with the record in force\n"
    "  get NAME          print a record\n"
    "  list              list the records\n"
    "  delete NAME       delete a record\n"
    "  status            leader, voters, backend servers, models at risk\n"
    "  why MODEL         print a model's placement and pending moves\n"
    "  drain SERVER      move all models off a backend server\n"
    "  undrain SERVER    cancel the drain of a backend server\n"
    "  voters            print the voters and learners of the control group\n"
    "  leader            print the leader as seen by each control VM\n"
    "exit: 0 done, 1 refused, 2 wrong usage, 3 no leader reached in time,\n"
    "      4 recorded but not yet in force\n";

struct command_line {
  std::string command;
  std::string operand;
};

// Sends requests to the control VMs in turn until the leader answers.
class control_client {
  schema::ctl_settings settings_;
  std::string key_;
  http_client client_{64};

  auto SendTo(const std::string& address,
              const std::string& method,
              const std::string& path,
              const std::string& body,
              const std::string& change_id,
              milliseconds timeout) -> http_response {
    auto call = http_call();
    call.method = method;
    call.url = "http://" + address + path;
    call.body = body;
    call.timeout = timeout;
    call.connection = connection_use::kept;
    call.headers = {"Content-Type: application/json"};
    if (!change_id.empty()) {
      call.headers.push_back("Idempotency-Key: " + change_id);
    }
    if (!key_.empty()) {
      call.headers.push_back("Authorization: Bearer " + key_);
    }
    return CallAndWait(client_, std::move(call));
  }

  // A single control address gets all the remaining time: there is no other one
  // to retry at.
  auto GetAttemptTimeout(mono_time deadline) const -> milliseconds {
    const auto left =
        std::max(milliseconds(1),
                 std::chrono::duration_cast<milliseconds>(deadline - GetNow()));
    return settings_.control().size() > 1 ? std::min(left, kAttemptTimeout)
                                          : left;
  }

 public:
  explicit control_client(schema::ctl_settings settings)
      : settings_(std::move(settings)) {
    if (!settings_.key_file().empty()) {
      auto in = std::ifstream(settings_.key_file());
      auto name = std::string();
      in >> name >> key_;
    }
    client_.Start();
  }

  // Returns the first answer other than 503, or the last one when the total
  // time limit expires. All attempts at a change carry the same `change_id`: it
  // takes effect once, and waiting for it continues at the next control VM.
  auto Call(const std::string& method,
            const std::string& path,
            const std::string& body,
            const std::string& change_id) -> http_response {
    const auto deadline = GetNow() + milliseconds(settings_.timeout_ms());
    auto answer = http_response();
    while (GetNow() < deadline) {
      for (const auto& address : settings_.control()) {
        answer = SendTo(address, method, path, body, change_id,
                        GetAttemptTimeout(deadline));
        if (answer.end == transfer_result::completed &&
            answer.status != kStatusUnavailable) {
          return answer;
        }
        if (answer.end != transfer_result::completed) {
          std::cerr << "ebonyctl: " << address
                    << " did not answer; trying the next control address\n";
        }
      }
      std::this_thread::sleep_for(kRetryDelay);
    }
    return answer;
  }

  auto CallAll(const std::string& path) -> std::vector<http_response> {
    auto answers = std::vector<http_response>();
    for (const auto& address : settings_.control()) {
      answers.push_back(SendTo(address, "GET", path, "", "", kAttemptTimeout));
    }
    return answers;
  }
};

auto MakeChangeId() -> std::string {
  auto device = std::random_device();
  auto out = std::ostringstream();
  out << std::hex << device() << device() << "-" << ::getpid();
  return out.str();
}

auto ReadWholeFile(const std::string& path) -> std::string {
  auto in = std::ifstream(path);
  if (!in) {
    throw ebony_error(error_kind::invalid_request, path + ": cannot read file");
  }
  auto out = std::ostringstream();
  out << in.rdbuf();
  return out.str();
}

auto Escape(const std::string& name) -> std::string {
  auto out = std::string();
  for (const auto c : name) {
    out += c == '/' ? std::string("%2F") : std::string(1, c);
  }
  return out;
}

auto GetExitCode(const http_response& answer) -> int {
  if (answer.end != transfer_result::completed ||
      answer.status == kStatusUnavailable) {
    return kExitUnavailable;
  }
  if (answer.status == kStatusNotInForce) {
    return kExitNotInForce;
  }
  return answer.status == kStatusOk ? 0 : kExitRejected;
}

auto PrintError(const http_response& answer) -> void {
  const auto body = json::parse(answer.body, nullptr, false);
  if (body.is_object() && body.contains("error")) {
    std::cerr << "ebonyctl: " << body["error"].value("code", "") << ": "
              << body["error"].value("message", "") << "\n";
  } else {
    std::cerr << "ebonyctl: no control VM answered: " << answer.reason << "\n";
  }
}

auto PrintStatus(const json& status) -> void {
  std::cout << "leader " << status.value("leader", "") << "  term "
            << status.value("term", 0) << "  version "
            << status.value("version", 0) << "\n";
  if (status.contains("voters")) {
    std::cout << "voters  ";
    for (const auto& id : status["voters"]) {
      std::cout << id.get<std::string>() << " ";
    }
    std::cout << "\n";
  }
  for (const auto& entry : status["entries_behind"]) {
    std::cout << "entry behind: " << entry.get<std::string>() << "\n";
  }
  for (const auto& server : status["backend_servers"]) {
    std::cout << server.value("name", "") << "\t"
              << server.value("data_centre", "") << "\t"
              << (server.value("suspected", false) ? "suspected " : "")
              << (server.value("leaving", false) ? "leaving " : "");
    for (const auto& accelerator : server["accelerators"]) {
      std::cout << accelerator.value("promised_mib", 0) << "/"
                << accelerator.value("capacity_mib", 0) << " MiB "
                << accelerator["resident"].size() << " models"
                << (accelerator.contains("open_order") ? " (moving) " : " ");
    }
    std::cout << "\n";
  }
  for (const auto& risk : status["at_risk"]) {
    std::cout << "at risk: " << risk.value("model", "") << ": "
              << risk.value("reason", "") << "\n";
  }
}

auto Print(const std::string& command,
           const http_response& answer,
           bool as_json) -> void {
  const auto body = json::parse(answer.body, nullptr, false);
  if (as_json || !body.is_object()) {
    std::cout << answer.body;
  } else if (command == "status") {
    PrintStatus(body);
  } else if (command == "voters") {
    for (const auto& id : body["voters"]) {
      std::cout << "voter " << id.get<std::string>() << "\n";
    }
    for (const auto& id : body.value("learners", json::array())) {
      std::cout << "learner " << id.get<std::string>() << "\n";
    }
  } else if (command == "list") {
    for (const auto& record : body["records"]) {
      std::cout << record.value("name", "") << "\trevision "
                << record.value("revision", "") << "\t"
                << record["models"].size() << " models"
                << (record.value("in_effect", true)
                        ? ""
                        : "\tpending until all daemons support its schema")
                << "\n";
    }
  } else {
    std::cout << body.dump(2) << "\n";
  }
}

auto RunApply(control_client& client,
              const schema::ctl_settings& settings,
              const std::string& path,
              const std::string& change_id) -> http_response {
  const auto text = ReadWholeFile(path);
  const auto record = ParseRecordJson(text);
  return client.Call("PUT",
                     "/v1/records/" + Escape(record.name.get()) +
                         (settings.wait() ? "?wait=in_force" : ""),
                     text, change_id);
}

auto RunDelete(control_client& client,
               const std::string& name,
               const std::string& change_id) -> http_response {
  const auto current =
      client.Call("GET", "/v1/records/" + Escape(name), "", "");
  const auto body = json::parse(current.body, nullptr, false);
  if (current.status != kStatusOk || !body.is_object()) {
    return current;
  }
  return client.Call("DELETE",
                     "/v1/records/" + Escape(name) +
                         "?revision=" + body.value("revision", "0"),
                     "", change_id);
}

auto RunDiff(control_client& client, const std::string& path) -> int {
  const auto desired = ParseRecordJson(ReadWholeFile(path));
  const auto current =
      client.Call("GET", "/v1/records/" + Escape(desired.name.get()), "", "");
  auto before = json::parse(current.body, nullptr, false);
  auto after = json::parse(RenderJson(ToSchema(desired)));
  if (current.status != kStatusOk) {
    std::cout << "+ new record\n" << after.dump(2) << "\n";
    return kExitRejected;
  }
  before.erase("in_effect");
  const auto patch =
      nlohmann::json::diff(nlohmann::json(before), nlohmann::json(after));
  for (const auto& step : patch) {
    std::cout << step.value("op", "") << " " << step.value("path", "") << " "
              << (step.contains("value") ? step["value"].dump() : "") << "\n";
  }
  return patch.empty() ? 0 : kExitRejected;
}

auto RunLeader(control_client& client) -> int {
  for (const auto& answer : client.CallAll("/v1/leader")) {
    std::cout << (answer.status == kStatusOk
                      ? answer.body
                      : "no answer: " + answer.reason + "\n");
  }
  return 0;
}

auto NeedsOperand(const std::string& command) -> bool {
  return command == "apply" || command == "diff" || command == "get" ||
         command == "delete" || command == "why" || command == "drain" ||
         command == "undrain";
}

auto RunCommand(const command_line& parsed,
                const schema::ctl_settings& settings) -> int {
  auto client = control_client(settings);
  const auto change_id =
      settings.change_id().empty() ? MakeChangeId() : settings.change_id();
  const auto& command = parsed.command;
  auto answer = http_response();
  if (command == "apply") {
    answer = RunApply(client, settings, parsed.operand, change_id);
  } else if (command == "diff") {
    return RunDiff(client, parsed.operand);
  } else if (command == "leader") {
    return RunLeader(client);
  } else if (command == "get") {
    answer =
        client.Call("GET", "/v1/records/" + Escape(parsed.operand), "", "");
  } else if (command == "list") {
    answer = client.Call("GET", "/v1/records", "", "");
  } else if (command == "delete") {
    answer = RunDelete(client, parsed.operand, change_id);
  } else if (command == "status" || command == "voters") {
    answer = client.Call("GET", "/v1/status", "", "");
  } else if (command == "why") {
    answer = client.Call("GET", "/v1/models/" + Escape(parsed.operand), "", "");
  } else if (command == "drain" || command == "undrain") {
    answer = client.Call(
        "POST", "/v1/backends/" + Escape(parsed.operand) + "/" + command, "",
        change_id);
  } else {
    std::cerr << kUsage;
    return kExitUsage;
  }
  const auto code = GetExitCode(answer);
  if (code != 0) {
    PrintError(answer);
    return code;
  }
  Print(command, answer, settings.json());
  return code;
}

auto Run(int argc, const char** argv) -> int {
  const auto wants_help = std::any_of(
      argv, argv + argc,
      [](const char* argument) { return std::string(argument) == "--help"; });
  if (wants_help) {
    std::cout << kUsage << std::flush;  // popt appends the flags and exits
  }
  auto settings = schema::ctl_settings();
  auto operands = std::vector<std::string>();
  LoadSettings(argc, argv, ReadEnvironment, settings, &operands);
  auto parsed = command_line();
  parsed.command = operands.empty() ? "" : operands.front();
  parsed.operand = operands.size() < 2 ? "" : operands[1];
  if (parsed.command.empty() || operands.size() > 2 ||
      NeedsOperand(parsed.command) != (operands.size() == 2)) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  return RunCommand(parsed, settings);
}

}  // namespace

}  // namespace ebony

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] { return ebony::Run(argc, argv); });
}
