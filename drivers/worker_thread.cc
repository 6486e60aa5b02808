#include "drivers/worker_thread.h"

#include <utility>

#include "core/error_kind.h"

namespace ebony {

worker_thread::worker_thread(std::function<void()> body)
    : body_(std::move(body)) {}

auto worker_thread::Start() -> void {
  if (activate(THR_NEW_LWP | THR_JOINABLE, 1) != 0) {
    throw ebony_error(error_kind::internal, "cannot start a thread");
  }
}

auto worker_thread::Join() -> void {
  wait();
}

auto worker_thread::svc() -> int {
  body_();
  return 0;
}

}  // namespace ebony
