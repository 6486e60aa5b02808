// A part of a prompt crashes each server that begins an answer on it. Once that
// is known, requests with the part reach no server. Then all processes are
// killed, and come back. Do requests with the part reach servers again?

#include <cstdio>
#include <string>
#include <vector>

#include "review_site.hpp"

using review::Now;

namespace {

constexpr int kServers = 8;
constexpr double kServerBackSeconds = 2.5;
constexpr double kContactSeconds = 3.0;  // contactMs
// A final fault that takes most of the core: machines are in touch after twice
// contactMs.
constexpr double kInTouchSeconds = 2 * kContactSeconds;
constexpr int kDeadlineMs = 8000;
constexpr const char* kDeadlyPart = "dead01";

struct arrival {
  double time = 0;
  std::string id;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 3) {
    return 2;
  }
  auto log = review::record(argv[2]);
  auto options = review::site_options();
  options.gateways = 3;
  auto site = review::site(log, argv[1], options);
  auto mutex = std::mutex();
  auto deadly = std::vector<arrival>();  // that reached a server
  auto crashes = std::vector<double>();
  auto sound_runs = std::atomic<int>(0);
  auto is_over = std::atomic<bool>(false);
  auto servers = std::vector<std::shared_ptr<review::backend>>();
  auto restarts = std::vector<std::thread>();
  const auto models =
      std::string("[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]");
  for (auto i = 1; i <= kServers; ++i) {
    servers.push_back(std::make_shared<review::backend>(
        log, "i-" + std::to_string(i), "s", site.GetServerAddress(i),
        [&](review::backend& self, const review::message& request) {
          auto answer = review::message();
          answer.status = 200;
          answer.fields = {{"Ebonythread-Instance-Id", self.id},
                           {"Keep-Alive", "timeout=5"}};
          if (request.target == "/api/report") {
            answer.fields.emplace_back("Content-Type", "application/json");
            answer.body =
                "{\"stage\":\"both\",\"models\":" + self.models +
                ",\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,"
                "\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}";
            return answer;
          }
          if (request.target == "/api/order") {
            answer.status = 409;  // never expected here
            log.Write("server %s: order %s", self.id.c_str(),
                      request.body.c_str());
            return answer;
          }
          if (request.target == "/healthz") {
            return answer;
          }
          const auto expected = request.Get("Ebonythread-Expect-Instance");
          if (!expected.empty() && expected != self.id) {
            answer.status = 421;
            return answer;
          }
          const auto id = request.Get("Ebonythread-Request-Id");
          const auto parts = request.Get("Ebonythread-Prompt-Prefix");
          answer.fields.emplace_back("Ebonythread-Request-Id", id);
          answer.fields.emplace_back("Ebonythread-Response-Seal", "seal." + id);
          answer.fields.emplace_back("Content-Type", "text/event-stream");
          answer.fields.emplace_back("Transfer-Encoding", "chunked");
          if (parts.find(kDeadlyPart) != std::string::npos) {
            log.Write("server %s: %s has reached it, and crashes it",
                      self.id.c_str(), id.c_str());
            review::SleepFor(0.02);
            const auto lock = std::lock_guard(mutex);
            deadly.push_back({Now(), id});
            answer.problem = review::kCrashAfterAnswer;
            return answer;
          }
          review::SleepFor(0.03);
          ++sound_runs;
          const auto event = "id: 1\ndata: " + id + "\n\nid: 2\ndata: end\n\n";
          char size[16];
          std::snprintf(size, sizeof(size), "%zx", event.size());
          answer.body = std::string(size) + "\r\n" + event + "\r\n0\r\n\r\n";
          return answer;
        }));
    servers.back()->on_crash = [&](review::backend& self) {
      log.Write("server %s: has crashed", self.id.c_str());
      const auto lock = std::lock_guard(mutex);
      crashes.push_back(Now());
      restarts.emplace_back([&self] {
        review::SleepFor(kServerBackSeconds);
        self.Restart();
      });
    };
    servers.back()->models = models;
    servers.back()->slots = 64;
    servers.back()->Listen();
  }
  site.Start();
  const auto config = review::MakeConfig(
      3, {review::MakeRoute("r", "/draft/", "streaming", "s", 8000, 800, 1)},
      {"{\"name\":\"s\",\"healthPath\":\"/healthz\",\"maxConns\":360,"
       "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
       "\"kvCapacity\":100000,\"kvTokenBytes\":327680,\"linkMbps\":180000.0,"
       "\"moves\":true,\"backups\":true,\"stride\":3,\"cap\":12,"
       "\"hostMb\":140000.0,\"diskMb\":420000.0,\"pinMs\":4000.0,"
       "\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m0\","
       "\"weightsMb\":72700.0,\"loadS\":3,\"adapters\":0,\"adapterMb\":66.0,"
       "\"warmS\":0.6,\"diskS\":0.78}],\"weightsMb\":200000.0,"
       "\"adapterSlots\":8,\"loadsPerS\":1.6}}"});
  if (!site.PutConfig(config, 10)) {
    std::puts("no configuration was acknowledged");
    return 2;
  }
  for (const auto& server : servers) {
    site.Announce(server);
  }
  if (!site.AwaitReady(10)) {
    std::puts("the gateways are not ready");
    return 2;
  }
  review::SleepFor(5);

  const auto send = [&](int gateway, const std::string& prefix,
                        const std::string& middle) {
    const auto id = review::MakeId(prefix);
    auto request =
        review::MakeClientRequest("POST", "/draft/" + id, id, kDeadlineMs);
    request.fields.emplace_back("Ebonythread-Model", "m0");
    request.fields.emplace_back("Ebonythread-Token-Counts", "1000,60");
    request.fields.emplace_back(
        "Ebonythread-Prompt-Prefix",
        "5c1e07a2:350," + middle + ":250," + id.substr(1) + ":400");
    request.body = "prompt " + id;
    const auto answer = review::CallOnce(site.GetFront(gateway), request, 8.0);
    log.Write("client: %s at edge-%d answered %d %s%s", id.c_str(), gateway + 1,
              answer.status, answer.Get("Retry-After").c_str(),
              answer.problem.c_str());
  };
  auto clients = std::vector<std::thread>();
  for (auto i = 0; i < 6; ++i) {
    clients.emplace_back([&, i] {
      while (!is_over) {
        send(i % 3, "a", "b0" + std::to_string(i));
        review::SleepFor(0.25);
      }
    });
  }
  const auto send_deadly = [&](int gateway) {
    clients.emplace_back([&, gateway] { send(gateway, "d", kDeadlyPart); });
  };
  review::SleepFor(3);
  // At all machines at once, twice; then one by one.
  const auto send_series = [&] {
    for (auto round = 0; round < 2; ++round) {
      for (auto i = 0; i < 6; ++i) {
        send_deadly(i % 3);
      }
      review::SleepFor(1.5);
    }
    for (auto i = 0; i < 8; ++i) {
      review::SleepFor(1.5);
      send_deadly(i % 3);
    }
  };
  send_series();
  review::SleepFor(1.5);
  auto back = Now();
  auto next_config = config;
  next_config.replace(next_config.find("\"version\":3"), 11, "\"version\":5");
  if (!site.PutConfig(next_config, 4)) {
    std::puts("the second configuration was not acknowledged");
    is_over = true;
    for (auto& client : clients) {
      client.join();
    }
    return 2;
  }
  if (review::HasTrouble()) {
    auto groups =
        std::vector<std::vector<review::process>*>{&site.get_coordinators()};
    if (!review::IsMilder()) {
      groups.push_back(&site.get_gateways());
    }
    for (auto* group : groups) {
      for (auto& item : *group) {
        site.Kill(item);
      }
    }
    review::SleepFor(1);
    for (auto* group : groups) {
      for (auto& item : *group) {
        site.Spawn(item, false);
      }
    }
    back = Now();
  }
  review::SleepUntil(back + kInTouchSeconds + 1);
  const auto sound_before = sound_runs.load();
  send_series();
  review::SleepFor(1);
  is_over = true;
  for (auto& client : clients) {
    client.join();
  }
  review::SleepFor(kServerBackSeconds + 0.5);
  for (auto& restart : restarts) {
    restart.join();
  }
  const auto fifth = crashes.size() < 5 ? 1e9 : crashes[4];
  auto early = 0;
  auto late = 0;
  for (const auto& item : deadly) {
    const auto is_late = item.time > fifth + kContactSeconds;
    early += is_late && item.time < back - 1.0 ? 1 : 0;
    late += is_late && item.time > back + kInTouchSeconds ? 1 : 0;
  }
  char verdict[300];
  std::snprintf(
      verdict, sizeof(verdict),
      "%zu crashes; reached servers later than %.0f s after the fifth: %d "
      "before all processes were killed, %d by machines in touch after it; "
      "%d sound requests ran meanwhile",
      crashes.size(), kContactSeconds, early, late, sound_runs - sound_before);
  log.Write("%s", verdict);
  std::puts(verdict);
  if (crashes.size() < 5 || sound_runs == sound_before) {
    return 2;
  }
  return early + late > 3 ? 1 : 0;
}
