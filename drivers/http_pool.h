#ifndef EBONY_DRIVERS_HTTP_POOL_H_
#define EBONY_DRIVERS_HTTP_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "drivers/event_loop.h"
#include "drivers/http_message.h"
#include "drivers/stream_socket.h"

namespace ebony {

enum class call_failure {
  not_sent,            // no byte was sent, so the call cannot have run
  interrupted,         // bytes were sent, so the call may have run
  malformed_response,  // the response is not valid HTTP
};

struct call_hooks {
  // Returns false for an answer to somebody else's request, which is skipped.
  std::function<bool(const http_head&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_complete;
  std::function<void(call_failure)> on_failed;
};

struct call_options {
  duration connect_timeout = std::chrono::milliseconds(500);
  // A kept connection that was idle for longer is not used for this call.
  duration max_idle_time = std::chrono::seconds(1);
};

class pooled_connection;

// One call under way. Dropping the handle does not end it; `Cancel` does.
class pooled_call {
  std::weak_ptr<pooled_connection> connection_;

 public:
  explicit pooled_call(std::weak_ptr<pooled_connection> connection);

  // Closes the call's connection. No hook is called any more.
  auto Cancel() -> void;
};

// HTTP/1.1 calls over kept connections, one call at a time on each. A call is
// sent once: it is never repeated here, whatever happens to its connection.
class http_pool {
  event_loop& loop_;
  std::map<host_port, std::vector<std::shared_ptr<pooled_connection>>> idle_;
  std::set<std::shared_ptr<pooled_connection>> busy_;
  std::uint64_t opened_ = 0;

  friend class pooled_connection;

  auto TakeIdle(const host_port& address, duration max_idle_time)
      -> std::shared_ptr<pooled_connection>;
  auto Keep(const std::shared_ptr<pooled_connection>& connection) -> void;
  auto Remove(const std::shared_ptr<pooled_connection>& connection) -> void;

 public:
  explicit http_pool(event_loop& loop);

  // `bytes` is the whole serialized request.
  auto Start(const host_port& address,
             std::string bytes,
             bool is_head_request,
             const call_options& options,
             call_hooks hooks) -> std::unique_ptr<pooled_call>;
  // Closes the idle connections to an address.
  auto CloseIdle(const host_port& address) -> void;
  auto get_opened() const -> std::uint64_t { return opened_; }
};

// Makes a POST with a body for calls between the system's own processes.
auto RenderPost(const std::string& target,
                const host_port& address,
                const std::string& body) -> std::string;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_POOL_H_
