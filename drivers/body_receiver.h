#ifndef EBONY_DRIVERS_BODY_RECEIVER_H_
#define EBONY_DRIVERS_BODY_RECEIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "drivers/body_account.h"

namespace ebony {

enum class body_result {
  stored,
  too_large,  // over the limit of one body
  no_memory,  // the account has no room for it
  evicted,    // made no progress, and others needed its memory
};

class body_receiver;

// A request body. It is charged until it is destroyed.
class received_body {
  friend class body_receiver;

  struct shared_account;

  std::shared_ptr<shared_account> account_;
  body_id id_;
  int socket_;
  std::string bytes_;
  std::uint64_t charged_bytes_ = 0;
  bool is_evicted_ = false;

 public:
  received_body(std::shared_ptr<shared_account> account,
                body_id id,
                int socket);
  ~received_body();
  received_body(const received_body&) = delete;
  auto operator=(const received_body&) -> received_body& = delete;
};

using body_pointer = std::shared_ptr<received_body>;

struct body_receiver_options {
  body_account_options account;
  std::uint64_t max_body_bytes = 0;
  // The whole response to a caller whose body is evicted.
  std::string evicted_answer;
  // Called with the reason when a body is turned away. May be empty.
  std::function<void(std::string_view)> on_turned_away;
};

// Takes in the request bodies of all connections of a server, within one
// account. All methods may be called from any thread.
class body_receiver {
  body_receiver_options options_;
  std::shared_ptr<received_body::shared_account> account_;

  // The methods below need the lock of the account.
  auto ChargeLocked(received_body& body, std::uint64_t bytes) -> bool;
  auto EvictLocked(body_id id) -> void;
  auto TurnAway(body_result result) -> body_result;

 public:
  explicit body_receiver(body_receiver_options options);

  // A body whose bytes come from a connection's socket. It has to end before
  // the socket is closed.
  auto Begin(int socket) -> body_pointer;
  // Charges an announced length before any byte of it is read.
  auto Announce(received_body& body, std::uint64_t bytes) -> body_result;
  auto Append(received_body& body, std::string_view bytes) -> body_result;
  // Returns the bytes of a whole body; nothing if it was evicted. The body
  // stays charged.
  auto Take(received_body& body) -> std::optional<std::string>;
  // Ends the reception of a body, whole or not.
  auto End(received_body& body) -> void;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_BODY_RECEIVER_H_
