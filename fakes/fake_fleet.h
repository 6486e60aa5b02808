#ifndef EBONY_FAKES_FAKE_FLEET_H_
#define EBONY_FAKES_FAKE_FLEET_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/worker_thread.h"
#include "fakes/fake_engine.h"

namespace ebony {

struct fake_fleet_options {
  std::vector<host_port> entries;  // HTTP addresses to announce to
  std::string backend_key;
  double loads_per_second = 1.6;
  unsigned loads_at_full_speed = 2;
  duration load_time = std::chrono::milliseconds(500);
  duration announce_interval = std::chrono::milliseconds(500);
  host_port admin_address;
};

// Hosts several fake engines, each on its own port. Each engine announces
// itself to two entries, and to the following ones when these do not answer.
//
// The admin address serves /report, and changes the engine `engine`, or all,
// with /restart, /leave and /faults.
class fake_fleet {
  struct hosted_engine {
    std::unique_ptr<fake_engine> engine;
    std::unique_ptr<http_server> server;
    mono_time next_announcement;
    // Index of the first entry to announce to; the second is the next one.
    std::size_t entry = 0;
  };

  fake_fleet_options options_;
  fake_weight_store store_;
  std::vector<hosted_engine> engines_;
  http_client client_;
  std::unique_ptr<http_server> admin_;
  std::atomic<bool> stopping_{false};
  worker_thread thread_;

  auto Run() -> void;
  auto Announce(hosted_engine& hosted) -> void;
  auto Post(const hosted_engine& hosted,
            std::size_t entry,
            const std::string& body) -> void;
  auto HandleAdminCall(const http_request& request,
                       const exchange_pointer& exchange) -> void;

 public:
  explicit fake_fleet(fake_fleet_options options);
  ~fake_fleet();

  // Adds an engine. Must be called before `Start`.
  auto Add(const fake_engine_options& options) -> fake_engine&;
  auto Start() -> void;
  auto Stop() -> void;
  // Returns the summed counters of all engines as JSON.
  auto RenderReport() -> std::string;
};

}  // namespace ebony

#endif  // EBONY_FAKES_FAKE_FLEET_H_
