#ifndef EBONY_MAIN_GATEWAY_DAEMON_H_
#define EBONY_MAIN_GATEWAY_DAEMON_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_listener.h"
#include "drivers/http_pool.h"
#include "entry/pending_queue.h"
#include "entry/retry_allowance.h"
#include "entry/route_table.h"
#include "entry/server_selector.h"
#include "main/gateway_link.h"
#include "main/proxy_session.h"
#include "main/registry_replica.h"

namespace ebony {

// A gateway: callers connect to it, and it relays their requests to backend
// servers. One thread carries requests from end to end; logs have their own.
class gateway_daemon {
  site_settings settings_;
  event_loop& loop_;
  event_log& log_;
  metrics& metrics_;
  std::mt19937_64 random_;
  http_pool pool_;
  registry_replica roster_;
  server_selector board_;
  retry_allowance repeats_;
  pending_queue<proxy_session> waiting_;
  std::map<demand_key, demand_count> demand_;
  route_table_pointer table_;
  incarnation run_;
  proxy_context context_;
  gateway_link link_;
  std::set<std::weak_ptr<proxy_session>,
           std::owner_less<std::weak_ptr<proxy_session>>>
      sessions_;
  struct early_call {
    incoming_request call;
    response_pointer answer;
    mono_time until;
  };
  std::vector<early_call> early_;
  bool room_is_due_ = false;
  bool is_draining_ = false;
  mono_time drain_began_;
  bool is_drained_ = false;
  std::unique_ptr<http_listener> callers_;
  std::unique_ptr<http_listener> readiness_;

  auto MakeContext() -> proxy_context;
  auto MakeRequest() -> schema::sync_request;
  auto OnSyncAnswer(const schema::sync_answer& answer) -> void;
  auto TakeConfig(const schema::sync_answer& answer) -> void;
  auto TakeRoster(const schema::sync_answer& answer) -> void;
  auto OnBackendKnown(const backend_record& record, mono_time now) -> void;
  auto OnCall(incoming_request call, const response_pointer& answer) -> void;
  auto Relay(incoming_request call,
             caller_terms terms,
             const response_pointer& answer) -> void;
  // Keeps calls that come before the first configuration, for a moment.
  auto HoldEarly(incoming_request call, const response_pointer& answer) -> void;
  auto ReleaseEarly() -> void;
  auto RefuseCall(const caller_terms& terms,
                  error_kind kind,
                  int status,
                  const response_pointer& answer) -> void;
  auto ScheduleRoom() -> void;
  auto RunWaiting() -> void;
  auto TickDrain() -> void;
  auto is_ready() const -> bool;

 public:
  gateway_daemon(site_settings settings,
                 event_loop& loop,
                 event_log& log,
                 metrics& counters);

  auto Start() -> void;
  // Begins a planned stop: not ready at once, serves on while callers may
  // still hold its address, finishes what is under way.
  auto Drain() -> void;
  auto Reload(const site_settings& settings) -> void;
  auto is_drained() const -> bool { return is_drained_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_GATEWAY_DAEMON_H_
