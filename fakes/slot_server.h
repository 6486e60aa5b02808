#ifndef EBONY_FAKES_SLOT_SERVER_H_
#define EBONY_FAKES_SLOT_SERVER_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "core/ids.h"

namespace ebony {

// What a simulated backend server has room for.
struct server_room {
  std::size_t slots = 3;
  std::size_t waiting = 6;  // requests that may wait for a slot
  // Rejections in a second above which the server falls over; 0: any number.
  std::size_t max_rejections = 0;
};

// A backend server that runs as many requests at once as it has slots, lets
// some wait, and rejects the others. Too many rejections in a second make it
// fall over. Holds no clock and no connection.
class slot_server {
 public:
  // Identifies a request at this server.
  using request_number = std::size_t;
  enum class verdict { runs, waits, rejected, falls };

 private:
  server_room room_;
  std::deque<request_number> running_;
  std::deque<request_number> waiting_;
  std::deque<mono_time> rejections_;  // of the last second

 public:
  auto SetRoom(const server_room& room) -> void { room_ = room; }
  auto Accept(request_number request, mono_time now) -> verdict;
  // A request has run, or its caller has gone. Calls `on_start` for one that
  // has waited and runs now.
  auto End(request_number request,
           const std::function<void(request_number)>& on_start) -> void;
  // The server has fallen over, and holds nothing of before.
  auto Clear() -> void;
};

}  // namespace ebony

#endif  // EBONY_FAKES_SLOT_SERVER_H_
