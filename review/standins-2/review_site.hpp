// A small site on loopback addresses for the cases review/6 to review/10: the
// project's own coordinators and gateways as processes, and stand-ins of the
// platform, the operator, the backend servers and the clients in this process.
// Plain POSIX sockets and threads; no library of the project is linked.

#ifndef EBONY_REVIEW_STANDINS_2_REVIEW_SITE_HPP_
#define EBONY_REVIEW_STANDINS_2_REVIEW_SITE_HPP_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

// Seconds since the start of this program.
auto Now() -> double;
auto SleepUntil(double time) -> void;
auto SleepFor(double seconds) -> void;

// The file `record.txt`: what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path);
  ~record();
  auto Write(const char* format, ...) -> void
      __attribute__((format(printf, 2, 3)));

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// As the `problem` of a server's answer: the server crashes once it has sent
// what the answer holds.
constexpr const char* kCrashAfterAnswer = "crash";

struct message {
  std::string method;  // of a request
  std::string target;
  int status = 0;  // of an answer; 0: none, or not a whole one
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;     // what has arrived, also of an answer that is cut
  std::string problem;  // why there is no answer
  // Of a server's answer in chunks: sends the body piece by piece, and stops
  // when a piece can't be sent.
  std::function<void(const std::function<bool(const std::string&)>&)> stream;

  auto Get(const std::string& name) const -> std::string;
};

// How fast a client reads an answer; 0: as fast as it arrives.
struct reading_pace {
  std::size_t bytes = 0;  // at a time
  double seconds = 0;     // between two times
};

// A connection to one address, used for one call after another.
class caller {
 public:
  caller() = default;
  ~caller();
  caller(const caller&) = delete;
  auto operator=(const caller&) -> caller& = delete;
  // Opens a connection if none is open. Limits the whole call to `seconds`.
  auto Call(const std::string& address, const message& request, double seconds)
      -> message;
  auto Close() -> void;
  // Set before the first call: the size of the receive buffer, in bytes.
  int receive_bytes = 0;
  reading_pace pace;

 private:
  int fd_ = -1;
};

// Sends one request over a new connection.
auto CallOnce(const std::string& address,
              const message& request,
              double seconds) -> message;

// A backend server: listens, handles a request a connection at a time, and can
// crash, which resets its connections and closes its port.
class backend {
 public:
  using handler = std::function<message(backend&, const message&)>;

  backend(record& log,
          std::string id,
          std::string service,
          std::string address,
          handler handle);
  ~backend();

  auto Listen() -> void;
  // All at once; nothing is sent any more. Returns false if it was down.
  auto Crash() -> bool;
  auto Restart() -> void;  // the same id, a later `born`
  auto IsUp() const -> bool { return is_up_; }
  // What the server says of itself.
  auto DescribeSelf(const std::string& state) -> message;

  const std::string id;
  const std::string service;
  const std::string address;
  std::string software = "v1";
  int slots = 50;
  std::string models = "[]";  // as JSON
  // Called after a crash by an answer with `kCrashAfterAnswer`.
  std::function<void(backend&)> on_crash;
  // Announcements stop when this is set.
  std::atomic<bool> is_silent{false};
  std::atomic<std::uint64_t> born{0};
  std::atomic<std::uint64_t> sequence{0};

 private:
  auto Accept(int listener) -> void;
  auto Serve(int fd, int run) -> void;

  record& log_;
  handler handle_;
  std::atomic<bool> is_up_{false};
  std::atomic<int> run_{0};
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> open_;
  std::atomic<int> threads_{0};
};

struct process {
  std::string name;
  std::string program;
  std::string ip;
  std::string folder;
  bool is_coordinator = false;
  pid_t pid = 0;
};

struct site_options {
  int coordinators = 5;
  int gateways = 2;
  std::string more_settings;
};

class site {
 public:
  // `programs` holds ebony_gateway and ebony_coordinator.
  site(record& log, std::string programs, site_options options);
  ~site();

  // Starts all processes as the whole system's first start.
  auto Start() -> void;
  auto Spawn(process& item, bool is_first) -> void;
  auto Kill(process& item) -> void;  // SIGKILL
  auto Signal(process& item, int signal) -> void;
  auto WipeDisk(process& item) -> void;
  // Changes the settings file, and says so with SIGHUP.
  auto Reload(process& item) -> void;

  auto GetControl(int coordinator) const -> std::string;
  auto GetFront(int gateway) const -> std::string;
  auto GetReady(int gateway) const -> std::string;
  // An address for a backend server.
  auto GetServerAddress(int number) const -> std::string;
  auto get_coordinators() -> std::vector<process>& { return coordinators_; }
  auto get_gateways() -> std::vector<process>& { return gateways_; }

  // The operator: sends it to any coordinator, again and again, until there is
  // a 200 or `seconds` are over.
  auto PutConfig(const std::string& body, double seconds) -> bool;
  // A server's call: to one coordinator after another, until a 2xx arrives.
  auto CallControl(const message& request, double seconds) -> bool;
  // Begins to announce a server about every 1.2 s.
  auto Announce(const std::shared_ptr<backend>& server) -> void;
  // Waits until all gateways say that they are ready.
  auto AwaitReady(double seconds) -> bool;
  // The system's directory: an address that a client may use; empty: none.
  auto Resolve() -> std::string;
  // Index of the coordinator to which an operator's call is redirected; -1.
  auto FindLeader() -> int;
  auto GetFolder() const -> std::string { return folder_; }
  auto IsStopping() const -> bool { return is_stopping_; }

 private:
  auto WriteSettings(const process& item, bool is_first) -> void;

  record& log_;
  std::string programs_;
  site_options options_;
  std::string folder_;
  std::string network_;
  int port_ = 0;
  std::vector<process> coordinators_;
  std::vector<process> gateways_;
  std::vector<std::thread> threads_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<unsigned> next_{0};
};

// Returns a request as clients send it.
auto MakeClientRequest(const std::string& method,
                       const std::string& target,
                       const std::string& id,
                       int deadline_ms) -> message;
auto MakeId(const std::string& prefix) -> std::string;

// A route and a service as JSON.
auto MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind,
               const std::string& service,
               int timeout_ms,
               int target_ms,
               int max_attempts) -> std::string;
auto MakeConfig(int version,
                const std::vector<std::string>& routes,
                const std::vector<std::string>& services) -> std::string;

// Reads the environment: TROUBLE=0 leaves the disruption out.
auto HasTrouble() -> bool;
// MILDER=1 plays a disruption that the system bears.
auto IsMilder() -> bool;

}  // namespace review

#endif  // EBONY_REVIEW_STANDINS_2_REVIEW_SITE_HPP_
