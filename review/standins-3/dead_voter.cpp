// A core machine of three is replaced by an empty one at another address. Some
// time later one of the others loses its disk, which is one machine of the one
// that may be lost.
#include "site.hpp"

using namespace review;

namespace {

constexpr int kSettleMs = 15000;   // after the replacement; `catchUpS` is 4 s
constexpr int kRecoverMs = 20000;  // after the wiped machine is back
constexpr int kContactMs = 3000;
constexpr int kRequests = 20;

auto MakeConfig(int version) -> std::string {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h.example","pathPrefix":"/i/",)"
         R"("kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,)"
         R"("priority":1,"service":"s","maxAttempts":2}],"services":[{"name":)"
         R"("s","healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

auto CountServed(site& place, const std::string& name) -> int {
  auto served = 0;
  for (auto number = 0; number < kRequests; ++number) {
    const auto answer =
        Call(place.gateways[0].GetFront(),
             MakeRequest("GET", "/i/a",
                         "Host: h.example\r\nEbonythread-Request-Id: " + name +
                             std::to_string(number) +
                             "\r\nEbonythread-Deadline-Ms: 1500\r\n",
                         ""),
             1500);
    served += answer.Status() == 200 ? 1 : 0;
  }
  Record("%s: %d of %d requests served", name.c_str(), served, kRequests);
  return served;
}

// Reads the configuration as the operator does. Returns its version; 0: it
// doesn't come.
auto ReadVersion(site& place, std::int64_t time_ms) -> int {
  const auto answer = place.CallControl("GET", "/api/config", "", time_ms);
  const auto at = answer.body.find("\"version\":");
  const auto version = answer.Status() == 200 && at != std::string::npos
                           ? std::atoi(answer.body.c_str() + at + 10)
                           : 0;
  Record("read back: status %d, version %d", answer.Status(), version);
  return version;
}

auto RunCase() -> int {
  auto place = site(4, 1);  // the fourth is the successor
  auto& removed = place.coordinators[2];
  auto& successor = place.coordinators[3];
  auto& wiped = place.coordinators[1];
  if (!place.AreBuilt()) {
    return kCannotRun;
  }
  for (auto i = std::size_t{0}; i < 3; ++i) {
    place.Start(place.coordinators[i], true);
  }
  place.Start(place.gateways[0], true);
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
  if (CountServed(place, "before-") < kRequests) {
    return kCannotRun;
  }
  if (HasTrouble() && !IsMilder()) {
    Record("%s is gone for good", removed.name.c_str());
    removed.Kill();
    Sleep(1000);
    Record("%s takes its place: another address, an empty disk",
           successor.name.c_str());
    place.Start(successor, false,
                place.coordinators[0].GetControl().Text() + "," +
                    place.coordinators[1].GetControl().Text());
  }
  Sleep(kSettleMs);
  if (!place.PutConfig(MakeConfig(8))) {
    return kCannotRun;
  }
  if (CountServed(place, "replaced-") < kRequests) {
    return kCannotRun;
  }
  if (HasTrouble()) {
    Record("%s loses its disk", wiped.name.c_str());
    wiped.Kill();
    std::filesystem::remove_all(wiped.folder + "/data");
    std::filesystem::create_directories(wiped.folder + "/data");
    Sleep(1000);
    place.Start(wiped, false,
                place.coordinators[0].GetControl().Text() + "," +
                    (IsMilder() ? removed : successor).GetControl().Text());
  }
  Sleep(kRecoverMs);
  const auto version = ReadVersion(place, 4 * kContactMs);
  CountServed(place, "after-");
  return version >= 8 ? kHeld : kBroken;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
