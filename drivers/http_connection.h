#ifndef EBONY_DRIVERS_HTTP_CONNECTION_H_
#define EBONY_DRIVERS_HTTP_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/memory_account.h"
#include "core/memory_reclaim.h"
#include "drivers/http_listener.h"
#include "drivers/http_message.h"
#include "drivers/stream_socket.h"

namespace ebony {

// Remembers when a socket last sent something.
class send_progress {
  std::uint64_t sent_bytes_ = 0;
  mono_time last_;

 public:
  // Returns the time at which bytes were seen to be sent.
  auto Update(const stream_socket& socket, mono_time now) -> mono_time;
};

// A connection of a caller. Handles one request at a time, in order.
class http_connection : public std::enable_shared_from_this<http_connection> {
  http_listener& listener_;
  std::shared_ptr<caller_guard> guard_;  // may be null
  std::shared_ptr<stream_socket> socket_;
  std::unique_ptr<http_reader> reader_;
  incoming_request request_;
  std::string unparsed_;              // received bytes
  mono_time unparsed_arrived_after_;  // of the first of them, if they waited
  response_pointer response_;         // null while no request is being handled
  bool is_closing_ = false;
  bool wants_keep_alive_ = true;
  bool has_head_ = false;
  bool is_parsing_ = false;
  std::uint64_t max_body_bytes_ = 0;  // of the request that is received
  bool is_too_large_ = false;
  timer_id timer_;

  // What the connection and its request hold.
  std::uint64_t member_ = 0;  // of the guard; 0: none
  memory_charge connection_charge_;
  memory_charge request_charge_;
  std::uint64_t head_room_ = 0;
  std::uint64_t body_room_ = 0;    // drawn for the body and its copies
  std::uint64_t wanted_room_ = 0;  // more than `body_room_`: has to be drawn
  bool is_waiting_ = false;        // for memory
  bool is_complete_ = false;       // the request has been received in full
  std::uint64_t next_mark_ = 0;    // size of the body that is progress
  mono_time last_progress_;
  send_progress sent_;

  auto ExpectRequest() -> void;
  auto OnHead(http_head head) -> void;
  auto OnBody(std::string_view bytes) -> void;
  auto StartTimer(duration delay, std::function<void()> action) -> void;
  auto StartIdleTimer() -> void;
  auto Reject(int status) -> void;
  auto OnBytes(std::string_view bytes) -> void;
  // Handles what has been received, one request after another.
  auto ParseRequests(std::string_view fresh) -> void;
  // Parses the bytes after the first `used`, to which it adds its own. Returns
  // false unless a whole request has been passed on.
  auto ParseRequest(std::string_view input, std::size_t& used) -> bool;
  // Returns the status that ends a request which cannot be handled.
  auto GetRejection(parse_status status) const -> std::optional<int>;
  auto HandleRequest() -> void;
  auto OnDisconnect() -> void;
  auto CloseConnection() -> void;

  // Keeps received bytes that are needed again, if there is memory for them.
  auto KeepUnparsed(std::string_view rest) -> void;
  auto CountUnparsed() -> void;
  // Draws memory for the request's body. Returns false if there is none.
  auto DrawBody(std::uint64_t room) -> bool;
  auto GrowBody(std::uint64_t needed) -> void;
  // Stops reading until there is memory, or refuses the request.
  auto AwaitMemory() -> void;
  auto RetryMemory() -> bool;
  auto RefuseForMemory() -> void;
  auto RecordProgress() -> void;
  auto GetHolding() -> caller_holding;
  auto TurnAway(reclaim_reason reason) -> void;
  auto JoinGuard(client_address client) -> void;

 public:
  explicit http_connection(http_listener& listener);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  auto operator=(const http_connection&) -> http_connection& = delete;

  auto Start(int fd) -> void;
  auto Send(std::string_view bytes) -> void;
  auto get_unsent_bytes() const -> std::size_t {
    return socket_->get_unsent_bytes();
  }
  auto ClosesAfterResponse() const -> bool {
    return !wants_keep_alive_ || listener_.options_.is_closing();
  }
  // Called when the current response is final.
  auto OnResponseFinal(bool keeps_open) -> void;
  auto Close() -> void;
  auto is_idle() const -> bool {
    return response_ == nullptr && request_.received_at == mono_time();
  }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_CONNECTION_H_
