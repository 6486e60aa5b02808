#ifndef EBONY_DRIVERS_WORKER_THREAD_H_
#define EBONY_DRIVERS_WORKER_THREAD_H_

#include <ace/Task.h>

#include <functional>

namespace ebony {

// One thread for one duty. The body returns when its owner asks it to stop.
class worker_thread : public ACE_Task_Base {
  std::function<void()> body_;

 public:
  explicit worker_thread(std::function<void()> body);

  // Starts the thread. Throws ebony_error when none can be made.
  auto Start() -> void;
  auto Join() -> void;

  auto svc() -> int override;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_WORKER_THREAD_H_
