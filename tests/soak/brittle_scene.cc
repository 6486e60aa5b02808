#include "tests/soak/brittle_scene.h"

#include <algorithm>
#include <sstream>

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kGateways = 7;
constexpr int kServers = 12;
constexpr std::size_t kSlots = 3;
constexpr std::size_t kWaiting = 6;
constexpr std::size_t kWaitingWhileBrittle = 1;
constexpr std::size_t kMaxRejections = 5;  // in a second
constexpr duration kWork = milliseconds(200);
// Above the time that a request waits at a server with all its room taken.
constexpr int kTargetMs = 600;
// 1.67 times what the servers can run.
constexpr duration kArrivalInterval = std::chrono::microseconds(3333);
constexpr duration kLightInterval = std::chrono::milliseconds(10);
constexpr duration kFallTime = milliseconds(3000);

// Times from the start of the load.
constexpr duration kFirstWord = seconds(4);
constexpr duration kBrittle = kFirstWord + seconds(3);
constexpr duration kLastWord = kFirstWord + seconds(18);
constexpr duration kRecovered = kLastWord + seconds(1);
constexpr duration kEnd = kLastWord + seconds(5);

// Falls in one time in which the servers say that they are brittle.
constexpr int kMaxFalls = 1;
constexpr int kMaxFallsWithFaults = 2;

// Returns the value, in ms, below which this share of the values lies.
auto GetQuantile(std::vector<duration> values, double share) -> std::int64_t {
  if (values.empty()) {
    return 0;
  }
  const auto at = values.begin() +
                  static_cast<long>(share * static_cast<double>(values.size()));
  std::nth_element(values.begin(), at, values.end());
  return std::chrono::duration_cast<milliseconds>(*at).count();
}

}  // namespace

brittle_scene::brittle_scene(const std::string& program_dir,
                             std::uint64_t seed,
                             brittle_scene_options options)
    : options_(options),
      random_(seed),
      site_(program_dir,
            seed,
            {kGateways, kServers, static_cast<int>(kSlots), kTargetMs}),
      servers_(kServers) {}

auto brittle_scene::GetPhase() -> std::string {
  const auto age = site_.get_loop().get_now() - start_;
  if (age < kFirstWord) {
    return "1 before";
  }
  if (age < kBrittle) {
    return "2 told";
  }
  if (age < kLastWord) {
    return "3 brittle";
  }
  return age < kRecovered ? "4 the second after" : "5 later";
}

auto brittle_scene::IsBrittle() -> bool {
  const auto age = site_.get_loop().get_now() - start_;
  return age >= kFirstWord && age < kLastWord;
}

auto brittle_scene::UpdateRoom() -> void {
  const auto age = site_.get_loop().get_now() - start_;
  const auto is_short = age >= kBrittle && age < kLastWord;
  auto room = server_room();
  room.slots = kSlots;
  room.waiting = is_short ? kWaitingWhileBrittle : kWaiting;
  room.max_rejections = is_short ? kMaxRejections : 0;
  for (auto& server : servers_) {
    server.slots.SetRoom(room);
  }
}

auto brittle_scene::OnServerCall(std::size_t server,
                                 const incoming_request& call,
                                 const response_pointer& answer) -> void {
  auto& state = servers_[server];
  const auto* id = call.head.Find("Ebonythread-Request-Id");
  auto head = http_head();
  head.status = 200;
  head.fields = {{"Ebonythread-Request-Id", id == nullptr ? "" : *id}};
  if (IsBrittle()) {
    head.fields.push_back({"Server-Brittle", std::to_string(kMaxRejections)});
  }
  const auto request = ++next_request_;
  const auto verdict = state.slots.Accept(request, site_.get_loop().get_now());
  switch (verdict) {
    case slot_server::verdict::rejected:
      head.status = 503;
      head.fields.push_back({"Ebonythread-Not-Run", "1"});
      answer->Respond(head, {});
      return;
    case slot_server::verdict::falls:
      FallOver(server);
      return;
    case slot_server::verdict::runs:
    case slot_server::verdict::waits:
      break;
  }
  head.fields.push_back({"Ebonythread-Response-Seal", "seal"});
  held_[request] = {server, answer, std::move(head)};
  answer->SetOnDisconnect([this, request] { EndRun(request, false); });
  if (verdict == slot_server::verdict::runs) {
    StartRun(request);
  }
}

auto brittle_scene::StartRun(std::size_t request) -> void {
  site_.get_loop().AddTimerIn(kWork,
                              [this, request] { EndRun(request, true); });
}

auto brittle_scene::EndRun(std::size_t request, bool is_answered) -> void {
  const auto found = held_.find(request);
  if (found == held_.end()) {
    return;  // its server has fallen over, or its caller has gone
  }
  const auto held = std::move(found->second);
  held_.erase(found);
  if (is_answered) {
    held.answer->Respond(held.head, "body");
  }
  servers_[held.server].slots.End(request,
                                  [this](std::size_t next) { StartRun(next); });
}

auto brittle_scene::FallOver(std::size_t server) -> void {
  auto& state = servers_[server];
  state.is_up = false;
  ++state.falls;
  state.slots.Clear();
  std::erase_if(held_, [server](const auto& item) {
    return item.second.server == server;
  });
  site_.StopServer(server);
  site_.get_loop().AddTimerIn(kFallTime, [this, server] {
    servers_[server].is_up = true;
    site_.RestartServer(server);
  });
}

auto brittle_scene::SendRequest() -> void {
  const auto gateway = random_() % kGateways;
  if (!site_.IsUp(gateway)) {
    return;  // callers are told not to use it
  }
  const auto number = ++next_arrival_;
  const auto path = options_.is_alike ? "x" : "x" + std::to_string(number);
  const auto phase = GetPhase();
  const auto sent_at = site_.get_loop().get_now();
  ++phases_[phase].sent;
  site_.SendToGateway(
      gateway,
      "GET /idempotent/" + path +
          " HTTP/1.1\r\nHost: h\r\nEbonythread-Request-Id: r" +
          std::to_string(number) + "\r\nEbonythread-Deadline-Ms: 1500\r\n\r\n",
      [this, phase, sent_at, gateway](const http_head& head,
                                      const std::string&) {
        auto& counts = phases_[phase];
        if (head.status == 200) {
          ++counts.served;
          counts.served_times.push_back(site_.get_loop().get_now() - sent_at);
        } else if (head.status == 503) {
          ++counts.rejected;
          counts.rejection_times.push_back(site_.get_loop().get_now() -
                                           sent_at);
        } else if (site_.IsUp(gateway)) {
          ++counts.failed;
        }
      });
}

auto brittle_scene::InjectFaults() -> void {
  auto& loop = site_.get_loop();
  loop.AddTimerIn(kBrittle + seconds(2),
                  [this] { site_.KillGateway(0, milliseconds(500)); });
  loop.AddTimerIn(kBrittle + seconds(5),
                  [this] { site_.FreezeGateway(1, milliseconds(2500)); });
  loop.AddTimerIn(kBrittle + seconds(10),
                  [this] { site_.KillGateway(2, milliseconds(500)); });
}

auto brittle_scene::Run() -> void {
  site_.SetServerHandler([this](std::size_t server,
                                const incoming_request& call,
                                const response_pointer& answer) {
    OnServerCall(server, call, answer);
  });
  site_.Start();
  auto& loop = site_.get_loop();
  site_.AwaitConfig();
  start_ = loop.get_now();
  if (options_.has_faults) {
    InjectFaults();
  }
  auto next = start_;
  last_tick_ = start_;
  RepeatEvery(loop, milliseconds(1), [this, &loop, &next] {
    longest_pause_ =
        std::max(longest_pause_, duration(loop.get_now() - last_tick_));
    last_tick_ = loop.get_now();
    UpdateRoom();
    while (next <= loop.get_now() && loop.get_now() - start_ < kEnd) {
      next += options_.is_light ? kLightInterval : kArrivalInterval;
      SendRequest();
    }
  });
  const auto end = start_ + kEnd + seconds(3);
  loop.Run([&] { return loop.get_now() >= end; });
  Check();
}

auto brittle_scene::CountFalls() const -> int {
  auto sum = 0;
  for (const auto& server : servers_) {
    sum += server.falls;
  }
  return sum;
}

auto brittle_scene::Check() -> void {
  const auto max_falls = options_.has_faults ? kMaxFallsWithFaults : kMaxFalls;
  if (CountFalls() > max_falls) {
    site_.Report("brittle servers fell over " + std::to_string(CountFalls()) +
                 " times; allowed " + std::to_string(max_falls));
  }
  for (const auto& [phase, counts] : phases_) {
    if (counts.failed > 0 && !options_.has_faults) {
      site_.Report(std::to_string(counts.failed) + " failures in phase " +
                   phase);
    }
    if (counts.served == 0) {
      site_.Report("nothing was served in phase " + phase);
    }
  }
}

auto brittle_scene::Describe() const -> std::string {
  auto out = std::ostringstream();
  out.precision(3);
  out << CountFalls() << " falls, callers and servers paused for at most "
      << std::chrono::duration_cast<milliseconds>(longest_pause_).count()
      << " ms";
  for (const auto& [phase, counts] : phases_) {
    out << "\n  " << phase << ": " << counts.sent << " sent, "
        << static_cast<double>(counts.served) / std::max(1, counts.sent)
        << " served (" << GetQuantile(counts.served_times, 0.5) << ", "
        << GetQuantile(counts.served_times, 0.99) << " ms), " << counts.rejected
        << " rejected after " << GetQuantile(counts.rejection_times, 0.5)
        << " ms (median), " << counts.failed << " failed";
  }
  return out.str();
}

}  // namespace ebony::testing
