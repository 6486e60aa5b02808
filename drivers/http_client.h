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

// NOLINTBEGIN(readability-identifier-naming): names given by libcurl.
using CURL = void;
using CURLM = void;
// NOLINTEND(readability-identifier-naming)

namespace ebony {

// How a call ended.
enum class transfer_result {
  completed,  // the whole response arrived
  not_sent,   // no byte of the request was sent, so it cannot have run
  // The connection broke or timed out after bytes were sent, or what came is no
  // answer.
  interrupted,
  cancelled,
};

// Hooks of a call, called on the thread of the client.
struct http_callbacks {
  std::function<void(int status, const header_map& headers)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(transfer_result result, const std::string& reason)> on_end;
};

using transfer_id = strong_type<struct transfer_tag, std::uint64_t>;

// Which connection a call uses. An answer does not say which request it is for;
// only its place on the connection does.
enum class connection_use {
  // A new connection, closed after the call. No answer to an earlier call can
  // arrive on it, and libcurl never sends the request twice. For peers that may
  // answer a request twice, as backend servers may, and for requests that may
  // run only once.
  own,
  // A connection kept from an earlier call if there is one, and kept after this
  // one. Only for peers that answer each request once and in order, as
  // http_server does. libcurl sends the request again when the kept connection
  // turns out to be closed.
  kept,
};

// A request to send.
struct http_call {
  std::string method = "POST";
  std::string url;
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  duration connect_timeout = std::chrono::milliseconds(1000);
  duration timeout = std::chrono::seconds(30);
  connection_use connection = connection_use::own;
  http_callbacks callbacks;
};

// An HTTP client. Runs concurrent calls on one thread, with the multi interface
// of libcurl.
class http_client {
  struct transfer;
  struct command {
    transfer_id id;
    std::shared_ptr<http_call> call;  // null to cancel
  };

  std::atomic<std::uint64_t> next_id_{1};
  CURLM* multi_;
  bounded_queue<command> commands_;
  std::atomic<bool> stopping_{false};
  std::map<transfer_id, std::unique_ptr<transfer>> transfers_;
  worker_thread thread_;

  auto Run() -> void;
  auto RunCommands() -> void;
  auto StartTransfer(transfer_id id, std::shared_ptr<http_call> call) -> void;
  auto ReapFinished() -> void;
  auto FinishTransfer(transfer_id id,
                      transfer_result result,
                      const std::string& reason) -> void;

 public:
  // `capacity` is the number of calls and cancellations that can be queued.
  explicit http_client(std::size_t capacity);
  ~http_client();
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;

  auto Start() -> void;
  // Stops the thread. Unfinished calls get no `on_end`.
  auto Stop() -> void;

  // Queues a call. When the queue is full, `on_end` is called with `not_sent`
  // before this method returns.
  auto Call(http_call call) -> transfer_id;
  // Cancels a call. Its `on_end` is called with `cancelled`, unless the call
  // has finished.
  auto Cancel(transfer_id id) -> void;
};

// Result of CallAndWait. A response that broke off counts as none.
struct http_response {
  int status = 0;  // 0 when there is no complete response
  header_map headers;
  std::string body;
  transfer_result end = transfer_result::not_sent;
  std::string reason;
};
// Runs a call and blocks until it has ended. For command-line tools.
auto CallAndWait(http_client& client, http_call call) -> http_response;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_CLIENT_H_
