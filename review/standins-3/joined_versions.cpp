// A server crashes and starts again under its id with another software version,
// serves before its first heartbeat is known, and crashes once more. A stream
// that began at the new version must not go on at the old one.
#include "site.hpp"

#include <set>

using namespace review;

namespace {

constexpr int kServers = 6;
constexpr int kEarlyStreams = 12;
constexpr int kStreams = 40;
constexpr int kEvents = 60;
constexpr int kEventMs = 100;

struct model_server {
  std::unique_ptr<server> listener;
  std::unique_ptr<announcer> beats;
  std::atomic<int> version{1};
  std::string id;
};

auto GetBody(const model_server& item) -> std::string {
  return R"({"service":"s","addr":")" + item.listener->where.Text() +
         R"(","zone":"z1","version":"v)" + std::to_string(item.version) +
         R"(","slots":64,"state":"ready","coldLeftMs":0,"born":)" +
         std::to_string(UnixMs());
}

auto OnRequest(model_server& item, connection& link, const message& request)
    -> void {
  const auto id = request.Find("Ebonythread-Request-Id");
  const auto expected = request.Find("Ebonythread-Expect-Instance");
  if (id.empty()) {
    link.Send("HTTP/1.1 200 OK\r\nEbonythread-Instance-Id: " + item.id +
              "\r\nContent-Length: 2\r\n\r\n{}");
    return;
  }
  if (!expected.empty() && expected != item.id) {
    link.Send("HTTP/1.1 421 Misdirected Request\r\nEbonythread-Request-Id: " +
              id + "\r\nEbonythread-Instance-Id: " + item.id +
              "\r\nEbonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  const auto version = item.version.load();
  const auto last = request.Find("Last-Event-Id");
  auto event = last.empty() ? 0 : std::atoi(last.c_str());
  Record("%s v%d runs %s from event %d", item.id.c_str(), version, id.c_str(),
         event + 1);
  link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " + id +
            "\r\nEbonythread-Instance-Id: " + item.id +
            "\r\nEbonythread-Response-Seal: " + id +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
  while (event < kEvents) {
    Sleep(kEventMs);
    ++event;
    const auto text = "id: " + std::to_string(event) + "\ndata: v" +
                      std::to_string(version) + " " + std::to_string(event) +
                      "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    if (!link.Send(size + text + "\r\n") || link.IsClosedByPeer()) {
      link.Close();
      return;
    }
  }
  link.Send("0\r\n\r\n");
}

auto MakeConfig() -> std::string {
  return R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
         R"("pathPrefix":"/s/","kind":"streaming","timeoutMs":25000,)"
         R"("targetLatencyMs":5000,"priority":1,"service":"s",)"
         R"("maxAttempts":2,"resumable":true,"gapAimMs":250}],)"
         R"("services":[{"name":"s","healthPath":"/healthz","maxConns":360,)"
         R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

auto RunCase() -> int {
  auto place = site(3, 1);
  auto servers = std::vector<std::unique_ptr<model_server>>();
  if (!place.StartAll()) {
    return kCannotRun;
  }
  for (auto i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<model_server>());
    auto& item = *servers.back();
    item.id = "i-" + std::to_string(i + 1);
    item.listener = std::make_unique<server>(
        address{place.MakeIp(3, i + 1), place.port},
        [&item](connection& link, const message& request) {
          OnRequest(item, link, request);
        });
    item.beats = std::make_unique<announcer>(place, item.id);
    item.beats->SetBody(GetBody(item));
    if (!item.listener->Listen()) {
      return kCannotRun;
    }
    item.beats->Run(1200, static_cast<std::size_t>(i));
  }
  if (!place.PutConfig(MakeConfig()) || !place.AwaitReady(15000)) {
    return kCannotRun;
  }
  Sleep(4000);

  auto mutex = std::mutex();
  auto joined = 0;
  auto whole = 0;
  auto clients = std::vector<std::thread>();
  const auto send = [&](int number) {
    clients.emplace_back([&, number] {
      const auto id = "q" + std::to_string(number);
      const auto answer =
          Call(place.gateways[0].GetFront(),
               MakeRequest("POST", "/s/a",
                           "Host: h.example\r\nEbonythread-Request-Id: " + id +
                               "\r\nEbonythread-Deadline-Ms: 25000\r\n",
                           "prompt"),
               25000);
      auto versions = std::set<std::string>();
      auto order = std::string();
      for (auto at = answer.body.find("data: "); at != std::string::npos;
           at = answer.body.find("data: ", at + 1)) {
        const auto version =
            answer.body.substr(at + 6, answer.body.find(' ', at + 6) - at - 6);
        if (versions.insert(version).second) {
          order += " " + version + " from its " +
                   answer.body.substr(at + 6,
                                      answer.body.find('\n', at) - at - 6);
        }
      }
      const auto lock = std::lock_guard(mutex);
      Record("client %s: %d, %s, versions:%s", id.c_str(), answer.Status(),
             answer.end.c_str(), order.c_str());
      joined += versions.size() > 1 ? 1 : 0;
      whole += answer.is_complete ? 1 : 0;
    });
  };
  auto number = 0;
  for (; number < kEarlyStreams; ++number) {
    send(number);
    Sleep(30);
  }
  Sleep(1000);
  auto& first = *servers[0];
  if (HasTrouble()) {
    Record("%s crashes", first.id.c_str());
    first.beats->Stop();
    first.listener->Crash();
    Sleep(300);
    first.version = IsMilder() ? 1 : 2;
    first.beats->sequence = 0;
    first.beats->SetBody(GetBody(first));
    if (!first.listener->Listen()) {
      return kCannotRun;
    }
    Record("%s is back with v%d, its first heartbeat comes 1.2 s later",
           first.id.c_str(), first.version.load());
  }
  Sleep(200);
  for (; number < kStreams; ++number) {
    send(number);
    Sleep(25);
  }
  if (HasTrouble()) {
    Sleep(200);
    first.beats->Run(1200, 0);
    Record("%s sends heartbeats", first.id.c_str());
    Sleep(800);
    Record("%s crashes again", first.id.c_str());
    first.beats->Stop();
    first.listener->Crash();
  }
  for (auto& client : clients) {
    client.join();
  }
  Record("%d of %d answers complete, %d with events of two versions", whole,
         number, joined);
  return joined > 2 ? kBroken : kHeld;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
