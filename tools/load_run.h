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

// Outcomes of the requests of an open-loop run, from the caller's side.
struct load_report {
  std::uint64_t sent = 0;
  std::uint64_t complete = 0;     // whole answers with the expected content
  std::uint64_t in_time = 0;      // subset of `complete` within the time limit
  std::uint64_t rejected = 0;     // answered with an error object
  std::uint64_t truncated = 0;    // connection closed before the answer's end
  std::uint64_t unreachable = 0;  // no connection to an entry, or no outcome
  // Complete answers with other content, and errors that are not an error
  // object.
  std::uint64_t mismatched = 0;
  // Subset of `rejected` that arrived after the time limit.
  std::uint64_t late_rejections = 0;
  // Rejected requests by error code.
  std::map<std::string, std::uint64_t> rejections_by_code;
  std::map<std::string, std::uint64_t> in_time_by_class;
  std::map<std::string, std::uint64_t> sent_by_class;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  // Idempotency keys of requests that were rejected as not run.
  std::vector<std::string> not_run_keys;
  // Counts of the fake backend servers. Zero without --judge.
  std::uint64_t duplicate_runs = 0;  // keys that ran more than once
  std::uint64_t false_not_run = 0;   // keys in `not_run_keys` that ran
  // Orders that exceeded the memory of an accelerator.
  std::uint64_t overfilling_orders = 0;
};

// Returns true when an answer had the wrong content or a rejection was late or
// false, a key ran more than once, or an order exceeded an accelerator's
// memory.
auto HasViolation(const load_report& report) -> bool;

// Renders the report of a run of `seconds` as JSON.
auto RenderLoadReport(const load_report& report, double seconds) -> std::string;

// Sends requests as a caller does: fetches the directory of entries, caches it
// for its lifetime, and connects to an entry chosen at random by weight.
class load_run {
  struct directory_entry {
    std::string address;
    double weight = 1;
  };
  struct directory_answer {
    std::vector<directory_entry> entries;
    duration lifetime{0};
  };
  struct planned_request;

  schema::load_settings settings_;
  std::mt19937_64 random_;
  // Part of the idempotency keys, unique to this run.
  std::uint32_t run_nonce_;
  http_client client_;
  std::vector<std::string> models_;
  std::vector<double> popularity_;
  std::vector<directory_entry> entries_;
  mono_time directory_expiry_;
  // Guards the members below, and the random choices and the directory once
  // requests are in flight.
  std::mutex mutex_;
  load_report report_;
  std::uint64_t in_flight_ = 0;

  // For calls to `entries`, which are backend servers in a direct run.
  auto GetConnectionUse() const -> connection_use;
  auto LoadModels() -> void;
  auto FetchDirectory() -> directory_answer;
  auto ApplyDirectory(const directory_answer& answer, mono_time now) -> void;
  auto PickEntry() -> std::string;
  auto Plan(std::uint64_t number) -> std::shared_ptr<planned_request>;
  auto Send(const std::shared_ptr<planned_request>& call) -> void;
  auto OnData(planned_request& call, std::string_view bytes) -> void;
  auto OnEnd(const std::shared_ptr<planned_request>& call, transfer_result end)
      -> void;
  auto Classify(planned_request& call, transfer_result end) -> void;
  auto GetRate(duration elapsed) const -> double;
  auto FetchBackendCounts() -> void;

 public:
  explicit load_run(schema::load_settings settings);

  // Runs for the configured time, waits for the requests in flight and returns
  // the report. Throws ebony_error when no entry answers at the start, when no
  // model is declared, and when the fake backend servers do not answer.
  auto Run() -> load_report;
};

}  // namespace ebony

#endif  // EBONY_TOOLS_LOAD_RUN_H_
