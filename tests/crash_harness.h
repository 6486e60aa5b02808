#ifndef EBONY_TESTS_CRASH_HARNESS_H_
#define EBONY_TESTS_CRASH_HARNESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "entry/crash_guard.h"
#include "main/crash_desk.h"
#include "main/crash_uplink.h"

namespace ebony::testing {

struct crash_site_options {
  std::size_t gateways = 7;
  std::size_t relays = 0;  // 0: the gateways sync with the leader
  std::size_t servers = 12;
  double sound_rate = 90;  // requests a second
  double bad_rate = 6;
  // Segments in the second place that sound requests choose from.
  std::uint64_t subjects = 220;
  double lost_syncs = 0;  // share of the syncs whose answer is lost
  // Short requests without prompts, which are retried once. The bad one is one
  // request that comes again.
  bool is_plain = false;
  unsigned seed = 1;
};

// Gateways with real crash guards that share their records through relays and a
// leader, in simulated time. A request with the bad segment crashes the server
// that begins to run it; the server is back some seconds later.
class crash_site {
 public:
  // A prompt of three segments, the last of which is the request's own.
  struct prompt {
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    std::uint64_t own = 0;
    std::string host = "h";
  };
  static constexpr std::uint64_t kBadSegment = 0xbad;

 private:
  struct run_request {
    prompt content;
    request_suspects suspects;
    attempt_evidence evidence;
    std::size_t gateway = 0;
    std::uint64_t gateway_run = 0;
    mono_time begins;   // of the first event
    mono_time crashes;  // only of a bad one
    mono_time has_content;
    mono_time proves;
    mono_time ends;
    int attempt = 1;
    bool has_begun = false;
    bool is_proven = false;
  };
  struct waiting_request {
    prompt content;
    int attempt = 1;
    mono_time expires;
  };
  struct gateway {
    std::unique_ptr<crash_guard> guard;
    std::unique_ptr<crash_uplink> uplink;
    std::vector<waiting_request> waiting;
    mono_time next_sync;
    std::uint64_t run = 1;
    bool is_cut = false;
  };
  struct server {
    std::uint64_t run = 1;
    bool is_up = true;
    mono_time back_at;
    std::vector<run_request> running;
  };
  struct coordinator {
    std::unique_ptr<crash_desk> desk;
    mono_time next_sync;
  };

  crash_site_options options_;
  std::mt19937 random_;
  mono_time now_{std::chrono::hours(1)};
  std::vector<gateway> gateways_;
  std::vector<server> servers_;
  coordinator leader_;
  std::vector<coordinator> relays_;
  bool has_leader_ = true;
  std::uint64_t next_own_ = 1000000;
  std::uint64_t next_source_ = 1;

  auto IsDrawn(double probability) -> bool;
  auto Draw(int from, int to) -> duration;
  auto MakeCoordinator() -> coordinator;
  auto ResetGateway(gateway& item) -> void;
  auto SyncGateway(std::size_t number) -> void;
  auto SyncRelay(coordinator& relay) -> void;
  auto Send(std::size_t number, const prompt& content, int attempt) -> void;
  // Returns false if the guard rejects the request.
  auto TryToSend(std::size_t number, const prompt& content, int attempt)
      -> bool;
  auto MakeSoundPrompt() -> prompt;
  auto MakeBadPrompt() -> prompt;
  auto OnCrashed(run_request& request, server_run run) -> void;
  auto RetryWaiting(std::size_t number) -> void;
  auto GetServersUp() const -> std::vector<std::size_t>;
  auto RunServer(std::size_t number) -> void;
  auto CrashServer(std::size_t number) -> void;
  auto Step() -> void;

 public:
  explicit crash_site(const crash_site_options& options);

  // What sound requests came to. Those whose server crashed before they began
  // are left out.
  struct sound_counts {
    std::uint64_t sent = 0;
    std::uint64_t begun = 0;
    std::uint64_t rejected = 0;
  };

  // Rates from now on.
  auto SetRates(double sound, double bad) -> void;
  auto RunFor(duration time) -> void;
  // One request arrives. Returns false if it is rejected at once.
  auto Arrive(std::size_t gateway, const prompt& content) -> bool;
  // So many servers crash now, for a reason of their own.
  auto CrashServers(std::size_t count) -> void;
  auto StopLeader() -> void { has_leader_ = false; }
  // A leader without any record takes over.
  auto StartLeader() -> void;
  auto CutOff(std::size_t gateway, bool is_cut) -> void;
  auto RestartGateway(std::size_t number) -> void;

  // Servers crashed by bad requests, and bad requests that reached servers.
  std::uint64_t bad_crashes = 0;
  std::uint64_t bad_arrivals = 0;
  sound_counts sound;
  auto get_now() const -> mono_time { return now_; }
  auto get_guard(std::size_t number) -> crash_guard& {
    return *gateways_.at(number).guard;
  }
  auto get_leader() -> crash_desk& { return *leader_.desk; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_CRASH_HARNESS_H_
