#ifndef EBONY_DRIVERS_HTTP_POOL_H_
#define EBONY_DRIVERS_HTTP_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "drivers/answer_matcher.h"
#include "drivers/event_loop.h"
#include "drivers/http_message.h"
#include "drivers/stream_socket.h"

namespace ebony {

// Why a call failed.
enum class call_failure {
  refused,             // no connection: the peer's VM rejected it
  unanswered,          // no connection within the time limit
  not_sent,            // connected, but no byte was sent
  interrupted,         // bytes were sent, so the call may have run
  malformed_response,  // it is not valid HTTP, or its status is none
};

// Returns true if no byte was sent, so that the call cannot have run.
auto IsUnsent(call_failure failure) -> bool;

// Hooks of a call. Either `on_complete` or `on_failed` is called once.
struct call_hooks {
  // A new connection was made for this call. May be empty.
  std::function<void()> on_connected;
  std::function<void(const http_head&)> on_head;
  // A response to another call has arrived and is skipped. May be empty.
  std::function<void(const http_head&)> on_foreign_head;
  std::function<void(std::string_view)> on_body;
  std::function<void()> on_complete;
  std::function<void(call_failure)> on_failed;
};

struct call_options {
  duration connect_timeout = std::chrono::milliseconds(500);
  // How the response is told from those to other calls. By default and without
  // an id, the call has a connection of its own.
  call_id id;
  answer_matching matching = answer_matching::by_id;
  // A pooled connection that has been idle for longer is not used for this
  // call.
  duration max_idle_time = std::chrono::seconds(1);
  // The call fails with `malformed_response` if the body of its response is
  // longer, in bytes.
  std::uint64_t max_body_bytes = std::uint64_t{64} * 1024;
  // Asked right before bytes of the call are sent; may be empty. The call fails
  // if it returns false: with `not_sent` if no byte was sent before.
  std::function<bool()> may_send;
};

// The connection that a call uses, for log lines.
struct call_path {
  std::uint64_t connection = 0;     // counted from 1, as the pool opened them
  std::uint64_t earlier_calls = 0;  // on this connection
};

class pooled_connection;

// Handle of a call in flight. Destroying it does not cancel the call.
class pooled_call {
  std::weak_ptr<pooled_connection> connection_;
  call_path path_;

 public:
  pooled_call(std::weak_ptr<pooled_connection> connection, call_path path);

  auto get_path() const -> const call_path& { return path_; }

  // Cancels the call, unless it has ended, by closing its connection. No hook
  // is called any more.
  auto Cancel() -> void;
  // As `Cancel`, but what the peer has not received yet is dropped: it must not
  // arrive after the caller has given up.
  auto CancelAndReset() -> void;
  // The same if no byte of the call has been sent. Returns whether it has been
  // cancelled.
  auto CancelIfUnsent() -> bool;
};

// Options for calls to processes of this system.
auto MakeLinkOptions() -> call_options;

// Returns the id of the call that a response names as its own; empty: none.
using answered_id_reader = std::function<call_id(const http_head&)>;

// Runs HTTP/1.1 calls on persistent connections, one call at a time on each. A
// call is sent at most once: the pool never retries it. An `answer_matcher` of
// each connection decides which responses the hooks of a call get to see.
class http_pool {
  event_loop& loop_;
  answered_id_reader get_answered_id_;
  std::map<host_port, std::vector<std::shared_ptr<pooled_connection>>> idle_;
  std::set<std::shared_ptr<pooled_connection>> busy_;
  std::uint64_t opened_connections_ = 0;

  friend class pooled_connection;

  auto TakeIdle(const host_port& address, const call_options& options)
      -> std::shared_ptr<pooled_connection>;
  auto AddIdle(const std::shared_ptr<pooled_connection>& connection) -> void;
  auto RemoveIdle(const std::shared_ptr<pooled_connection>& connection) -> void;

 public:
  http_pool(event_loop& loop, answered_id_reader get_answered_id);

  // Starts a call on an idle connection, or on a new one. `bytes` is the
  // complete serialized request.
  auto Start(const host_port& address,
             std::string bytes,
             bool is_head_request,
             const call_options& options,
             call_hooks hooks) -> std::unique_ptr<pooled_call>;
  // Closes the idle connections to an address.
  auto CloseIdle(const host_port& address) -> void;
  // Number of connections opened since the start.
  auto get_opened_connections() const -> std::uint64_t {
    return opened_connections_;
  }
};

// Serializes a POST request, for calls between processes of this system.
auto RenderPost(const std::string& target,
                const host_port& address,
                const std::string& body) -> std::string;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_POOL_H_
