#include "review_site.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace review {

namespace {

constexpr double kBeatSeconds = 1.2;
constexpr int kLinkPort = 0;
constexpr int kControlPort = 16;
constexpr int kDirectoryPort = 17;
constexpr int kFrontPort = 18;
constexpr int kReadyPort = 19;
constexpr int kServerPort = 20;
constexpr int kPorts = 21;

const auto started = std::chrono::steady_clock::now();

auto ParseAddress(const std::string& address) -> sockaddr_in {
  const auto colon = address.rfind(':');
  auto out = sockaddr_in();
  out.sin_family = AF_INET;
  out.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) !=
      1) {
    throw std::runtime_error("not an address: " + address);
  }
  return out;
}

// Returns false at the end of the connection, a failure or the time limit.
auto Wait(int fd, short events, double until) -> bool {
  for (;;) {
    const auto left = until - Now();
    if (left <= 0) {
      errno = ETIMEDOUT;
      return false;
    }
    auto item = pollfd{fd, events, 0};
    const auto count = ::poll(&item, 1, static_cast<int>(left * 1000) + 1);
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      return false;
    }
  }
}

auto SendAll(int fd, const std::string& bytes, double until) -> bool {
  auto sent = std::size_t{0};
  while (sent < bytes.size()) {
    const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN || !Wait(fd, POLLOUT, until)) {
      return false;
    }
  }
  return true;
}

// Appends what arrives. Returns the number of bytes, 0 at the end of the
// connection, -1 for a failure or the time limit.
auto Receive(int fd,
             std::string& buffer,
             double until,
             const reading_pace& pace) -> int {
  char bytes[16384];
  const auto most =
      pace.bytes == 0 ? sizeof(bytes) : std::min(pace.bytes, sizeof(bytes));
  SleepFor(pace.seconds);
  for (;;) {
    const auto count = ::recv(fd, bytes, most, MSG_DONTWAIT);
    if (count >= 0) {
      buffer.append(bytes, static_cast<std::size_t>(count));
      return static_cast<int>(count);
    }
    if (errno != EAGAIN || !Wait(fd, POLLIN, until)) {
      return -1;
    }
  }
}

auto IsClosedByPeer(int fd) -> bool {
  char byte;
  const auto count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN);
}

auto ParseHead(const std::string& text, message& out) -> void {
  auto at = text.find("\r\n");
  const auto first = text.substr(0, at);
  if (first.rfind("HTTP/", 0) == 0) {
    out.status = std::atoi(first.c_str() + first.find(' '));
  } else {
    const auto space = first.find(' ');
    out.method = first.substr(0, space);
    out.target = first.substr(space + 1, first.rfind(' ') - space - 1);
  }
  while (at != std::string::npos && at + 2 < text.size()) {
    const auto end = text.find("\r\n", at + 2);
    const auto line = text.substr(at + 2, end - at - 2);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      out.fields.emplace_back(line.substr(0, colon), value);
    }
    at = end;
  }
}

// Reads a whole message; what follows it stays in `buffer`. Sets `problem` if
// there is none.
auto ReadMessage(int fd,
                 std::string& buffer,
                 double until,
                 const reading_pace& pace) -> message {
  auto out = message();
  const auto fail = [&out](int count) {
    out.problem = count == 0           ? "closed"
                  : errno == ETIMEDOUT ? "time limit"
                                       : std::strerror(errno);
    out.status = 0;
    return out;
  };
  auto end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    const auto count = Receive(fd, buffer, until, pace);
    if (count <= 0) {
      return fail(count);
    }
    end = buffer.find("\r\n\r\n");
  }
  ParseHead(buffer.substr(0, end + 2), out);
  buffer.erase(0, end + 4);
  if (strcasecmp(out.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      auto line = buffer.find("\r\n");
      while (line == std::string::npos) {
        const auto count = Receive(fd, buffer, until, pace);
        if (count <= 0) {
          return fail(count);
        }
        line = buffer.find("\r\n");
      }
      const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2) {
        const auto count = Receive(fd, buffer, until, pace);
        if (count <= 0) {
          return fail(count);
        }
      }
      out.body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        return out;
      }
    }
  }
  const auto size =
      std::strtoul(out.Get("Content-Length").c_str(), nullptr, 10);
  while (buffer.size() < size) {
    const auto count = Receive(fd, buffer, until, pace);
    if (count <= 0) {
      return fail(count);
    }
  }
  out.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return out;
}

auto Render(const message& item) -> std::string {
  auto out = item.status > 0
                 ? "HTTP/1.1 " + std::to_string(item.status) + " Status\r\n"
                 : item.method + " " + item.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : item.fields) {
    out += name + ": " + value + "\r\n";
  }
  if (item.Get("Transfer-Encoding").empty()) {
    out += "Content-Length: " + std::to_string(item.body.size()) + "\r\n";
  }
  return out + "\r\n" + item.body;
}

auto CanBind(const std::string& address) -> bool {
  const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto target = ParseAddress(address);
  const auto result =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  ::close(fd);
  return result == 0;
}

auto MakeRandom() -> std::mt19937_64& {
  static auto generator = std::mt19937_64(std::random_device()());
  return generator;
}

}  // namespace

auto Now() -> double {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       started)
      .count();
}

auto SleepFor(double seconds) -> void {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

auto SleepUntil(double time) -> void {
  SleepFor(time - Now());
}

auto HasTrouble() -> bool {
  const auto* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

auto IsMilder() -> bool {
  const auto* value = std::getenv("MILDER");
  return value != nullptr && std::strcmp(value, "1") == 0;
}

record::record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    throw std::runtime_error("cannot write " + path);
  }
}

record::~record() {
  std::fclose(file_);
}

auto record::Write(const char* format, ...) -> void {
  const auto lock = std::lock_guard(mutex_);
  std::fprintf(file_, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
  std::fflush(file_);
}

auto message::Get(const std::string& name) const -> std::string {
  for (const auto& [field, value] : fields) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

caller::~caller() {
  Close();
}

auto caller::Close() -> void {
  if (fd_ >= 0) {
    ::close(fd_);
    fd_ = -1;
  }
}

auto caller::Call(const std::string& address,
                  const message& request,
                  double seconds) -> message {
  const auto until = Now() + seconds;
  auto out = message();
  if (fd_ < 0) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receive_bytes > 0) {
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    const auto target = ParseAddress(address);
    const auto result = ::connect(
        fd_, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    auto error = result == 0 ? 0 : errno;
    if (error == EINPROGRESS && Wait(fd_, POLLOUT, until)) {
      auto size = static_cast<socklen_t>(sizeof(error));
      ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      out.problem = std::string("not connected: ") + std::strerror(error);
      Close();
      return out;
    }
  }
  if (!SendAll(fd_, Render(request), until)) {
    out.problem = std::string("not sent: ") + std::strerror(errno);
    Close();
    return out;
  }
  auto buffer = std::string();
  out = ReadMessage(fd_, buffer, until, pace);
  if (out.status == 0 ||
      strcasecmp(out.Get("Connection").c_str(), "close") == 0) {
    Close();
  }
  return out;
}

auto CallOnce(const std::string& address,
              const message& request,
              double seconds) -> message {
  auto connection = caller();
  return connection.Call(address, request, seconds);
}

backend::backend(record& log,
                 std::string id_,
                 std::string service_,
                 std::string address_,
                 handler handle)
    : id(std::move(id_)),
      service(std::move(service_)),
      address(std::move(address_)),
      log_(log),
      handle_(std::move(handle)) {}

backend::~backend() {
  Crash();
  for (auto i = 0; i < 300 && threads_ > 0; ++i) {
    SleepFor(0.01);
  }
}

auto backend::Listen() -> void {
  const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto target = ParseAddress(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
          0 ||
      ::listen(fd, 512) != 0) {
    throw std::runtime_error("cannot listen on " + address);
  }
  born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  sequence = 0;
  {
    const auto lock = std::lock_guard(mutex_);
    listener_ = fd;
    is_up_ = true;
  }
  ++threads_;
  std::thread([this, fd] { Accept(fd); }).detach();
}

auto backend::Crash() -> bool {
  const auto lock = std::lock_guard(mutex_);
  if (!is_up_) {
    return false;
  }
  is_up_ = false;
  ++run_;
  ::shutdown(listener_, SHUT_RDWR);
  listener_ = -1;
  const auto reset = linger{1, 0};
  for (const auto fd : open_) {
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(fd, SHUT_RDWR);
  }
  return true;
}

auto backend::Restart() -> void {
  Listen();
}

auto backend::Accept(int listener) -> void {
  for (;;) {
    const auto fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      break;
    }
    const auto lock = std::lock_guard(mutex_);
    if (!is_up_ || listener_ != listener) {
      ::close(fd);
      break;
    }
    open_.insert(fd);
    ++threads_;
    std::thread([this, fd, run = run_.load()] { Serve(fd, run); }).detach();
  }
  ::close(listener);
  --threads_;
}

auto backend::Serve(int fd, int run) -> void {
  auto buffer = std::string();
  const auto on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  while (run == run_) {
    const auto request = ReadMessage(fd, buffer, Now() + 20, {});
    if (request.method.empty() || run != run_) {
      break;
    }
    const auto answer = handle_(*this, request);
    if (run != run_ || answer.status == 0 ||
        !SendAll(fd, Render(answer), Now() + 20)) {
      break;
    }
    if (answer.stream) {
      auto is_open = true;
      const auto send = [&](const std::string& bytes) {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        is_open = is_open && run == run_ &&
                  SendAll(fd, size + bytes + "\r\n", Now() + 20) &&
                  !IsClosedByPeer(fd);
        return is_open;
      };
      answer.stream(send);
      if (!is_open || !SendAll(fd, "0\r\n\r\n", Now() + 20)) {
        break;
      }
    }
    if (answer.problem == kCrashAfterAnswer) {
      if (Crash() && on_crash) {
        on_crash(*this);
      }
      break;
    }
  }
  const auto lock = std::lock_guard(mutex_);
  open_.erase(fd);
  ::close(fd);
  --threads_;
}

auto backend::DescribeSelf(const std::string& state) -> message {
  auto out = message();
  out.method = "PUT";
  out.target = "/api/instances/" + id;
  out.fields = {{"Host", "control"}, {"Content-Type", "application/json"}};
  out.body = "{\"service\":\"" + service + "\",\"addr\":\"" + address +
             "\",\"zone\":\"z1\",\"version\":\"" + software +
             "\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
             "\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":" + models +
             ",\"born\":" + std::to_string(born) +
             ",\"seq\":" + std::to_string(++sequence) + "}";
  return out;
}

site::site(record& log, std::string programs, site_options options)
    : log_(log), programs_(std::move(programs)), options_(std::move(options)) {
  ::signal(SIGPIPE, SIG_IGN);
  auto name = std::string("/tmp/ebony-review-XXXXXX");
  folder_ = ::mkdtemp(name.data());
  auto& random = MakeRandom();
  const auto add = [&](bool is_coordinator, int number) {
    auto item = process();
    item.is_coordinator = is_coordinator;
    item.program = is_coordinator ? "ebony_coordinator" : "ebony_gateway";
    item.name = (is_coordinator ? "core-" : "edge-") + std::to_string(number);
    item.ip = network_ + std::to_string((is_coordinator ? 10 : 100) + number);
    item.folder = folder_ + "/" + item.name;
    std::filesystem::create_directories(item.folder + "/data");
    (is_coordinator ? coordinators_ : gateways_).push_back(item);
  };
  for (auto tries = 0;; ++tries) {
    if (tries == 100) {
      throw std::runtime_error("no free ports");
    }
    network_ = "127." + std::to_string(20 + random() % 200) + "." +
               std::to_string(1 + random() % 250) + ".";
    port_ = 20000 + static_cast<int>(random() % 10000);
    auto is_free = true;
    for (const auto host : {11, 12, 101, 201}) {
      for (auto port = 0; port < kPorts; ++port) {
        is_free = is_free && CanBind(network_ + std::to_string(host) + ":" +
                                     std::to_string(port_ + port));
      }
    }
    if (is_free) {
      break;
    }
  }
  for (auto i = 1; i <= options_.coordinators; ++i) {
    add(true, i);
  }
  for (auto i = 1; i <= options_.gateways; ++i) {
    add(false, i);
  }
}

site::~site() {
  is_stopping_ = true;
  for (auto& thread : threads_) {
    thread.join();
  }
  for (auto* group : {&coordinators_, &gateways_}) {
    for (auto& item : *group) {
      Kill(item);
    }
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    std::fprintf(stderr, "logs in %s\n", folder_.c_str());
  }
}

auto site::GetControl(int coordinator) const -> std::string {
  return coordinators_[static_cast<std::size_t>(coordinator)].ip + ":" +
         std::to_string(port_ + kControlPort);
}

auto site::GetFront(int gateway) const -> std::string {
  return gateways_[static_cast<std::size_t>(gateway)].ip + ":" +
         std::to_string(port_ + kFrontPort);
}

auto site::GetReady(int gateway) const -> std::string {
  return gateways_[static_cast<std::size_t>(gateway)].ip + ":" +
         std::to_string(port_ + kReadyPort);
}

auto site::GetServerAddress(int number) const -> std::string {
  return network_ + std::to_string(200 + number) + ":" +
         std::to_string(port_ + kServerPort);
}

auto site::WriteSettings(const process& item, bool is_first) -> void {
  const auto at = [&](int port) {
    return item.ip + ":" + std::to_string(port_ + port);
  };
  auto out = std::ofstream(item.folder + "/settings");
  out << "node=" << item.name
      << "\nrole=" << (item.is_coordinator ? "coordinator" : "gateway")
      << "\nmachineClass=" << (item.is_coordinator ? "core" : "edge")
      << "\nserves=" << (item.is_coordinator ? "control,directory" : "edge")
      << "\nip=" << item.ip << "\nzone=z1\nregion=r1\nzones.z1=r1\n";
  if (item.is_coordinator) {
    out << "listen.control=" << at(kControlPort)
        << "\nlisten.directory=" << at(kDirectoryPort)
        << "\ndataDir=" << item.folder << "/data\n";
  } else {
    out << "listen.front=" << at(kFrontPort)
        << "\nlisten.readyAddr=" << at(kReadyPort) << "\n";
  }
  out << "portRange=" << port_ + kLinkPort << "," << port_ + kLinkPort + 15
      << "\nseeds=";
  for (auto i = 0; i < std::min(3, options_.coordinators); ++i) {
    out << (i > 0 ? "," : "") << GetControl(i);
  }
  out << "\nbootstrap=" << (is_first ? "true" : "false")
      << "\ninTolerance=" << (item.is_coordinator ? "true" : "false")
      << "\nlimits.cpuShare=1\nlimits.cores=1\nlimits.memoryMb=260"
         "\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb="
      << (item.is_coordinator ? 128 : 0)
      << "\ndiscovery=registry\nentry=directory\nbeatIntervalMs=1200"
         "\ncontracts=base,drain,config,cost,retry,recover,fleet,stream,engine"
         "\ntolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0"
         "\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000"
         "\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000"
         "\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000"
         "\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000"
         "\nbounds.retryRatio=0.2\nbounds.retryWindowS=10"
         "\nbounds.retrySlack=54\nbounds.recoverS=12\nbounds.passMs=120"
         "\nbounds.againS=0\nbounds.requireFence=false\nbounds.leaseMs=3000"
         "\nbounds.thawSlackMs=300\nbounds.ceilingWindowS=5"
         "\nbounds.loadBurstFactor=1.1\nbounds.ttl_max_s=5"
         "\nconfigMode=highest\n"
      << options_.more_settings;
}

auto site::Spawn(process& item, bool is_first) -> void {
  WriteSettings(item, is_first);
  const auto program = programs_ + "/" + item.program;
  const auto log = item.folder + "/log";
  const auto setting = "EBONYTHREAD_SETTINGS=" + item.folder + "/settings";
  auto environment = std::vector<std::string>{setting, "LANG=C.UTF-8"};
  if (const auto* mark = std::getenv("REVIEW_RUN")) {
    environment.push_back(std::string("REVIEW_RUN=") + mark);
  }
  auto pointers = std::vector<char*>();
  for (auto& text : environment) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
  const auto fd =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const auto pid = ::fork();
  if (pid == 0) {
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execve(program.c_str(), arguments, pointers.data());
    ::_exit(127);
  }
  ::close(fd);
  item.pid = pid;
  log_.Write("platform: started %s", item.name.c_str());
}

auto site::Signal(process& item, int signal) -> void {
  if (item.pid > 0) {
    ::kill(item.pid, signal);
  }
}

auto site::Kill(process& item) -> void {
  if (item.pid <= 0) {
    return;
  }
  ::kill(item.pid, SIGCONT);
  ::kill(item.pid, SIGKILL);
  ::waitpid(item.pid, nullptr, 0);
  item.pid = 0;
  log_.Write("platform: killed %s", item.name.c_str());
}

auto site::WipeDisk(process& item) -> void {
  std::filesystem::remove_all(item.folder + "/data");
  std::filesystem::create_directories(item.folder + "/data");
  log_.Write("platform: %s has lost its disk", item.name.c_str());
}

auto site::Reload(process& item) -> void {
  WriteSettings(item, false);
  Signal(item, SIGHUP);
  log_.Write("platform: new settings and SIGHUP for %s", item.name.c_str());
}

auto site::Start() -> void {
  for (auto* group : {&coordinators_, &gateways_}) {
    for (auto& item : *group) {
      Spawn(item, true);
    }
  }
}

auto site::PutConfig(const std::string& body, double seconds) -> bool {
  auto request = message();
  request.method = "PUT";
  request.target = "/api/config";
  request.fields = {{"Host", "control"}, {"Content-Type", "application/json"}};
  request.body = body;
  const auto until = Now() + seconds;
  for (auto i = 0; Now() < until; ++i) {
    auto address = GetControl(i % options_.coordinators);
    auto answer = CallOnce(address, request, 1.0);
    for (auto hops = 0; hops < 2 && answer.status == 307; ++hops) {
      auto place = answer.Get("Location").substr(7);
      answer = CallOnce(place.substr(0, place.find('/')), request, 1.0);
    }
    if (answer.status == 200) {
      log_.Write("operator: acknowledged %.14s", body.c_str());
      return true;
    }
    if (answer.status >= 400 && answer.status < 500) {
      log_.Write("operator: refused with %d: %.14s", answer.status,
                 body.c_str());
      return false;
    }
    SleepFor(0.15);
  }
  return false;
}

auto site::CallControl(const message& request, double seconds) -> bool {
  const auto until = Now() + seconds;
  while (Now() < until && !is_stopping_) {
    const auto number = static_cast<int>(
        next_++ % static_cast<unsigned>(options_.coordinators));
    const auto answer = CallOnce(GetControl(number), request, 1.0);
    if (answer.status >= 200 && answer.status < 300) {
      return true;
    }
    SleepFor(0.05);
  }
  return false;
}

auto site::Announce(const std::shared_ptr<backend>& server) -> void {
  threads_.emplace_back([this, server] {
    while (!is_stopping_) {
      if (server->IsUp() && !server->is_silent) {
        const auto call = server->DescribeSelf("ready");
        if (!server->is_silent) {
          CallControl(call, 1.0);
        }
      }
      for (auto i = 0; i < 24 && !is_stopping_; ++i) {
        SleepFor(kBeatSeconds / 24);
      }
    }
  });
}

auto site::AwaitReady(double seconds) -> bool {
  const auto until = Now() + seconds;
  auto request = message();
  request.method = "GET";
  request.target = "/api/ready";
  request.fields = {{"Host", "edge"}};
  while (Now() < until) {
    auto ready = 0;
    for (auto i = 0; i < options_.gateways; ++i) {
      ready += CallOnce(GetReady(i), request, 1.0).status == 200 ? 1 : 0;
    }
    if (ready == options_.gateways) {
      return true;
    }
    SleepFor(0.1);
  }
  return false;
}

auto site::Resolve() -> std::string {
  auto request = message();
  request.method = "GET";
  request.target = "/api/resolve?name=h.example&region=r1&zone=z1";
  request.fields = {{"Host", "directory"}};
  for (auto tries = 0; tries < 3; ++tries) {
    const auto number =
        static_cast<std::size_t>(next_++) % coordinators_.size();
    const auto answer = CallOnce(
        coordinators_[number].ip + ":" + std::to_string(port_ + kDirectoryPort),
        request, 1.0);
    auto addresses = std::vector<std::string>();
    for (auto i = 0; i < options_.gateways; ++i) {
      if (answer.body.find("\"" + GetFront(i) + "\"") != std::string::npos) {
        addresses.push_back(GetFront(i));
      }
    }
    if (answer.status == 200 && !addresses.empty()) {
      return addresses[next_++ % addresses.size()];
    }
  }
  return {};
}

auto site::FindLeader() -> int {
  auto request = message();
  request.method = "GET";
  request.target = "/api/config";
  request.fields = {{"Host", "control"}};
  for (auto i = 0; i < options_.coordinators; ++i) {
    const auto answer = CallOnce(GetControl(i), request, 1.0);
    if (answer.status == 200) {
      return i;
    }
    for (auto j = 0; answer.status == 307 && j < options_.coordinators; ++j) {
      if (answer.Get("Location").find(GetControl(j)) != std::string::npos) {
        return j;
      }
    }
  }
  return -1;
}

auto MakeId(const std::string& prefix) -> std::string {
  static auto next = std::atomic<unsigned>(0);
  char text[32];
  std::snprintf(text, sizeof(text), "%s%06u", prefix.c_str(), ++next);
  return text;
}

auto MakeClientRequest(const std::string& method,
                       const std::string& target,
                       const std::string& id,
                       int deadline_ms) -> message {
  auto out = message();
  out.method = method;
  out.target = target;
  out.fields = {{"Host", "h.example"},
                {"Ebonythread-Request-Id", id},
                {"Ebonythread-Deadline-Ms", std::to_string(deadline_ms)}};
  return out;
}

auto MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind,
               const std::string& service,
               int timeout_ms,
               int target_ms,
               int max_attempts) -> std::string {
  return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"" +
         prefix + "\",\"kind\":\"" + kind +
         "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
         ",\"targetLatencyMs\":" + std::to_string(target_ms) +
         ",\"priority\":1,\"service\":\"" + service +
         "\",\"maxAttempts\":" + std::to_string(max_attempts) +
         ",\"sticky\":false,\"resumable\":false,\"gapAimMs\":250}";
}

auto MakeConfig(int version,
                const std::vector<std::string>& routes,
                const std::vector<std::string>& services) -> std::string {
  const auto join = [](const std::vector<std::string>& items) {
    auto out = std::string();
    for (const auto& item : items) {
      out += (out.empty() ? "" : ",") + item;
    }
    return out;
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         join(routes) + "],\"services\":[" + join(services) +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

}  // namespace review
