#include "fakes/slot_server.h"

#include <algorithm>

namespace ebony {

auto slot_server::Accept(request_number request, mono_time now) -> verdict {
  if (running_.size() < room_.slots) {
    running_.push_back(request);
    return verdict::runs;
  }
  if (waiting_.size() < room_.waiting) {
    waiting_.push_back(request);
    return verdict::waits;
  }
  constexpr auto kWindow = std::chrono::seconds(1);
  while (!rejections_.empty() && now - rejections_.front() >= kWindow) {
    rejections_.pop_front();
  }
  rejections_.push_back(now);
  const auto is_brittle = room_.max_rejections > 0;
  return is_brittle && rejections_.size() > room_.max_rejections
             ? verdict::falls
             : verdict::rejected;
}

auto slot_server::End(request_number request,
                      const std::function<void(request_number)>& on_start)
    -> void {
  std::erase(waiting_, request);
  const auto was_running = std::erase(running_, request) > 0;
  if (!was_running || waiting_.empty()) {
    return;
  }
  const auto next = waiting_.front();
  waiting_.pop_front();
  running_.push_back(next);
  on_start(next);
}

auto slot_server::Clear() -> void {
  running_.clear();
  waiting_.clear();
  rejections_.clear();
}

}  // namespace ebony
