// One gateway is cut off from all servers, so that another one makes its
// attempts. A client sends a header of its own with each request; the servers
// must see the tenant of its key all the same.
#include "site.hpp"

using namespace review;

namespace {

constexpr int kServers = 3;
constexpr int kRequests = 60;
constexpr int kConfigVersion = 7;

auto ToHex(const std::string& bytes) -> std::string {
  auto out = std::string();
  for (const auto byte : bytes) {
    char text[3];
    std::snprintf(text, sizeof(text), "%02x", static_cast<unsigned char>(byte));
    out += text;
  }
  return out;
}

// The terms of a handover, as one gateway writes them for another one: the
// configuration, the service and the tenant.
auto MakeTerms(const std::string& service, const std::string& tenant)
    -> std::string {
  const auto field = [](int number, const std::string& text) {
    return std::string(1, static_cast<char>(number << 3 | 2)) +
           std::string(1, static_cast<char>(text.size())) + text;
  };
  return std::string(1, '\x08') +
         std::string(1, static_cast<char>(kConfigVersion)) + field(2, service) +
         field(6, tenant);
}

auto MakeConfig() -> std::string {
  return R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
         R"("pathPrefix":"/n/","kind":"non_idempotent","timeoutMs":1500,)"
         R"("targetLatencyMs":300,"priority":1,"service":"ops",)"
         R"("maxAttempts":2}],"services":[{"name":"ops",)"
         R"("healthPath":"/healthz","maxConns":580,"protocol":"h1",)"
         R"("tls":false}],"tenants":[{"name":"alpha","apiKeys":["key-a"]},)"
         R"({"name":"beta","apiKeys":["key-b"]}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

auto RunCase() -> int {
  auto foreign = std::atomic<int>(0);
  auto own = std::atomic<int>(0);
  auto place = site(3, 2);
  if (!place.StartAll()) {
    return kCannotRun;
  }
  auto servers = std::vector<std::unique_ptr<server>>();
  auto beats = std::vector<std::unique_ptr<announcer>>();
  for (auto i = 0; i < kServers; ++i) {
    const auto id = "i-" + std::to_string(i + 1);
    const auto on_request = [&, id](connection& link, const message& request) {
      const auto name = request.Find("Ebonythread-Request-Id");
      if (name.empty()) {
        link.Send("HTTP/1.1 200 OK\r\nEbonythread-Instance-Id: " + id +
                  "\r\nContent-Length: 2\r\n\r\n{}");
        return;
      }
      const auto tenant = request.Find("Ebonythread-Tenant");
      Record("%s runs %s for tenant '%s'", id.c_str(), name.c_str(),
             tenant.c_str());
      (tenant == "alpha" ? own : foreign) += 1;
      link.Send("HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " + name +
                "\r\nEbonythread-Response-Seal: x\r\n"
                "Content-Length: 2\r\n\r\nok");
    };
    servers.push_back(std::make_unique<server>(
        address{place.MakeIp(3, i + 1), place.port}, on_request));
    beats.push_back(std::make_unique<announcer>(place, id));
    beats.back()->SetBody(
        R"({"service":"ops","addr":")" + servers.back()->where.Text() +
        R"(","zone":"z1","version":"v1","slots":6,"state":"ready",)"
        R"("coldLeftMs":0,"born":)" + std::to_string(UnixMs()));
    if (!servers.back()->Listen()) {
      return kCannotRun;
    }
    beats.back()->Run(1200, static_cast<std::size_t>(i));
  }
  if (!place.PutConfig(MakeConfig()) || !place.AwaitReady(15000)) {
    return kCannotRun;
  }
  Sleep(4000);
  if (HasTrouble()) {
    Record("edge-1 is partitioned from all servers");
    for (const auto& item : servers) {
      item->CutOff(place.gateways[0].pid);
    }
  }
  auto clients = std::vector<std::thread>();
  for (auto number = 0; number < kRequests; ++number) {
    clients.emplace_back([&, number] {
      const auto id = "q" + std::to_string(number);
      const auto answer = Call(
          place.gateways[0].GetFront(),
          MakeRequest("POST", "/n/a",
                      "Host: h.example\r\nApi-Key: key-a\r\n"
                      "Ebonythread-Request-Id: " + id +
                          "\r\nEbonythread-Deadline-Ms: 1500\r\n" +
                          (IsMilder() ? std::string()
                                      : "Ebony-Handover: " +
                                            ToHex(MakeTerms("ops", "beta")) +
                                            "\r\n"),
                      "x"),
          1500);
      Record("client %s with the key of alpha: %d", id.c_str(),
             answer.Status());
    });
    Sleep(50);
  }
  for (auto& client : clients) {
    client.join();
  }
  Record("runs for alpha, whose key it is: %d; for another tenant: %d",
         own.load(), foreign.load());
  return foreign > 0 ? kBroken : own > 0 ? kHeld : kCannotRun;
}

}  // namespace

int main() {
  const auto code = RunCase();
  Record("exit %d", code);
  std::fflush(nullptr);
  ::_exit(code);
}
