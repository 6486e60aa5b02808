#ifndef EBONY_DRIVERS_WORKER_THREAD_H_
#define EBONY_DRIVERS_WORKER_THREAD_H_

#include <ace/Task.h>

#include <functional>

namespace ebony {

// A thread that runs one function. The owner has to make the function return
// before it calls `Join`.
class worker_thread : public ACE_Task_Base {
  std::function<void()> body_;

 public:
  explicit worker_thread(std::function<void()> body);

  // Starts the thread. Throws ebony_error when it cannot be created.
  auto Start() -> void;
  // Blocks until the function has returned.
  auto Join() -> void;

  // Entry point of the thread, called by ACE.
  auto svc() -> int override;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_WORKER_THREAD_H_
