// A gateway that drains gets SIGTERM once more.
#include "site.h"

using namespace review;

namespace {

constexpr int kEvents = 30;
constexpr int kEventMs = 100;

auto OnRequest(connection& link, const message& request) -> void {
  const auto id = request.Find("Ebonythread-Request-Id");
  if (id.empty()) {
    link.Send("HTTP/1.1 200 OK\r\nEbonythread-Instance-Id: i-1\r\n"
              "Content-Length: 2\r\n\r\n{}");
    return;
  }
  Record("the server runs %s", id.c_str());
  link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " + id +
            "\r\nEbonythread-Response-Seal: " + id +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
  for (auto event = 1; event <= kEvents; ++event) {
    Sleep(kEventMs);
    const auto text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!link.Send(size + text + "\r\n")) {
      Record("%s was cut off at event %d", id.c_str(), event);
      link.Close();
      return;
    }
  }
  link.Send("0\r\n\r\n");
}

auto MakeConfig() -> std::string {
  return R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
         R"("pathPrefix":"/s/","kind":"streaming","timeoutMs":15000,)"
         R"("targetLatencyMs":800,"priority":1,"service":"s",)"
         R"("maxAttempts":1,"resumable":false,"gapAimMs":250}],)"
         R"("services":[{"name":"s","healthPath":"/healthz","maxConns":360,)"
         R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

auto RunCase() -> int {
  auto place = site(3, 2);
  if (!place.StartAll()) {
    return kCannotRun;
  }
  auto listener = server({place.MakeIp(3, 1), place.port}, OnRequest);
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
  auto broken = std::atomic<int>(0);
  auto clients = std::vector<std::thread>();
  for (auto number = 0; number < 10; ++number) {
    clients.emplace_back([&, number] {
      const auto id = "q" + std::to_string(number);
      const auto answer =
          Call(place.gateways[0].GetFront(),
               MakeRequest("POST", "/s/a",
                           "Host: h.example\r\nEbonythread-Request-Id: " + id +
                               "\r\nEbonythread-Deadline-Ms: 15000\r\n",
                           "prompt"),
               15000);
      Record("client %s: %d, %s, %zu bytes", id.c_str(), answer.Status(),
             answer.end.c_str(), answer.body.size());
      broken += answer.is_complete ? 0 : 1;
    });
  }
  Sleep(800);
  place.gateways[0].Signal(SIGTERM);
  Sleep(700);
  if (HasTrouble()) {
    place.gateways[0].Signal(SIGTERM);
  }
  for (auto& client : clients) {
    client.join();
  }
  Record("%d of 10 streams cut off", broken.load());
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
