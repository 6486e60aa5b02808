#include "drivers/wakeup_event.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

#include "core/error_kind.h"

namespace ebony {

wakeup_event::wakeup_event() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (fd_ < 0) {
    throw ebony_error(error_kind::internal, "cannot create an eventfd");
  }
}

wakeup_event::~wakeup_event() {
  ::close(fd_);
}

auto wakeup_event::Notify() -> void {
  const auto one = std::uint64_t{1};
  // The write fails only when the counter is full, and a full counter wakes the
  // waiter as well.
  [[maybe_unused]] const auto count = ::write(fd_, &one, sizeof(one));
}

auto wakeup_event::Wait(duration limit) -> void {
  auto item = pollfd{fd_, POLLIN, 0};
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
  ::poll(&item, 1, static_cast<int>(ms));
  Drain();
}

auto wakeup_event::Drain() -> void {
  auto count = std::uint64_t{0};
  [[maybe_unused]] const auto got = ::read(fd_, &count, sizeof(count));
}

auto GetNow() -> mono_time {
  auto now = timespec();
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return mono_time(std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace ebony
