// All processes are killed. The coordinators are back after 0.8 s, the gateways
// after 3.3 s. The list of seeds lags by 3 s, so that the gateways' settings show
// the moment at which nothing served control; the seeds come 3 s later.
#include "site.hpp"

using namespace review;

namespace {

constexpr int kRecoverMs = 12000;
constexpr int kSeedLagMs = 3000;
constexpr int kCoreDownMs = 800;
constexpr int kIntoOutageMs = 300;
constexpr int kRequestsAfter = 20;

auto MakeConfig(int version) -> std::string {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"h.example",)"
         R"("pathPrefix":"/i/","kind":"idempotent","timeoutMs":1500,)"
         R"("targetLatencyMs":300,"priority":1,"service":"s",)"
         R"("maxAttempts":2}],"services":[{"name":"s",)"
         R"("healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

// Sends requests to all gateways in turn and returns how many were served.
auto CountServed(site& place, const std::string& name, int count) -> int {
  auto served = 0;
  for (auto number = 0; number < count; ++number) {
    const auto id = name + std::to_string(number);
    auto& gateway = place.gateways[static_cast<std::size_t>(number) %
                                   place.gateways.size()];
    const auto answer =
        Call(gateway.GetFront(),
             MakeRequest("GET", "/i/a",
                         "Host: h.example\r\nEbonythread-Request-Id: " + id +
                             "\r\nEbonythread-Deadline-Ms: 1500\r\n",
                         ""),
             1500);
    Record("client %s at %s: %d", id.c_str(), gateway.name.c_str(),
           answer.Status());
    served += answer.Status() == 200 ? 1 : 0;
  }
  return served;
}

auto RunCase() -> int {
  auto place = site(3, 2);
  if (!place.StartAll()) {
    return kCannotRun;
  }
  auto listener = server(
      {place.MakeIp(3, 1), place.port},
      [](connection& link, const message& request) {
        link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " +
                  request.Find("Ebonythread-Request-Id") +
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
  if (!place.PutConfig(MakeConfig(7)) || !place.AwaitReady(15000)) {
    return kCannotRun;
  }
  Sleep(4000);
  const auto before = CountServed(place, "before-", 20);
  Record("%d of 20 served before", before);
  if (before < 20) {
    return kCannotRun;
  }
  if (!place.PutConfig(MakeConfig(8))) {
    return kCannotRun;
  }
  Record("all processes are killed");
  for (auto* list : {&place.gateways, &place.coordinators}) {
    for (auto& item : *list) {
      item.Kill();
    }
  }
  Sleep(kCoreDownMs);
  for (auto& item : place.coordinators) {
    place.Start(item, false);
  }
  Sleep(kSeedLagMs + kIntoOutageMs - kCoreDownMs);
  // The operator's list is that of kIntoOutageMs after the kill.
  for (auto& item : place.gateways) {
    place.Start(item, false,
                !HasTrouble() ? place.GetSeeds()
                : IsMilder()  ? place.coordinators[0].GetControl().Text()
                              : std::string());
  }
  Sleep(kSeedLagMs);
  for (auto& item : place.gateways) {
    place.WriteSettings(item, false, place.GetSeeds());
    item.Signal(SIGHUP);
  }
  Record("the settings name three seeds");
  Sleep(kRecoverMs);
  const auto after = CountServed(place, "after-", kRequestsAfter);
  Record("%d of %d served more than %d s after the machines were back", after,
         kRequestsAfter, kRecoverMs / 1000);
  return after * 4 < kRequestsAfter ? kBroken : kHeld;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
