#ifndef EBONY_TESTS_SOAK_SOAK_SITE_H_
#define EBONY_TESTS_SOAK_SOAK_SITE_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"

namespace ebony::testing {

// One real program of the site under soak.
struct soak_process {
  std::string name;
  std::string program;
  std::string ip;
  std::string folder;
  bool is_coordinator = false;
  pid_t pid = 0;  // 0: not running
  bool is_stopped = false;
  bool is_impaired = false;  // a fault on it has not ended yet
};

// What became of one caller's request.
struct soak_request {
  bool may_repeat = false;
  bool was_refused = false;  // told that it has not run
  int runs = 0;
};

// The real programs as processes on loopback, with stand-in servers, callers
// and an operator in this process, which check the promises from outside:
// at most once, true refusals, whole and own answers, and a configuration that
// is never lost and never read back older.
class soak_site {
  event_loop loop_;
  http_pool pool_{loop_};
  std::mt19937_64 random_;
  std::string folder_;
  std::string programs_;
  int port_ = 0;
  std::vector<soak_process> processes_;
  std::vector<std::unique_ptr<http_listener>> servers_;
  std::vector<std::uint64_t> sequences_;
  std::vector<std::size_t> announce_turns_;
  std::map<std::string, soak_request> requests_;
  std::vector<std::string> breaches_;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_config_ = 1;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t faults_ = 0;
  mono_time heal_until_;

  auto Draw(std::uint64_t bound) -> std::uint64_t { return random_() % bound; }
  auto Breach(const std::string& what) -> void;

  // The programs.
  auto GetAddress(const soak_process& process, int offset) const -> host_port;
  auto WriteSettings(const soak_process& process, bool is_first) -> void;
  auto Spawn(soak_process& process, bool is_first) -> void;
  auto Signal(soak_process& process, int signal) -> void;
  auto Reap(soak_process& process, bool kill) -> void;
  auto RestartLater(std::size_t index, duration delay, bool wipe) -> void;
  auto InjectFault() -> void;
  auto InjectOn(std::size_t index) -> void;

  // The stand-ins.
  auto OnServerCall(std::size_t server,
                    const incoming_request& call,
                    const response_pointer& answer) -> void;
  auto Announce(std::size_t server) -> void;
  auto SendRequest() -> void;
  auto OnAnswer(const std::string& id,
                bool is_stream,
                const http_head& head,
                const std::string& body) -> void;
  auto PutConfig(std::uint64_t number, host_port to, int hops) -> void;
  auto ReadConfig(host_port to, std::uint64_t least, int hops) -> void;
  auto PickCoordinator() -> host_port;
  auto MakeConfig(std::uint64_t number) const -> std::string;

 public:
  soak_site(std::string programs, std::uint64_t seed);
  ~soak_site();

  auto Start() -> void;
  // Runs load and, where asked, faults; then heals and checks the end.
  auto Run(duration time, bool with_faults) -> void;
  auto get_breaches() const -> const std::vector<std::string>& {
    return breaches_;
  }
  auto Describe() const -> std::string;
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_SOAK_SOAK_SITE_H_
