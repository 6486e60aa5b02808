#ifndef EBONY_DRIVERS_HTTP_CLIENT_H_
#define EBONY_DRIVERS_HTTP_CLIENT_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/bounded_queue.h"
#include "core/ids.h"
#include "drivers/http_server.h"
#include "drivers/worker_thread.h"

// NOLINTBEGIN(readability-identifier-naming): names of libcurl.
using CURL = void;
using CURLM = void;
// NOLINTEND(readability-identifier-naming)

namespace ebony {

// How an exchange ended.
enum class transfer_result {
  completed,    // the whole response arrived
  not_sent,     // no byte of the request was sent, so it cannot have run
  interrupted,  // the connection broke or timed out after bytes were sent
  cancelled,
};

// Called from the client's thread.
struct http_callbacks {
  std::function<void(int status, const header_map& headers)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(transfer_result end, const std::string& reason)> on_end;
};

using transfer_id = strong_type<struct transfer_tag, std::uint64_t>;

struct http_call {
  std::string method = "POST";
  std::string url;
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  duration connect_timeout = std::chrono::milliseconds(1000);
  duration timeout = std::chrono::seconds(30);
  // False: the request must leave this process at most once. A reused
  // connection is then avoided, because libcurl sends a request again when a
  // reused connection turns out to be dead.
  bool allow_resend = true;
  http_callbacks callbacks;
};

// Concurrent HTTP calls on one thread with libcurl's multi interface.
class http_client {
  struct transfer;
  struct command {
    transfer_id id;
    std::shared_ptr<http_call> call;  // null: cancel
  };

  std::atomic<std::uint64_t> next_id_{1};
  CURLM* multi_;
  bounded_queue<command> commands_;
  std::atomic<bool> stopping_{false};
  std::map<transfer_id, std::unique_ptr<transfer>> transfers_;
  worker_thread thread_;

  auto Run() -> void;
  auto TakeCommands() -> void;
  auto Begin(transfer_id id, std::shared_ptr<http_call> call) -> void;
  auto ReapFinished() -> void;
  auto End(transfer_id id, transfer_result end, const std::string& reason)
      -> void;

 public:
  explicit http_client(std::size_t capacity);
  ~http_client();
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;

  auto Start() -> void;
  auto Stop() -> void;

  // Queues a call. When the ring is full `on_end` is called at once, from the
  // caller's thread, with `not_sent`.
  auto Call(http_call call) -> transfer_id;
  // Ends a call; its `on_end` still comes.
  auto Cancel(transfer_id id) -> void;
};

// One call that waits for its whole answer; for command-line tools.
struct http_response {
  int status = 0;  // 0: none came
  header_map headers;
  std::string body;
  transfer_result end = transfer_result::not_sent;
  std::string reason;
};
auto CallAndWait(http_client& client, http_call call) -> http_response;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_CLIENT_H_
