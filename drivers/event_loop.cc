#include "drivers/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "core/error_kind.h"
#include "drivers/wakeup_event.h"

namespace ebony {

namespace {

constexpr int kEventsPerRound = 64;
// Bounds the delay until a signal that arrives between two waits is handled.
constexpr duration kMaxWait = std::chrono::milliseconds(200);

// What arrived during a standstill is handled within this time after its end.
constexpr duration kBacklogTime = std::chrono::milliseconds(1000);

auto MakeToken(int fd, std::uint32_t generation) -> std::uint64_t {
  return (static_cast<std::uint64_t>(generation) << 32U) |
         static_cast<std::uint32_t>(fd);
}

}  // namespace

event_loop::event_loop()
    : epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)),
      now_(GetNow()),
      round_began_(now_) {
  if (epoll_fd_ < 0) {
    throw ebony_error(error_kind::internal, "cannot create an epoll instance");
  }
}

event_loop::~event_loop() {
  // Hooks may own sockets, whose destructors call this loop again.
  const auto registrations = std::exchange(registrations_, {});
  const auto timers = std::exchange(timers_, {});
  timer_times_.clear();
  ::close(epoll_fd_);
}

auto event_loop::ControlEpoll(int operation, int fd, const registration& entry)
    -> void {
  auto event = epoll_event();
  event.events = EPOLLRDHUP;
  event.events |= entry.wants_read ? EPOLLIN : 0U;
  event.events |= entry.wants_write ? EPOLLOUT : 0U;
  event.data.u64 = MakeToken(fd, entry.generation);
  if (::epoll_ctl(epoll_fd_, operation, fd, &event) != 0) {
    throw ebony_error(error_kind::internal, "epoll_ctl failed");
  }
}

auto event_loop::AddDescriptor(int fd,
                               bool wants_read,
                               bool wants_write,
                               io_hook hook) -> void {
  auto entry = std::make_shared<registration>();
  entry->generation = next_generation_++;
  entry->wants_read = wants_read;
  entry->wants_write = wants_write;
  entry->hook = std::move(hook);
  ControlEpoll(EPOLL_CTL_ADD, fd, *entry);
  registrations_[fd] = std::move(entry);
}

auto event_loop::ModifyDescriptor(int fd, bool wants_read, bool wants_write)
    -> void {
  const auto found = registrations_.find(fd);
  if (found == registrations_.end()) {
    return;
  }
  auto& entry = *found->second;
  if (entry.wants_read == wants_read && entry.wants_write == wants_write) {
    return;
  }
  entry.wants_read = wants_read;
  entry.wants_write = wants_write;
  ControlEpoll(EPOLL_CTL_MOD, fd, entry);
}

auto event_loop::RemoveDescriptor(int fd) -> void {
  if (registrations_.erase(fd) > 0) {
    ::epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  }
}

auto event_loop::AddTimer(mono_time at, std::function<void()> hook)
    -> timer_id {
  const auto id = timer_id(next_timer_++);
  timers_.emplace(at, timer{id, std::move(hook)});
  timer_times_.emplace(id.get(), at);
  return id;
}

auto event_loop::AddTimerIn(duration delay, std::function<void()> hook)
    -> timer_id {
  return AddTimer(now_ + delay, std::move(hook));
}

auto event_loop::CancelTimer(timer_id id) -> void {
  const auto found = timer_times_.find(id.get());
  if (found == timer_times_.end()) {
    return;
  }
  const auto [first, last] = timers_.equal_range(found->second);
  const auto entry = std::find_if(
      first, last, [id](const auto& item) { return item.second.id == id; });
  if (entry != last) {
    timers_.erase(entry);
  }
  timer_times_.erase(found);
}

auto event_loop::RefreshNow() -> mono_time {
  now_ = std::max(now_, GetNow());
  return now_;
}

auto event_loop::RunTimers() -> void {
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    auto due = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    timer_times_.erase(due.id.get());
    due.hook();
  }
}

auto event_loop::GetWaitMs() const -> int {
  auto wait = kMaxWait;
  if (!timers_.empty()) {
    wait = std::min(wait, std::max(duration(0), timers_.begin()->first - now_));
  }
  // Rounded up: with 0 ms the loop would spin until a timer that is due in less
  // than a millisecond.
  return static_cast<int>(
      std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

auto event_loop::Dispatch(std::uint64_t token, std::uint32_t events) -> void {
  const auto fd = static_cast<int>(token & 0xffffffffU);
  const auto found = registrations_.find(fd);
  if (found == registrations_.end() ||
      found->second->generation != static_cast<std::uint32_t>(token >> 32U)) {
    return;  // removed earlier in this round
  }
  const auto entry = found->second;
  const auto failed = (events & (EPOLLERR | EPOLLHUP)) != 0;
  auto ready = io_readiness();
  ready.can_read = failed || (events & (EPOLLIN | EPOLLRDHUP)) != 0;
  ready.can_write = failed || (events & EPOLLOUT) != 0;
  entry->hook(ready);
}

auto event_loop::BeginRound(duration wait) -> void {
  RefreshNow();
  if (now_ - round_began_ > wait + kMinStandstill) {
    const auto is_next_of_series =
        standstill_ended_ != mono_time() &&
        round_began_ - standstill_ended_ < kBacklogTime;
    if (!is_next_of_series) {
      standstill_began_ = round_began_;
    }
    standstill_ended_ = now_;
  }
  round_began_ = now_;
}

auto event_loop::GetEarliestArrival() const -> mono_time {
  const auto has_backlog = standstill_ended_ != mono_time() &&
                           now_ - standstill_ended_ < kBacklogTime;
  return has_backlog ? standstill_began_ : now_;
}

auto event_loop::Run(const std::function<bool()>& is_done) -> void {
  auto events = std::array<epoll_event, kEventsPerRound>();
  // Time between two runs is none in which the process stood still.
  round_began_ = RefreshNow();
  while (!is_done()) {
    const auto wait_ms = GetWaitMs();
    const auto count =
        ::epoll_wait(epoll_fd_, events.data(), kEventsPerRound, wait_ms);
    if (count < 0 && errno != EINTR) {
      throw ebony_error(error_kind::internal, "epoll_wait failed");
    }
    BeginRound(std::chrono::milliseconds(wait_ms));
    for (auto i = 0; i < count; ++i) {
      const auto& event = events.at(static_cast<std::size_t>(i));
      Dispatch(event.data.u64, event.events);
    }
    RunTimers();
  }
}

auto RepeatEvery(event_loop& loop, duration period, std::function<void()> tick)
    -> void {
  tick();
  loop.AddTimerIn(period, [&loop, period, tick = std::move(tick)] {
    RepeatEvery(loop, period, tick);
  });
}

}  // namespace ebony
