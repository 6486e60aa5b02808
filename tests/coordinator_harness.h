#ifndef EBONY_TESTS_COORDINATOR_HARNESS_H_
#define EBONY_TESTS_COORDINATOR_HARNESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "main/coordinator_daemon.h"
#include "schema/site.pb.h"
#include "tests/test_folder.h"

namespace ebony::testing {

// An answer as received by the operator or a gateway; status 0: none.
struct coordinator_response {
  int status = 0;
  std::string body;
  bool is_complete = false;
};

// The disk and the ports of a coordinator, which outlive its process.
class coordinator_machine {
  test_folder folder_;
  int first_port_;

 public:
  coordinator_machine();

  auto GetDataFolder() const -> std::string {
    return folder_.get_path() + "/data";
  }
  auto get_first_port() const -> int { return first_port_; }
};

// Runs the real coordinator daemon on loopback with two scripted voters, which
// grant every vote and accept every entry until they are told not to.
class coordinator_harness {
  event_loop loop_;
  event_log log_{"test", 0};
  metrics counters_;
  http_pool pool_;
  std::shared_ptr<coordinator_machine> machine_;
  site_settings settings_;
  std::vector<std::unique_ptr<http_listener>> voters_;
  std::unique_ptr<coordinator_daemon> coordinator_;
  bool is_accepting_ = true;
  schema::raft_message last_append_;  // that a voter got
  std::vector<schema::backend_status_row> passed_on_;

  auto MakeVoter(int number) -> std::unique_ptr<http_listener>;
  auto OnVoterCall(const incoming_request& call, const response_pointer& answer)
      -> void;
  auto GetLink(int number) const -> host_port;
  auto GetNode(int number) const -> std::string;
  auto Call(const host_port& to, const std::string& bytes)
      -> std::shared_ptr<coordinator_response>;

 public:
  // Starts a coordinator on a machine, a new one unless it is given. A machine
  // runs one coordinator at a time.
  explicit coordinator_harness(std::shared_ptr<coordinator_machine> machine =
                                   std::make_shared<coordinator_machine>());
  ~coordinator_harness();
  coordinator_harness(const coordinator_harness&) = delete;
  auto operator=(const coordinator_harness&) -> coordinator_harness& = delete;

  // Waits until the coordinator leads and has committed an entry.
  auto AwaitLeadership() -> void;
  // While unset, the voters leave the coordinator's entries unanswered.
  auto SetAccepting(bool is_accepting) -> void { is_accepting_ = is_accepting; }
  // The operator sends a configuration with one route, `/r<number>/`.
  auto PutConfig(std::uint64_t number) -> std::shared_ptr<coordinator_response>;
  // Another coordinator passes on announcements of servers with these ids.
  // Returns the status of the answer.
  auto Announce(const std::vector<std::string>& ids) -> int;
  // The same of servers that run a software version of the service `s`.
  auto Announce(const std::vector<std::string>& ids,
                const std::string& software) -> int;
  // A server says that it has left. Returns the status of the answer.
  auto Leave(const std::string& id) -> int;
  // Another coordinator passes on what a server says.
  auto PassOn(const schema::backend_status_row& row) -> coordinator_response;
  // What this coordinator has passed on to the voter that leads.
  auto get_passed_on() const -> const std::vector<schema::backend_status_row>& {
    return passed_on_;
  }
  auto get_operator_address() const -> const host_port& {
    return settings_.operator_address;
  }
  // Lets the process do nothing for `time`, as if it were frozen, while others
  // do `meanwhile`.
  auto StandStill(duration time, const std::function<void()>& meanwhile)
      -> void;
  // Sends a whole request to the address of servers and operators, or to that
  // of the directory.
  auto CallOperatorAddress(const std::string& bytes)
      -> std::shared_ptr<coordinator_response>;
  auto CallDirectory(const std::string& bytes)
      -> std::shared_ptr<coordinator_response>;
  // Another daemon syncs with the coordinator.
  auto Sync(const schema::sync_request& request) -> schema::sync_answer;
  // A voter that now leads in the next term overwrites the entries after the
  // last one that is committed by a barrier, and commits it.
  auto OverwriteEntries() -> void;
  auto RunUntil(const std::function<bool()>& done) -> void;
  auto RunFor(duration time) -> void;
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_COORDINATOR_HARNESS_H_
