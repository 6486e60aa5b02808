#include "main/run_verifier.h"

#include <utility>

#include "drivers/connection_check.h"

namespace ebony {

namespace {

// A server that takes longer to accept is alive or cut off.
constexpr duration kCheckTimeLimit = std::chrono::milliseconds(250);
// Ended runs that are remembered.
constexpr std::size_t kMaxEnded = 4096;
// Time for which a server that ended is not asked to confirm.
constexpr duration kRestartTime = std::chrono::seconds(2);

}  // namespace

run_verifier::run_verifier(event_loop& loop,
                           event_log& log,
                           metrics& counters,
                           confirmation confirm)
    : loop_(loop),
      log_(log),
      metrics_(counters),
      confirm_(std::move(confirm)) {}

auto run_verifier::OnRefused(const backend_name& id, server_run run) -> void {
  const auto now = loop_.get_now();
  std::erase_if(ended_servers_, [now](const auto& item) {
    return now - item.second > kRestartTime;
  });
  auto except = std::set<backend_name>{id};
  for (const auto& [name, time] : ended_servers_) {
    except.insert(name);
  }
  confirm_(except, [this, id, run](bool reaches_other) {
    if (!reaches_other) {
      metrics_.Count("ebony_unconfirmed_ends_total");
      log_.Write(event_category::state, "end_unconfirmed",
                 {{"backend", id.get()}});
    }
    OnChecked(id, run, reaches_other);
  });
}

auto run_verifier::OnChecked(const backend_name& id,
                             server_run run,
                             bool has_ended) -> void {
  if (has_ended) {
    if (ended_.size() >= kMaxEnded) {
      ended_.clear();
    }
    ended_.insert(run);
    ended_servers_[id] = loop_.get_now();
    metrics_.Count("ebony_ended_servers_total");
    log_.Write(event_category::state, "server_ended", {{"backend", id.get()}});
  }
  const auto found = checks_.find(run);
  const auto callbacks = std::move(found->second);
  checks_.erase(found);
  for (const auto& callback : callbacks) {
    callback(has_ended);
  }
}

auto run_verifier::Verify(const backend_name& id,
                          const host_port& address,
                          server_run run,
                          done_callback on_done) -> void {
  if (ended_.contains(run)) {
    on_done(true);
    return;
  }
  const auto [check, is_new] = checks_.try_emplace(run);
  check->second.push_back(std::move(on_done));
  if (!is_new) {
    return;
  }
  CheckConnection(loop_, address, kCheckTimeLimit,
                  [this, id, run](connection_state state) {
                    if (state == connection_state::refused) {
                      OnRefused(id, run);
                    } else {
                      OnChecked(id, run, false);
                    }
                  });
}

}  // namespace ebony
