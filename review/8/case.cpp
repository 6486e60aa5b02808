// Two software versions of a service serve. The leader of the core and two of
// four gateways are killed at the same moment, and come back. Clients whose
// streams were broken off take them up again when all machines are in touch. Do
// the streams go on as often as new ones begin?

#include <cstdio>
#include <string>
#include <vector>

#include "review_site.hpp"

using review::Now;

namespace {

constexpr int kServers = 6;
constexpr int kStreams = 24;
constexpr int kEvents = 40;
constexpr double kEventSeconds = 0.1;
constexpr int kDeadlineMs = 25000;
constexpr double kContactSeconds = 3.0;  // contactMs

struct stream_state {
  std::string id;
  double begun = 0;
  int last_event = 0;
  std::string software;
  bool goes_on = false;
  bool begins_anew = false;
  bool is_mixed = false;
};

// Reads the events of a body: the last whole one, its software, and whether
// there are several of them.
auto ReadEvents(const std::string& body, stream_state& state) -> int {
  auto count = 0;
  auto at = std::size_t{0};
  for (auto end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", at)) {
    const auto event = body.substr(at, end - at);
    at = end + 2;
    const auto data = event.find("data: ");
    if (event.rfind("id: ", 0) != 0 || data == std::string::npos) {
      continue;
    }
    ++count;
    state.last_event = std::atoi(event.c_str() + 4);
    const auto software = event.substr(data + 6, 2);
    state.is_mixed = state.is_mixed ||
                     (!state.software.empty() && state.software != software);
    state.software = software;
  }
  return count;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 3) {
    return 2;
  }
  auto log = review::record(argv[2]);
  auto options = review::site_options();
  options.gateways = 4;
  auto site = review::site(log, argv[1], options);
  auto servers = std::vector<std::shared_ptr<review::backend>>();
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
          const auto after = std::atoi(request.Get("Last-Event-Id").c_str());
          log.Write("server %s (%s): runs %s after event %d", self.id.c_str(),
                    self.software.c_str(), id.c_str(), after);
          answer.fields.emplace_back("Ebonythread-Request-Id", id);
          answer.fields.emplace_back("Ebonythread-Response-Seal", "seal." + id);
          answer.fields.emplace_back("Content-Type", "text/event-stream");
          answer.fields.emplace_back("Transfer-Encoding", "chunked");
          answer.stream = [software = self.software, after](const auto& send) {
            for (auto event = after + 1; event <= kEvents; ++event) {
              review::SleepFor(kEventSeconds);
              if (!send("id: " + std::to_string(event) + "\ndata: " + software +
                        " " + std::to_string(event) + "\n\n")) {
                return;
              }
            }
          };
          return answer;
        }));
    servers.back()->models = models;
    servers.back()->software = i % 2 == 0 ? "v2" : "v1";
    servers.back()->slots = 64;
    servers.back()->Listen();
  }
  site.Start();
  auto route =
      review::MakeRoute("r", "/draft/", "streaming", "s", 25000, 5000, 2);
  route.replace(route.find("\"resumable\":false"), 17, "\"resumable\":true");
  const auto config = review::MakeConfig(
      3, {route},
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
  review::SleepFor(6);

  const auto send = [&](int gateway, stream_state& state, double seconds,
                        const std::string& resumes) {
    const auto id = review::MakeId("c");
    const auto left =
        state.begun == 0
            ? kDeadlineMs
            : kDeadlineMs - static_cast<int>(1000 * (Now() - state.begun));
    auto request = review::MakeClientRequest("POST", "/draft/x", id, left);
    request.fields.emplace_back("Ebonythread-Model", "m0");
    request.fields.emplace_back("Ebonythread-Token-Counts", "1000,60");
    request.fields.emplace_back("Ebonythread-Prompt-Prefix",
                                "5c1e07a2:350," + id.substr(1) + ":650");
    request.body = "prompt";
    if (!resumes.empty()) {
      request.fields.emplace_back("Resumes", resumes);
      request.fields.emplace_back("Last-Event-Id",
                                  std::to_string(state.last_event));
    }
    if (state.begun == 0) {
      state.begun = Now();
      state.id = id;
    }
    const auto before = state.last_event;
    const auto answer =
        review::CallOnce(site.GetFront(gateway), request, seconds);
    const auto events = ReadEvents(answer.body, state);
    log.Write(
        "client: %s%s%s at edge-%d answered %d with %d events after %d, "
        "%s %s%s",
        id.c_str(), resumes.empty() ? "" : " takes up ", resumes.c_str(),
        gateway + 1, answer.status, events, before, state.software.c_str(),
        answer.Get("Retry-After").c_str(), answer.problem.c_str());
    return events;
  };
  // Streams that are broken off after about a second: by the kill, or else by
  // their clients.
  auto streams = std::vector<stream_state>(kStreams);
  auto threads = std::vector<std::thread>();
  for (auto i = 0; i < kStreams; ++i) {
    threads.emplace_back([&, i] { send(i % 2, streams[i], 2.0, ""); });
  }
  review::SleepFor(1.5);
  if (review::HasTrouble()) {
    const auto leader = site.FindLeader();
    if (leader < 0) {
      std::puts("no leader");
      for (auto& thread : threads) {
        thread.join();
      }
      return 2;
    }
    auto killed = std::vector<review::process*>{&site.get_gateways()[0],
                                                &site.get_gateways()[1]};
    if (!review::IsMilder()) {
      killed.push_back(
          &site.get_coordinators()[static_cast<std::size_t>(leader)]);
    }
    for (auto* item : killed) {
      site.Kill(*item);
    }
    review::SleepFor(1);
    for (auto* item : killed) {
      site.Spawn(*item, false);
    }
  }
  const auto back = Now();
  for (auto& thread : threads) {
    thread.join();
  }
  threads.clear();
  review::SleepUntil(back + kContactSeconds + 0.5);
  auto fresh = std::vector<stream_state>(kStreams);
  for (auto i = 0; i < kStreams; ++i) {
    threads.emplace_back([&, i] {
      auto& state = streams[i];
      state.goes_on =
          state.last_event > 0 && send(i % 4, state, 10, state.id) > 0;
    });
    threads.emplace_back(
        [&, i] { fresh[i].begins_anew = send(i % 4, fresh[i], 10, "") > 0; });
    review::SleepFor(0.1);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  auto taken_up = 0;
  auto went_on = 0;
  auto mixed = 0;
  auto began = 0;
  for (const auto& state : streams) {
    taken_up += state.last_event > 0 ? 1 : 0;
    went_on += state.goes_on ? 1 : 0;
    mixed += state.is_mixed ? 1 : 0;
  }
  for (const auto& state : fresh) {
    began += state.begins_anew ? 1 : 0;
  }
  char verdict[200];
  std::snprintf(verdict, sizeof(verdict),
                "of %d streams that clients took up again at machines in touch "
                "%d went on (%d joined from two versions); of %d new ones %d "
                "began",
                taken_up, went_on, mixed, kStreams, began);
  log.Write("%s", verdict);
  std::puts(verdict);
  if (taken_up < 12 || began < kStreams / 2) {
    return 2;
  }
  return 2 * went_on * kStreams < began * taken_up ? 1 : 0;
}
