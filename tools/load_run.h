#ifndef EBONY_TOOLS_LOAD_RUN_H_
#define EBONY_TOOLS_LOAD_RUN_H_

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "core/ids.h"
#include "drivers/http_client.h"
#include "schema/settings.pb.h"

namespace ebony {

// What an open-loop run saw, as a caller sees it.
struct load_report {
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;      // whole answers, their own, checked
  std::uint64_t in_time = 0;    // of these, within the time limit
  std::uint64_t refused = 0;    // errors of the closed list
  std::uint64_t cut = 0;        // ended without the mark of a whole answer
  std::uint64_t unreached = 0;  // no connection to any entry
  std::uint64_t wrong = 0;      // claimed whole, but is not the own answer
  std::uint64_t held_back = 0;  // refusals that came after the time limit
  std::map<std::string, std::uint64_t> refusals;
  std::map<std::string, std::uint64_t> in_time_by_class;
  std::map<std::string, std::uint64_t> sent_by_class;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<std::string> not_run_keys;  // told that it was not run
  // What the stand-in backend servers counted, where they were asked.
  std::uint64_t doubled = 0;     // keys that ran more than once
  std::uint64_t untrue = 0;      // keys that ran though told otherwise
  std::uint64_t overfilled = 0;  // orders that overfilled an accelerator
};

// True when an answer was wrong, held back or untrue.
auto HasBreach(const load_report& report) -> bool;

// Renders the report as JSON.
auto RenderLoadReport(const load_report& report, double seconds) -> std::string;

// Calls the system as callers do: asks the directory, keeps its answer, picks
// an entry by weight and connects to it.
class load_run {
  struct entry_choice {
    std::string address;
    double weight = 1;
  };
  struct directory_answer {
    std::vector<entry_choice> entries;
    duration kept{0};
  };
  struct planned_call;

  schema::load_settings settings_;
  std::mt19937_64 random_;
  std::uint32_t nonce_;
  http_client client_;
  std::vector<std::string> models_;
  std::vector<double> popularity_;
  std::vector<entry_choice> entries_;
  mono_time directory_until_;
  std::mutex mutex_;
  load_report report_;
  std::uint64_t open_ = 0;

  auto LoadModels() -> void;
  auto AskDirectory() -> directory_answer;
  auto KeepDirectory(const directory_answer& answer, mono_time now) -> void;
  auto PickEntry() -> std::string;
  auto Plan(std::uint64_t number) -> std::shared_ptr<planned_call>;
  auto Send(const std::shared_ptr<planned_call>& call) -> void;
  auto OnData(planned_call& call, std::string_view bytes) -> void;
  auto OnEnd(const std::shared_ptr<planned_call>& call, transfer_result end)
      -> void;
  auto Judge(planned_call& call, transfer_result end) -> void;
  auto GetRate(duration elapsed) const -> double;
  auto AskJudge() -> void;

 public:
  explicit load_run(schema::load_settings settings);

  // Runs to the end and returns what was seen. Throws ebony_error when no
  // entry answers at the start.
  auto Run() -> load_report;
};

}  // namespace ebony

#endif  // EBONY_TOOLS_LOAD_RUN_H_
