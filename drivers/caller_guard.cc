#include "drivers/caller_guard.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

// Descriptors that callers never get: a quarter, within these bounds.
constexpr std::uint32_t kMinReservedDescriptors = 32;
constexpr std::uint32_t kMaxReservedDescriptors = 512;
constexpr std::size_t kMaxWaiters = 64;
constexpr duration kRetryInterval = std::chrono::milliseconds(20);
constexpr duration kDescriptorInterval = std::chrono::milliseconds(100);
constexpr duration kReportInterval = std::chrono::seconds(1);
// A search that found too little to reclaim is not repeated sooner: with
// thousands of connections it takes longer than to refuse a request.
constexpr duration kReclaimInterval = std::chrono::milliseconds(20);

auto GetReasonText(turn_away_reason reason) -> std::string {
  switch (reason) {
    case turn_away_reason::no_progress:
      return "no_progress";
    case turn_away_reason::over_share:
      return "over_share";
    case turn_away_reason::unread_answer:
      return "unread_answer";
    case turn_away_reason::idle:
      return "idle";
    case turn_away_reason::no_memory:
      return "no_memory";
    case turn_away_reason::too_large:
      break;
  }
  return "too_large";
}

auto ToTurnAway(reclaim_reason reason) -> turn_away_reason {
  switch (reason) {
    case reclaim_reason::no_progress:
      return turn_away_reason::no_progress;
    case reclaim_reason::over_share:
      return turn_away_reason::over_share;
    case reclaim_reason::unread_answer:
      return turn_away_reason::unread_answer;
    case reclaim_reason::idle:
      break;
  }
  return turn_away_reason::idle;
}

auto GetAddressText(client_address client) -> std::string {
  auto text = std::string();
  for (const auto shift : {24, 16, 8, 0}) {
    if (!text.empty()) {
      text += '.';
    }
    text += std::to_string((client.get() >> shift) & 0xffU);
  }
  return text;
}

}  // namespace

auto GetMaxCallers(std::uint32_t max_descriptors) -> std::size_t {
  const auto reserve = std::clamp(max_descriptors / 4, kMinReservedDescriptors,
                                  kMaxReservedDescriptors);
  return max_descriptors == 0
             ? 0
             : std::max(max_descriptors, reserve + 1) - reserve;
}

caller_guard::caller_guard(event_loop& loop,
                           event_log& log,
                           metrics& counters,
                           limits bounds)
    : loop_(loop),
      log_(log),
      metrics_(counters),
      account_(std::make_shared<memory_account>(bounds.memory)),
      max_connections_(bounds.max_connections) {}

auto caller_guard::Add(member item) -> std::uint64_t {
  const auto id = next_id_++;
  members_.emplace(id, std::move(item));
  return id;
}

auto caller_guard::Remove(std::uint64_t id) -> void {
  members_.erase(id);
  std::erase_if(waiters_, [id](const waiter& item) { return item.id == id; });
}

auto caller_guard::GetHoldings() const -> std::vector<caller_holding> {
  auto holdings = std::vector<caller_holding>();
  holdings.reserve(members_.size());
  for (const auto& [id, item] : members_) {
    holdings.push_back(item.get_holding());
    holdings.back().id = id;
  }
  return holdings;
}

auto caller_guard::TurnAway(const std::vector<reclaim>& items) -> void {
  for (const auto& item : items) {
    const auto found = members_.find(item.id);
    if (found == members_.end()) {
      continue;
    }
    CountTurnedAway(ToTurnAway(item.reason));
    // Copied, because the call removes the member.
    const auto turn_away = found->second.turn_away;
    turn_away(item.reason);
  }
}

auto caller_guard::Draw(memory_charge& charge, std::uint64_t bytes) -> bool {
  const auto now = loop_.get_now();
  const auto verdict = charge.GrowTo(bytes, now);
  if (verdict == memory_verdict::granted) {
    return true;
  }
  ScheduleReport();
  if (now - last_failed_reclaim_ < kReclaimInterval) {
    return false;
  }
  const auto items =
      ChooseReclaims(GetHoldings(),
                     {charge.GetShortage(bytes, verdict), charge.get_client(),
                      verdict, account_->get_share()},
                     now);
  TurnAway(items);
  if (!items.empty() && charge.GrowTo(bytes, now) == memory_verdict::granted) {
    return true;
  }
  last_failed_reclaim_ = now;
  return false;
}

auto caller_guard::Await(std::uint64_t id,
                         mono_time until,
                         retry on_retry,
                         std::function<void()> on_expired) -> bool {
  if (waiters_.size() >= kMaxWaiters) {
    return false;
  }
  waiters_.push_back({id, until, std::move(on_retry), std::move(on_expired)});
  ScheduleRetry();
  return true;
}

auto caller_guard::ScheduleRetry() -> void {
  if (is_retry_scheduled_ || waiters_.empty()) {
    return;
  }
  is_retry_scheduled_ = true;
  loop_.AddTimerIn(kRetryInterval, [this, weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    is_retry_scheduled_ = false;
    RetryWaiters();
    ScheduleRetry();
  });
}

auto caller_guard::RetryWaiters() -> void {
  const auto now = loop_.get_now();
  // A retry may end connections that wait, or make others wait.
  auto ids = std::vector<std::uint64_t>();
  for (const auto& item : waiters_) {
    ids.push_back(item.id);
  }
  for (const auto id : ids) {
    const auto find = [this, id] {
      return std::find_if(waiters_.begin(), waiters_.end(),
                          [id](const waiter& item) { return item.id == id; });
    };
    const auto found = find();
    if (found == waiters_.end()) {
      continue;
    }
    const auto item = *found;
    waiters_.erase(found);
    if (item.on_retry()) {
      continue;
    }
    if (now >= item.until) {
      item.on_expired();
    } else if (members_.contains(id)) {
      waiters_.push_back(item);
    }
  }
}

auto caller_guard::CheckOverdraft() -> void {
  if (account_->GetOverdraft() == 0 || is_overdraft_scheduled_) {
    return;
  }
  is_overdraft_scheduled_ = true;
  loop_.AddTimerIn(duration(0), [this, weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    is_overdraft_scheduled_ = false;
    const auto overdraft = account_->GetOverdraft();
    if (overdraft > 0) {
      TurnAway(ChooseUnread(GetHoldings(), overdraft));
    }
  });
}

auto caller_guard::HasDescriptor() -> bool {
  if (max_connections_ == 0 || connections_ < max_connections_) {
    return true;
  }
  ScheduleReport();
  // Several at a time: with thousands of connections, a search for each new one
  // takes too long.
  TurnAway(ChooseConnections(GetHoldings(),
                             std::max<std::size_t>(max_connections_ / 64, 1),
                             loop_.get_now()));
  if (connections_ < max_connections_) {
    return true;
  }
  AwaitDescriptor();
  return false;
}

// None may end by itself for a long time, but more of them are idle or without
// progress then.
auto caller_guard::AwaitDescriptor() -> void {
  if (is_descriptor_awaited_) {
    return;
  }
  is_descriptor_awaited_ = true;
  loop_.AddTimerIn(kDescriptorInterval, [this, weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    is_descriptor_awaited_ = false;
    if (HasDescriptor()) {
      ResumeListeners();
    }
  });
}

auto caller_guard::ResumeListeners() -> void {
  for (const auto& item : resume_hooks_) {
    if (const auto hook = item.lock()) {
      (*hook)();
    }
  }
}

auto caller_guard::TakeDescriptor() -> std::shared_ptr<const void> {
  ++connections_;
  return {this, [self = shared_from_this()](const caller_guard*) {
            self->ReturnDescriptor();
          }};
}

auto caller_guard::ReturnDescriptor() -> void {
  --connections_;
  if (connections_ + 1 != max_connections_) {
    return;
  }
  ResumeListeners();
}

auto caller_guard::CountTurnedAway(turn_away_reason reason) -> void {
  metrics_.Count("ebony_callers_turned_away_total{reason=\"" +
                 GetReasonText(reason) + "\"}");
  ++turned_away_[reason];
  ScheduleReport();
}

auto caller_guard::ScheduleReport() -> void {
  if (is_report_scheduled_) {
    return;
  }
  is_report_scheduled_ = true;
  loop_.AddTimerIn(kReportInterval, [this, weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    is_report_scheduled_ = false;
    Report();
  });
}

auto caller_guard::Report() -> void {
  const auto largest = account_->FindLargest();
  const auto used = static_cast<std::int64_t>(account_->get_used());
  auto counts = std::string();
  for (const auto& [reason, count] : std::exchange(turned_away_, {})) {
    if (!counts.empty()) {
      counts += ' ';
    }
    counts.append(GetReasonText(reason))
        .append("=")
        .append(std::to_string(count));
  }
  metrics_.Set("ebony_caller_memory_bytes", static_cast<double>(used));
  metrics_.Set("ebony_caller_connections", static_cast<double>(connections_));
  log_.Write(event_category::state, "callers_limited",
             {{"turned_away", counts},
              {"held_bytes", used},
              {"limit_bytes", static_cast<std::int64_t>(account_->get_limit())},
              {"largest_client", GetAddressText(largest)},
              {"largest_bytes",
               static_cast<std::int64_t>(account_->GetUsedBy(largest))},
              {"clients", static_cast<std::int64_t>(account_->get_clients())},
              {"connections", static_cast<std::int64_t>(connections_)},
              {"max_connections", static_cast<std::int64_t>(max_connections_)},
              {"waiting", static_cast<std::int64_t>(waiters_.size())}});
}

}  // namespace ebony
