// Clients read their answers slowly, but steadily and well within their
// deadline.
#include "site.h"

using namespace review;

namespace {

constexpr int kClients = 5;
constexpr std::size_t kAnswerBytes = 600000;
constexpr std::size_t kReadBytes = 16384;
constexpr int kSlowPauseMs = 400;  // between two reads
constexpr int kDeadlineMs = 25000;
// The largest segment on an Ethernet link; loopback would take 64 KiB.
constexpr int kSegmentBytes = 1460;

auto MakeConfig() -> std::string {
  return R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
         R"("pathPrefix":"/n/","kind":"non_idempotent","timeoutMs":25000,)"
         R"("targetLatencyMs":5000,"priority":1,"service":"s",)"
         R"("maxAttempts":1}],"services":[{"name":"s",)"
         R"("healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

auto MakeCall(const std::string& path, const std::string& id) -> std::string {
  return MakeRequest("POST", path,
                     "Host: h.example\r\nEbonythread-Request-Id: " + id +
                         "\r\nEbonythread-Deadline-Ms: " +
                         std::to_string(kDeadlineMs) + "\r\n",
                     "x");
}

// Returns a connection with segments as on Ethernet.
auto Connect(const address& to) -> int {
  const auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto segment = kSegmentBytes;
  ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  const auto target = ToSockaddr(to);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

struct outcome {
  bool is_kept = false;      // an earlier request was answered on it
  bool is_complete = false;  // the second answer came in full
  std::size_t bytes = 0;     // of its body
  std::int64_t took_ms = 0;
};

auto RunClient(const address& to, int number, int pause_ms) -> outcome {
  auto out = outcome();
  const auto fd = Connect(to);
  if (fd < 0) {
    return out;
  }
  auto link = connection(fd);
  const auto name = std::to_string(number);
  link.Send(MakeCall("/n/small", "small-" + name));
  out.is_kept = ReadMessage(link, NowMs() + 5000).Status() == 200;
  const auto begin = NowMs();
  link.Send(MakeCall("/n/large", "large-" + name));
  auto raw = std::string();
  auto body_at = std::string::npos;
  while (NowMs() - begin < kDeadlineMs) {
    Sleep(pause_ms);
    char buffer[kReadBytes];
    const auto count = ::recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      Record("client %d: the connection ends, %s", number,
             count == 0 ? "closed" : std::strerror(errno));
      break;
    }
    raw.append(buffer, static_cast<std::size_t>(count));
    body_at = body_at == std::string::npos ? raw.find("\r\n\r\n") : body_at;
    out.bytes = body_at == std::string::npos ? 0 : raw.size() - body_at - 4;
    if (out.bytes >= kAnswerBytes) {
      out.is_complete = true;
      break;
    }
  }
  out.took_ms = NowMs() - begin;
  return out;
}

auto RunCase() -> int {
  auto place = site(3, 1);
  if (!place.StartAll()) {
    return kCannotRun;
  }
  auto listener = server(
      {place.MakeIp(3, 1), place.port},
      [](connection& link, const message& request) {
        const auto id = request.Find("Ebonythread-Request-Id");
        const auto size =
            request.Target() == "/n/large" ? kAnswerBytes : std::size_t{2};
        if (!id.empty()) {
          Record("the server runs %s and answers with %zu bytes", id.c_str(),
                 size);
        }
        link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " + id +
                  "\r\nEbonythread-Instance-Id: i-1\r\n"
                  "Ebonythread-Response-Seal: x\r\nContent-Length: " +
                  std::to_string(size) + "\r\n\r\n" + std::string(size, 'a'));
      });
  auto beats = announcer(place, "i-1");
  beats.SetBody(R"({"service":"s","addr":")" + listener.where.Text() +
                R"(","zone":"z1","version":"v1","slots":64,"state":"ready",)"
                R"("coldLeftMs":0,"born":)" + std::to_string(UnixMs()));
  if (!listener.Listen()) {
    return kCannotRun;
  }
  beats.Run(1200);
  if (!place.PutConfig(MakeConfig()) || !place.AwaitReady(15000)) {
    return kCannotRun;
  }
  Sleep(4000);
  auto cut = std::atomic<int>(0);
  auto complete = std::atomic<int>(0);
  auto clients = std::vector<std::thread>();
  for (auto number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      const auto out = RunClient(place.gateways[0].GetFront(), number,
                                 HasTrouble() ? kSlowPauseMs : 0);
      Record("client %d: %s, %zu of %zu bytes in %lld ms", number,
             out.is_complete ? "complete" : "cut off", out.bytes, kAnswerBytes,
             static_cast<long long>(out.took_ms));
      complete += out.is_complete ? 1 : 0;
      cut += out.is_kept && !out.is_complete && out.took_ms < kDeadlineMs - 1000
                 ? 1
                 : 0;
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  Record("%d of %d answers complete, %d cut off before the deadline",
         complete.load(), kClients, cut.load());
  return cut > 3 ? kBroken : complete == kClients ? kHeld : kCannotRun;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
