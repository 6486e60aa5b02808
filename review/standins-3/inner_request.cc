// A client sends a body that holds a request. It is framed with a length, or,
// as the disruption, by a transfer coding that is not chunked.
#include "site.h"

using namespace review;

namespace {

constexpr int kRequests = 5;

auto MakeConfig() -> std::string {
  return R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
         R"("pathPrefix":"/n/","kind":"non_idempotent","timeoutMs":1500,)"
         R"("targetLatencyMs":300,"priority":1,"service":"s",)"
         R"("maxAttempts":1}],"services":[{"name":"s",)"
         R"("healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

auto MakeInner(int number) -> std::string {
  return "POST /n/inner HTTP/1.1\r\nHost: h.example\r\n"
         "Ebonythread-Request-Id: inner-" + std::to_string(number) +
         "\r\nEbonythread-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
}

auto RunCase() -> int {
  auto inner_runs = std::atomic<int>(0);
  auto empty_bodies = std::atomic<int>(0);
  auto whole_bodies = std::atomic<int>(0);
  auto place = site(3, 1);
  if (!place.StartAll()) {
    return kCannotRun;
  }
  auto listener = server(
      {place.MakeIp(3, 1), place.port},
      [&](connection& link, const message& request) {
        const auto id = request.Find("Ebonythread-Request-Id");
        if (!id.empty()) {
          Record("the server runs %s, %s, with a body of %zu bytes", id.c_str(),
                 request.first.c_str(), request.body.size());
          if (id.rfind("inner-", 0) == 0) {
            ++inner_runs;
          } else {
            (request.body.empty() ? empty_bodies : whole_bodies) += 1;
          }
        }
        link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " + id +
                  "\r\nEbonythread-Instance-Id: i-1\r\n"
                  "Ebonythread-Response-Seal: x\r\nContent-Length: 2\r\n\r\nok");
      });
  auto beats = announcer(place, "i-1");
  beats.SetBody(R"({"service":"s","addr":")" + listener.where.Text() +
                R"(","zone":"z1","version":"v1","slots":6,"state":"ready",)"
                R"("coldLeftMs":0,"born":)" + std::to_string(UnixMs()));
  if (!listener.Listen()) {
    return kCannotRun;
  }
  beats.Run(1200);
  if (!place.PutConfig(MakeConfig()) || !place.AwaitReady(15000)) {
    return kCannotRun;
  }
  Sleep(3000);
  for (auto number = 0; number < kRequests; ++number) {
    const auto inner = MakeInner(number);
    const auto framing =
        HasTrouble() ? std::string("Transfer-Encoding: gzip\r\n")
                     : "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    auto link = connection(place.gateways[0].GetFront(), 1000);
    link.Send("POST /n/outer HTTP/1.1\r\nHost: h.example\r\n"
              "Ebonythread-Request-Id: outer-" + std::to_string(number) +
              "\r\nEbonythread-Deadline-Ms: 1500\r\n" + framing + "\r\n" +
              inner);
    auto statuses = std::string();
    for (auto answers = 0; answers < 2; ++answers) {
      const auto answer = ReadMessage(link, NowMs() + 500);
      statuses += " " + std::to_string(answer.Status());
    }
    Record("client outer-%d: answers%s", number, statuses.c_str());
  }
  Record("runs of the inner request: %d; of the outer one with its body: %d, "
         "without: %d",
         inner_runs.load(), whole_bodies.load(), empty_bodies.load());
  return inner_runs + empty_bodies > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
