// A server drains, deregisters and starts again under its id, while a follower
// that it called first stands still. The call that the follower holds arrives
// late, and must not end the new start.
#include "site.hpp"

using namespace review;

namespace {

constexpr int kDrainMs = 2300;  // `drainMs` and a little longer
constexpr int kFreezeMs = 3500;
constexpr int kSteadyMs = 12000;  // from the thaw to the requests that count
constexpr int kRequests = 40;     // on each route

auto MakeConfig(int version, bool has_second_route) -> std::string {
  const auto route = [](const std::string& name, const std::string& service) {
    return R"({"name":"r-)" + name +
           R"(","host":"h.example","pathPrefix":"/)" + name +
           R"(/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,)"
           R"("priority":1,"service":")" + service + R"(","maxAttempts":2})";
  };
  const auto service = [](const std::string& name) {
    return R"({"name":")" + name +
           R"(","healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
           R"("tls":false})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("first", "s") +
         (has_second_route ? "," + route("added", "t") : std::string()) +
         R"(],"services":[)" + service("s") + "," + service("t") +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

struct plain_server {
  std::unique_ptr<server> listener;
  std::unique_ptr<announcer> beats;
  std::string service;

  std::int64_t born = 0;

  // Begins a new start of the server.
  auto SetBorn() -> void {
    born = UnixMs();
    beats->sequence = 0;
    SetState("ready");
  }
  auto SetState(const std::string& state) -> void {
    beats->SetBody(R"({"service":")" + service + R"(","addr":")" +
                   listener->where.Text() +
                   R"(","zone":"z1","version":"v1","slots":6,"state":")" +
                   state + R"(","coldLeftMs":0,"born":)" +
                   std::to_string(born));
  }
};

// Returns how many requests on a route were served.
auto CountServed(site& place, const std::string& route, int round) -> int {
  auto served = 0;
  for (auto number = 0; number < kRequests; ++number) {
    const auto id =
        route + "-" + std::to_string(round) + "-" + std::to_string(number);
    auto& gateway = place.gateways[static_cast<std::size_t>(number) % 2];
    const auto answer =
        Call(gateway.GetFront(),
             MakeRequest("GET", "/" + route + "/a",
                         "Host: h.example\r\nEbonythread-Request-Id: " + id +
                             "\r\nEbonythread-Deadline-Ms: 1500\r\n",
                         ""),
             1500);
    served += answer.Status() == 200 ? 1 : 0;
    if (number < 2) {
      Record("client %s: %d", id.c_str(), answer.Status());
    }
  }
  Record("route %s: %d of %d served", route.c_str(), served, kRequests);
  return served;
}

// Returns a coordinator that sends callers elsewhere; -1: none does.
auto FindFollower(site& place) -> int {
  for (auto i = 0; i < static_cast<int>(place.coordinators.size()); ++i) {
    const auto to =
        place.coordinators[static_cast<std::size_t>(i)].GetControl();
    const auto answer = Call(
        to, MakeRequest("GET", "/api/config", "Host: " + to.Text() + "\r\n", ""),
        1000);
    if (answer.Status() == 307) {
      return i;
    }
  }
  return -1;
}

auto RunCase() -> int {
  auto place = site(3, 2);
  if (!place.StartAll()) {
    return kCannotRun;
  }
  auto servers = std::vector<plain_server>(2);
  for (auto i = std::size_t{0}; i < servers.size(); ++i) {
    auto& item = servers[i];
    const auto id = "i-" + std::to_string(i + 1);
    item.service = i == 0 ? "s" : "t";
    item.listener = std::make_unique<server>(
        address{place.MakeIp(3, static_cast<int>(i) + 1), place.port},
        [id](connection& link, const message& request) {
          link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " +
                    request.Find("Ebonythread-Request-Id") +
                    "\r\nEbonythread-Instance-Id: " + id +
                    "\r\nEbonythread-Response-Seal: x\r\n"
                    "Content-Length: 2\r\n\r\nok");
        });
    item.beats = std::make_unique<announcer>(place, id);
    item.SetBorn();
    if (!item.listener->Listen()) {
      return kCannotRun;
    }
    item.beats->Run(1200, i);
  }
  if (!place.PutConfig(MakeConfig(7, false)) || !place.AwaitReady(15000)) {
    return kCannotRun;
  }
  Sleep(2000);
  if (!place.PutConfig(MakeConfig(8, true))) {
    return kCannotRun;
  }
  Sleep(4000);
  if (CountServed(place, "added", 1) < kRequests) {
    return kCannotRun;
  }
  const auto follower = FindFollower(place);
  if (follower < 0) {
    return kCannotRun;
  }
  const auto first = static_cast<std::size_t>(follower);
  auto& item = servers[1];
  item.SetState("draining");
  Record("i-2 says that it drains: %d", item.beats->Announce(first + 1));
  Sleep(kDrainMs);
  if (HasTrouble()) {
    place.coordinators[first].Signal(SIGSTOP);
  }
  const auto frozen_at = NowMs();
  item.beats->Stop();
  Record("i-2 deregisters: %d", item.beats->Leave("", IsMilder() ? first + 1 : first));
  item.listener->Crash();
  Sleep(200);
  item.SetBorn();
  if (!item.listener->Listen()) {
    return kCannotRun;
  }
  Record("i-2 starts again: announced with %d", item.beats->Announce(first + 1));
  item.beats->Run(1200, first + 1);
  Sleep(std::max<std::int64_t>(0, frozen_at + kFreezeMs - NowMs()));
  CountServed(place, "added", 2);
  if (HasTrouble()) {
    place.coordinators[first].Signal(SIGCONT);
  }
  Sleep(kSteadyMs);
  Record("a heartbeat of i-2 is answered %d", item.beats->Announce(first + 1));
  const auto on_first = CountServed(place, "first", 3);
  const auto on_added = CountServed(place, "added", 3);
  if (on_first < kRequests / 2) {
    return kCannotRun;
  }
  return on_added * 4 < on_first ? kBroken : kHeld;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
