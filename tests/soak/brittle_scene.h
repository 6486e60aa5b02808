#ifndef EBONY_TESTS_SOAK_BRITTLE_SCENE_H_
#define EBONY_TESTS_SOAK_BRITTLE_SCENE_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "fakes/slot_server.h"
#include "tests/soak/soak_site.h"

namespace ebony::testing {

struct brittle_scene_options {
  bool is_alike = false;    // the requests have one path, caller and body
  bool has_faults = false;  // gateways are killed and frozen meanwhile
  bool is_light = false;    // the load is about half of what the servers run
};

// A load above what a service can run, while its servers say that they fall
// over if they have to reject many requests. Checks that few do, that what fits
// is served, and that nobody is told that a request may have run, or crashes
// servers.
class brittle_scene {
  struct answer_counts {
    int sent = 0;
    int served = 0;
    int rejected = 0;
    int failed = 0;  // any other answer, or none
    std::vector<duration> rejection_times;
    std::vector<duration> served_times;
  };
  struct held_request {
    std::size_t server = 0;
    response_pointer answer;
    http_head head;
  };
  struct server_state {
    slot_server slots;
    bool is_up = true;
    int falls = 0;
  };

  brittle_scene_options options_;
  std::mt19937_64 random_;
  soak_site site_;
  std::vector<server_state> servers_;
  std::map<std::size_t, held_request> held_;
  std::size_t next_request_ = 0;
  std::size_t next_arrival_ = 0;
  mono_time start_;
  mono_time last_tick_;
  // The longest time in which this process, which plays callers and servers,
  // was not given the processor.
  duration longest_pause_{0};
  std::map<std::string, answer_counts> phases_;

  auto GetPhase() -> std::string;
  auto IsBrittle() -> bool;
  // Sets what the servers have room for now.
  auto UpdateRoom() -> void;
  auto OnServerCall(std::size_t server,
                    const incoming_request& call,
                    const response_pointer& answer) -> void;
  auto StartRun(std::size_t request) -> void;
  auto EndRun(std::size_t request, bool is_answered) -> void;
  auto FallOver(std::size_t server) -> void;
  auto SendRequest() -> void;
  auto InjectFaults() -> void;
  auto Check() -> void;

 public:
  brittle_scene(const std::string& program_dir,
                std::uint64_t seed,
                brittle_scene_options options);

  auto Run() -> void;
  auto CountFalls() const -> int;
  auto Describe() const -> std::string;
  auto get_violations() const -> const std::vector<std::string>& {
    return site_.get_violations();
  }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_SOAK_BRITTLE_SCENE_H_
