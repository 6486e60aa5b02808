// A small site on loopback for the cases of this review: starts the programs of
// the deploy file as separate processes and plays the platform, the operator,
// the servers and the clients with plain blocking sockets and threads.
#ifndef REVIEW_STANDINS_3_SITE_H_
#define REVIEW_STANDINS_3_SITE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline auto NowMs() -> std::int64_t {
  static const auto begin = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

inline auto UnixMs() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline auto Sleep(std::int64_t ms) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Writes a line with the time in ms to record.txt.
inline auto Record(const char* format, ...) -> void {
  static auto mutex = std::mutex();
  static auto* file = std::fopen("record.txt", "w");
  const auto lock = std::lock_guard(mutex);
  if (file == nullptr) {
    return;
  }
  std::fprintf(file, "%7lld ", static_cast<long long>(NowMs()));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file, format, arguments);
  va_end(arguments);
  std::fputc('\n', file);
  std::fflush(file);
}

inline auto HasTrouble() -> bool {
  const auto* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// MILDER=1: a disruption that the system has to bear and does.
inline auto IsMilder() -> bool {
  const auto* text = std::getenv("MILDER");
  return text != nullptr && std::string(text) == "1";
}

// IP and port.
struct address {
  std::string ip;
  int port = 0;
  auto Text() const -> std::string { return ip + ":" + std::to_string(port); }
};

inline auto ParseAddress(const std::string& text) -> address {
  const auto colon = text.rfind(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline auto ToSockaddr(const address& to) -> sockaddr_in {
  auto out = sockaddr_in();
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(to.port));
  ::inet_pton(AF_INET, to.ip.c_str(), &out.sin_addr);
  return out;
}

// A connected socket with timeouts.
class connection {
  int fd_ = -1;
  std::string rest_;

 public:
  explicit connection(int fd) : fd_(fd) {}
  connection(const address& to, int timeout_ms) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto flags = ::fcntl(fd_, F_GETFL);
    ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    const auto target = ToSockaddr(to);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&target),
                  sizeof(target)) != 0) {
      auto item = pollfd{fd_, POLLOUT, 0};
      auto error = 0;
      auto size = static_cast<socklen_t>(sizeof(error));
      if (errno != EINPROGRESS || ::poll(&item, 1, timeout_ms) <= 0 ||
          ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
          error != 0) {
        Close();
        return;
      }
    }
    ::fcntl(fd_, F_SETFL, flags);
    auto one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~connection() { Close(); }
  connection(const connection&) = delete;
  auto operator=(const connection&) -> connection& = delete;

  auto IsOpen() const -> bool { return fd_ >= 0; }
  auto Close() -> void {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  auto Reset() -> void {
    if (fd_ >= 0) {
      const auto now = linger{1, 0};
      ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      Close();
    }
  }
  auto Send(const std::string& bytes) -> bool {
    auto sent = std::size_t{0};
    while (fd_ >= 0 && sent < bytes.size()) {
      const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent,
                                MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return fd_ >= 0;
  }
  // Returns 1 after new bytes in `out`, 0 at the end, -1 after a reset, -2 at
  // the timeout.
  auto Receive(std::string& out, std::int64_t timeout_ms) -> int {
    if (!rest_.empty()) {
      out.append(rest_);
      rest_.clear();
      return 1;
    }
    auto item = pollfd{fd_, POLLIN, 0};
    if (fd_ < 0) {
      return -1;
    }
    if (::poll(&item, 1, static_cast<int>(std::max<std::int64_t>(
                             0, timeout_ms))) <= 0) {
      return -2;
    }
    char buffer[16384];
    const auto count = ::recv(fd_, buffer, sizeof(buffer), 0);
    if (count > 0) {
      out.append(buffer, static_cast<std::size_t>(count));
      return 1;
    }
    return count == 0 ? 0 : -1;
  }
  auto KeepRest(std::string rest) -> void { rest_ = std::move(rest); }
  // Returns true once the peer has closed or reset the connection.
  auto IsClosedByPeer() -> bool {
    auto item = pollfd{fd_, POLLRDHUP, 0};
    return fd_ < 0 || (::poll(&item, 1, 0) > 0 &&
                       (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
  }
};

struct message {
  std::string first;  // request line or status line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;  // decoded
  bool is_complete = false;
  std::string end;  // "complete", "closed", "reset", "timeout", "unconnected"

  auto Find(const std::string& name) const -> std::string {
    for (const auto& [key, value] : fields) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  auto Has(const std::string& name) const -> bool {
    for (const auto& [key, value] : fields) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  auto Status() const -> int {
    return first.size() > 12 && first.rfind("HTTP/", 0) == 0
               ? std::atoi(first.c_str() + 9)
               : 0;
  }
  auto Method() const -> std::string { return first.substr(0, first.find(' ')); }
  auto Target() const -> std::string {
    const auto at = first.find(' ');
    return first.substr(at + 1, first.find(' ', at + 1) - at - 1);
  }
};

inline auto ParseHead(const std::string& text) -> message {
  auto out = message();
  auto at = text.find("\r\n");
  out.first = text.substr(0, at);
  while (at != std::string::npos && at + 2 < text.size()) {
    const auto end = text.find("\r\n", at + 2);
    const auto line = text.substr(at + 2, end - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      out.fields.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? std::string() : line.substr(value));
    }
    at = end;
  }
  return out;
}

// Decodes complete chunks. Returns true once the last one has come.
inline auto Dechunk(const std::string& raw, std::string& body,
                    std::size_t& used) -> bool {
  body.clear();
  auto at = std::size_t{0};
  for (;;) {
    const auto end = raw.find("\r\n", at);
    if (end == std::string::npos) {
      return false;
    }
    const auto size = std::strtoull(raw.c_str() + at, nullptr, 16);
    if (size == 0) {
      used = end + 4;
      return raw.size() >= end + 4;
    }
    const auto have = raw.size() - end - 2;
    body.append(raw.substr(end + 2, size));
    if (have < size + 2) {
      return false;
    }
    at = end + 2 + size + 2;
  }
}

// Reads one message. `on_body` is told the decoded body whenever it grows.
inline auto ReadMessage(connection& from, std::int64_t until_ms,
                        bool is_head_answer = false,
                        const std::function<void(const std::string&)>& on_body =
                            nullptr) -> message {
  auto raw = std::string();
  auto out = message();
  auto head_end = std::string::npos;
  for (;;) {
    if (head_end == std::string::npos) {
      head_end = raw.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        out = ParseHead(raw.substr(0, head_end));
        const auto status = out.Status();
        if (status >= 100 && status < 200) {
          raw.erase(0, head_end + 4);
          head_end = std::string::npos;
          continue;
        }
      }
    }
    if (head_end != std::string::npos) {
      const auto rest = raw.substr(head_end + 4);
      const auto size_before = out.body.size();
      if (is_head_answer || out.Status() == 204 || out.Status() == 304) {
        out.is_complete = true;
        from.KeepRest(rest);
      } else if (out.Find("Transfer-Encoding") == "chunked") {
        auto used = std::size_t{0};
        if (Dechunk(rest, out.body, used)) {
          out.is_complete = true;
          from.KeepRest(rest.substr(used));
        }
      } else {
        const auto length = out.Find("Content-Length");
        const auto size = static_cast<std::size_t>(
            std::strtoull(length.c_str(), nullptr, 10));
        const auto is_request = out.Status() == 0;
        if (!length.empty() || is_request) {
          out.body = rest.substr(0, size);
          if (rest.size() >= size) {
            out.is_complete = true;
            from.KeepRest(rest.substr(size));
          }
        } else {
          out.body = rest;
        }
      }
      if (on_body && out.body.size() > size_before) {
        on_body(out.body);
      }
      if (out.is_complete) {
        out.end = "complete";
        return out;
      }
    }
    const auto result = from.Receive(raw, until_ms - NowMs());
    if (result <= 0) {
      out.end = result == 0 ? "closed" : result == -1 ? "reset" : "timeout";
      // An answer without a length ends with its connection.
      const auto ends_at_close =
          head_end != std::string::npos && out.Status() != 0 &&
          out.Find("Content-Length").empty() &&
          out.Find("Transfer-Encoding").empty();
      out.is_complete = result == 0 && ends_at_close;
      return out;
    }
  }
}

inline auto MakeRequest(const std::string& method, const std::string& target,
                        const std::string& fields, const std::string& body)
    -> std::string {
  return method + " " + target + " HTTP/1.1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Makes one call over a connection of its own.
inline auto Call(const address& to, const std::string& bytes,
                 std::int64_t timeout_ms,
                 const std::function<void(const std::string&)>& on_body =
                     nullptr) -> message {
  auto link = connection(to, static_cast<int>(std::min<std::int64_t>(
                                 timeout_ms, 1000)));
  auto out = message();
  if (!link.IsOpen()) {
    out.end = "unconnected";
    return out;
  }
  link.Send(bytes);
  return ReadMessage(link, NowMs() + timeout_ms, false, on_body);
}

// Returns 1 if the process holds the other end of a connection to `fd`, 0 if
// another one does, and -1 if the connection is not listed.
inline auto LookUpProcess(int fd, pid_t pid) -> int {
  auto peer = sockaddr_in();
  auto size = static_cast<socklen_t>(sizeof(peer));
  if (pid <= 0 || ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer),
                                &size) != 0) {
    return 0;
  }
  auto own = sockaddr_in();
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size);
  char wanted[32], wanted_remote[32];
  std::snprintf(wanted, sizeof(wanted), "%08X:%04X", peer.sin_addr.s_addr,
                ntohs(peer.sin_port));
  std::snprintf(wanted_remote, sizeof(wanted_remote), "%08X:%04X",
                own.sin_addr.s_addr, ntohs(own.sin_port));
  auto table = std::ifstream("/proc/net/tcp");
  for (auto line = std::string(); std::getline(table, line);) {
    char local[64], remote[64], state[8], rest[5][64];
    unsigned long inode = 0;
    if (std::sscanf(line.c_str(), "%*s %63s %63s %7s %63s %63s %63s %63s %63s %lu",
                    local, remote, state, rest[0], rest[1], rest[2], rest[3],
                    rest[4], &inode) != 9 ||
        std::string(local) != wanted || std::string(remote) != wanted_remote) {
      continue;
    }
    const auto name = "socket:[" + std::to_string(inode) + "]";
    auto error = std::error_code();
    for (const auto& item : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(pid) + "/fd", error)) {
      if (std::filesystem::read_symlink(item.path(), error).string() == name) {
        return 1;
      }
    }
    return 0;
  }
  return -1;
}

inline auto IsFromProcess(int fd, pid_t pid) -> bool {
  auto found = -1;
  for (auto tries = 0; tries < 5 && found < 0; ++tries) {
    found = LookUpProcess(fd, pid);
  }
  return found == 1;
}

// Listens, and runs `handler` for each request, with a thread a connection.
class server {
 public:
  using handler = std::function<void(connection&, const message&)>;

 private:
  struct shared {
    std::mutex mutex;
    std::vector<int> open;
    std::atomic<bool> is_stopped{false};
    std::atomic<pid_t> cut_off{0};
    handler on_request;
  };
  std::shared_ptr<shared> state_ = std::make_shared<shared>();
  int fd_ = -1;
  std::thread thread_;

 public:
  address where;

  server(address at, handler on_request) : where(std::move(at)) {
    state_->on_request = std::move(on_request);
  }
  ~server() { Crash(); }

  auto Listen() -> bool {
    state_->is_stopped = false;
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto one = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto target = ToSockaddr(where);
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&target),
               sizeof(target)) != 0 ||
        ::listen(fd_, 256) != 0) {
      ::close(fd_);
      fd_ = -1;
      return false;
    }
    thread_ = std::thread([fd = fd_, state = state_] {
      for (;;) {
        const auto peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) {
          if (errno == EINTR || errno == ECONNABORTED) {
            continue;
          }
          return;
        }
        {
          const auto lock = std::lock_guard(state->mutex);
          state->open.push_back(peer);
        }
        std::thread([peer, state] {
          auto one = 1;
          ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
          auto link = connection(peer);
          if (state->cut_off > 0 && IsFromProcess(peer, state->cut_off)) {
            Record("reset a connection of the gateway that is cut off"); link.Reset();
          }
          while (link.IsOpen() && !state->is_stopped) {
            const auto request = ReadMessage(link, NowMs() + 120000);
            if (!request.is_complete || state->is_stopped) {
              break;
            }
            state->on_request(link, request);
          }
          const auto lock = std::lock_guard(state->mutex);
          std::erase(state->open, peer);
          link.Close();
        }).detach();
      }
    });
    return true;
  }

  // Resets new connections of one process, as across a cut network; 0: of none.
  auto CutOff(pid_t pid) -> void { state_->cut_off = pid; }

  // Ends as a killed process does: all connections are reset.
  auto Crash() -> void {
    if (fd_ < 0) {
      return;
    }
    state_->is_stopped = true;
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
    fd_ = -1;
    const auto lock = std::lock_guard(state_->mutex);
    for (const auto peer : state_->open) {
      const auto now = linger{1, 0};
      ::setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      ::shutdown(peer, SHUT_RDWR);
    }
  }
};

// A process of the system.
struct process {
  std::string name;
  std::string program;
  std::string folder;
  address base;  // IP and first port
  bool is_coordinator = false;
  pid_t pid = 0;

  auto GetLink() const -> address { return base; }
  auto GetControl() const -> address { return {base.ip, base.port + 2}; }
  auto GetDirectory() const -> address { return {base.ip, base.port + 3}; }
  auto GetFront() const -> address { return {base.ip, base.port + 4}; }
  auto GetReady() const -> address { return {base.ip, base.port + 5}; }

  auto Signal(int signal) -> void {
    if (pid > 0) {
      Record("signal %d to %s", signal, name.c_str());
      ::kill(pid, signal);
    }
  }
  // Returns true once the process has ended; with its status in `status`.
  auto HasEnded(int& status) -> bool {
    if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
      pid = 0;
      return true;
    }
    return false;
  }
  auto Kill() -> void {
    if (pid > 0) {
      Record("SIGKILL to %s", name.c_str());
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }
};

class site {
  std::string folder_;
  std::string more_settings_;
  std::string root_;

 public:
  std::vector<process> coordinators;
  std::vector<process> gateways;
  int second = 0;  // second byte of all addresses
  int port = 0;

  site(int coordinator_count, int gateway_count,
       std::string more_settings = std::string())
      : more_settings_(std::move(more_settings)) {
    ::signal(SIGPIPE, SIG_IGN);
    NowMs();
    auto name = std::string("/tmp/review-3-XXXXXX");
    folder_ = ::mkdtemp(name.data());
    root_ = std::filesystem::canonical("../..").string();
    second = 20 + ::getpid() % 200;
    port = 15000 + (::getpid() % 1500) * 10;
    for (auto i = 0; i < coordinator_count + gateway_count; ++i) {
      auto item = process();
      item.is_coordinator = i < coordinator_count;
      const auto number = item.is_coordinator ? i + 1 : i + 1 - coordinator_count;
      item.name = (item.is_coordinator ? "core-" : "edge-") +
                  std::to_string(number);
      item.program = item.is_coordinator ? "target/bin/ebony_coordinator"
                                         : "target/bin/ebony_gateway";
      item.base = {MakeIp(item.is_coordinator ? 1 : 2, number), port};
      item.folder = folder_ + "/" + item.name;
      std::filesystem::create_directories(item.folder + "/data");
      (item.is_coordinator ? coordinators : gateways).push_back(item);
    }
  }
  ~site() {
    for (auto* list : {&coordinators, &gateways}) {
      for (auto& item : *list) {
        item.Kill();
      }
    }
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      Record("logs in %s", folder_.c_str());
    }
  }

  auto MakeIp(int third, int fourth) const -> std::string {
    return "127." + std::to_string(second) + "." + std::to_string(third) + "." +
           std::to_string(fourth);
  }

  // The control addresses that the settings of new processes name.
  auto GetSeeds() const -> std::string {
    auto seeds = std::string();
    for (auto i = std::size_t{0}; i < coordinators.size() && i < 3; ++i) {
      seeds += (i > 0 ? "," : "") + coordinators[i].GetControl().Text();
    }
    return seeds;
  }

  // Replaces the settings file of a process, as the platform does.
  auto WriteSettings(const process& item, bool is_first,
                     const std::string& seeds) -> void {
    auto out = std::ofstream(item.folder + "/settings.new");
    out << "node=" << item.name << "\nrole=" << (item.is_coordinator ? "coordinator" : "gateway")
        << "\nzone=z1\nregion=r1\nip=" << item.base.ip << "\nportRange="
        << item.base.port << "," << item.base.port + 1
        << "\nbootstrap=" << (is_first ? "true" : "false")
        << "\ntolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\n"
        << "limits.cpuShare=1\nlimits.cores=1\nlimits.memoryMb=260\n"
        << "limits.maxFds=4100\nbeatIntervalMs=1200\nbounds.seedLagS=3\n"
        << "bounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
        << "bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n"
        << "bounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
        << "bounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n"
        << "bounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=54\n"
        << "bounds.recoverS=12\nbounds.passMs=120\nbounds.requireFence=false\n"
        << "bounds.leaseMs=3000\nbounds.thawSlackMs=300\nbounds.ceilingWindowS=5\n"
        << "bounds.loadBurstFactor=1.1\nbounds.ttl_max_s=5\nconfigMode=highest\n";
    if (item.is_coordinator) {
      out << "dataDir=" << item.folder << "/data\nlisten.control="
          << item.GetControl().Text()
          << "\nlisten.directory=" << item.GetDirectory().Text() << "\n";
    } else {
      out << "listen.front=" << item.GetFront().Text()
          << "\nlisten.readyAddr=" << item.GetReady().Text() << "\n";
    }
    out << "seeds=" << seeds << "\n" << more_settings_;
    out.close();
    std::filesystem::rename(item.folder + "/settings.new",
                            item.folder + "/settings");
  }

  auto Start(process& item, bool is_first) -> void {
    Start(item, is_first, GetSeeds());
  }
  auto Start(process& item, bool is_first, const std::string& seeds) -> void {
    WriteSettings(item, is_first, seeds);
    const auto setting = "EBONYTHREAD_SETTINGS=" + item.folder + "/settings";
    const auto mark = std::string("REVIEW_RUN=") +
                      (std::getenv("REVIEW_RUN") == nullptr
                           ? ""
                           : std::getenv("REVIEW_RUN"));
    const auto log = item.folder + "/log";
    Record("start %s", item.name.c_str());
    item.pid = ::fork();
    if (item.pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const auto fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, STDOUT_FILENO);
      ::dup2(fd, STDERR_FILENO);
      if (::chdir(root_.c_str()) != 0) {
        ::_exit(127);
      }
      const char* const arguments[] = {item.program.c_str(), nullptr};
      const char* const environment[] = {setting.c_str(), mark.c_str(), nullptr};
      ::execve(item.program.c_str(), const_cast<char* const*>(arguments),
               const_cast<char* const*>(environment));
      ::_exit(127);
    }
  }

  auto AreBuilt() const -> bool {
    if (::access((root_ + "/target/bin/ebony_gateway").c_str(), X_OK) != 0) {
      Record("the programs are not built");
      return false;
    }
    return true;
  }

  auto StartAll() -> bool {
    if (!AreBuilt()) {
      return false;
    }
    for (auto* list : {&coordinators, &gateways}) {
      for (auto& item : *list) {
        Start(item, true);
      }
    }
    return true;
  }

  // Calls the control interface as callers of it do: any process that serves
  // it, with redirects, until one answers clearly or the time is over.
  auto CallControl(const std::string& method, const std::string& target,
                   const std::string& body, std::int64_t timeout_ms,
                   std::size_t first = 0) -> message {
    const auto until = NowMs() + timeout_ms;
    auto out = message();
    for (auto i = first; NowMs() < until; ++i) {
      auto to = coordinators[i % coordinators.size()].GetControl();
      for (auto hops = 0; hops < 3; ++hops) {
        out = Call(to,
                   MakeRequest(method, target,
                               "Host: " + to.Text() +
                                   "\r\nContent-Type: application/json\r\n",
                               body),
                   1000);
        if (out.Status() != 307) {
          break;
        }
        const auto location = out.Find("Location").substr(7);
        to = ParseAddress(location.substr(0, location.find('/')));
      }
      const auto status = out.Status();
      if (out.is_complete && status != 0 && status != 307 && status < 500 &&
          status != 408 && status != 429) {
        return out;
      }
      Sleep(50);
    }
    return out;
  }

  auto PutConfig(const std::string& body, std::int64_t timeout_ms = 15000)
      -> bool {
    const auto answer = CallControl("PUT", "/api/config", body, timeout_ms);
    Record("PUT configuration: %d", answer.Status());
    return answer.Status() == 200;
  }

  auto AwaitReady(std::int64_t timeout_ms) -> bool {
    const auto until = NowMs() + timeout_ms;
    for (auto& item : gateways) {
      for (;;) {
        const auto answer =
            Call(item.GetReady(),
                 MakeRequest("GET", "/api/ready",
                             "Host: " + item.GetReady().Text() + "\r\n", ""),
                 500);
        if (answer.Status() == 200) {
          break;
        }
        if (NowMs() > until) {
          Record("%s is not ready", item.name.c_str());
          return false;
        }
        Sleep(50);
      }
    }
    return true;
  }
};

// Announces one server, as PROTOCOL.md says: to one daemon after another, with
// an increasing number, about every `interval_ms`.
class announcer {
  site& site_;
  std::thread thread_;
  std::atomic<bool> is_stopped_{false};
  std::mutex mutex_;
  std::string body_;  // without its end

 public:
  std::string id;
  std::atomic<std::int64_t> sequence{0};

  announcer(site& of, std::string name) : site_(of), id(std::move(name)) {}
  ~announcer() { Stop(); }

  // `body` is the JSON object without `seq` and its last brace.
  auto SetBody(const std::string& body) -> void {
    const auto lock = std::lock_guard(mutex_);
    body_ = body;
  }
  // Returns the status of the first daemon that acknowledges.
  auto Announce(std::size_t first) -> int {
    auto body = std::string();
    {
      const auto lock = std::lock_guard(mutex_);
      body = body_ + ",\"seq\":" + std::to_string(++sequence) + "}";
    }
    for (auto i = std::size_t{0}; i < site_.coordinators.size(); ++i) {
      const auto& to =
          site_.coordinators[(first + i) % site_.coordinators.size()];
      const auto answer =
          Call(to.GetControl(),
               MakeRequest("PUT", "/api/instances/" + id,
                           "Host: " + to.GetControl().Text() +
                               "\r\nContent-Type: application/json\r\n",
                           body),
               1000);
      if (answer.Status() / 100 == 2) {
        return answer.Status();
      }
    }
    return 0;
  }
  auto Leave(const std::string& body, std::size_t first) -> int {
    for (auto i = std::size_t{0}; i < site_.coordinators.size(); ++i) {
      const auto& to =
          site_.coordinators[(first + i) % site_.coordinators.size()];
      const auto answer =
          Call(to.GetControl(),
               MakeRequest("DELETE", "/api/instances/" + id,
                           "Host: " + to.GetControl().Text() +
                               "\r\nContent-Type: application/json\r\n",
                           body),
               1000);
      if (answer.Status() / 100 == 2) {
        return answer.Status();
      }
    }
    return 0;
  }
  auto Run(std::int64_t interval_ms, std::size_t first = 0) -> void {
    Stop();
    is_stopped_ = false;
    thread_ = std::thread([this, interval_ms, first] {
      while (!is_stopped_) {
        Announce(first);
        for (auto waited = std::int64_t{0};
             waited < interval_ms && !is_stopped_; waited += 20) {
          Sleep(20);
        }
      }
    });
  }
  auto Stop() -> void {
    is_stopped_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_SITE_H_
