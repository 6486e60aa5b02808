#include "main/gateway_link.h"

#include <algorithm>
#include <utility>

#include "codec/message_reader.h"
#include "main/site_paths.h"

namespace ebony {

namespace {

constexpr duration kMinSyncInterval = std::chrono::milliseconds(50);
// Sync interval per gateway that the answering daemon serves. The interval
// grows with their number so that the daemon's load stays constant.
constexpr duration kSyncIntervalPerGateway = std::chrono::milliseconds(8);
constexpr duration kUrgentSyncInterval = std::chrono::milliseconds(15);
constexpr duration kSyncTimeout = std::chrono::milliseconds(600);
constexpr duration kRetryDelay = std::chrono::milliseconds(50);
// Followers name a leader that is gone until they elect another one. A gateway
// turns to a coordinator that left its sync unanswered after this time at the
// earliest, unless it knows no other one.
constexpr duration kFailureMemory = std::chrono::milliseconds(1500);
// Delay after an answer that names only such a leader.
constexpr duration kNoLeaderDelay = std::chrono::milliseconds(150);
constexpr duration kMaxConnectionIdle = std::chrono::seconds(5);

}  // namespace

gateway_link::gateway_link(const site_settings& settings,
                           event_loop& loop,
                           http_pool& pool,
                           event_log& log,
                           metrics& counters,
                           hooks actions)
    : settings_(settings),
      loop_(loop),
      pool_(pool),
      log_(log),
      metrics_(counters),
      hooks_(std::move(actions)) {}

auto gateway_link::AddSeeds(const std::vector<host_port>& seeds) -> void {
  for (const auto& seed : seeds) {
    const auto ip = seed.get().substr(0, seed.get().rfind(':'));
    const auto link = host_port(ip + ":" + std::to_string(settings_.link_port));
    if (std::find(coordinators_.begin(), coordinators_.end(), link) ==
        coordinators_.end()) {
      coordinators_.push_back(link);
    }
  }
}

auto gateway_link::ChooseRelay(const schema::sync_answer& answer) const
    -> host_port {
  auto local = std::vector<host_port>();
  auto all = std::vector<host_port>();
  for (const auto& row : answer.relays()) {
    if (HasFailedLately(host_port(row.link()))) {
      continue;
    }
    all.emplace_back(row.link());
    if (row.data_centre() == settings_.data_centre.get()) {
      local.emplace_back(row.link());
    }
  }
  const auto& candidates = local.empty() ? all : local;
  return candidates.empty() ? host_port()
                            : candidates[hooks_.random(candidates.size())];
}

auto gateway_link::HasFailedLately(const host_port& address) const -> bool {
  const auto found = failed_at_.find(address);
  return found != failed_at_.end() &&
         loop_.get_now() - found->second < kFailureMemory;
}

auto gateway_link::ChooseCoordinator() const -> host_port {
  const auto found = std::find_if(
      coordinators_.begin(), coordinators_.end(),
      [this](const host_port& address) { return !HasFailedLately(address); });
  return found == coordinators_.end() ? coordinators_.front() : *found;
}

auto gateway_link::MoveToFront(const host_port& address) -> void {
  std::erase(coordinators_, address);
  coordinators_.insert(coordinators_.begin(), address);
}

auto gateway_link::MoveToBack(const host_port& address) -> void {
  std::erase(coordinators_, address);
  coordinators_.push_back(address);
}

auto gateway_link::ScheduleSync(duration delay) -> void {
  loop_.CancelTimer(next_sync_timer_);
  next_sync_timer_ = loop_.AddTimerIn(delay, [this] { Sync(); });
}

auto gateway_link::Start() -> void {
  AddSeeds(settings_.seeds);
  Sync();
}

auto gateway_link::SyncSoon() -> void {
  if (sync_call_ == nullptr &&
      loop_.get_now() - sync_start_ >= kUrgentSyncInterval) {
    ScheduleSync(duration(0));
  } else {
    ScheduleSync(kUrgentSyncInterval);
  }
}

auto gateway_link::Sync() -> void {
  if (sync_call_ != nullptr) {
    return;
  }
  if (coordinators_.empty()) {
    ScheduleSync(kNoLeaderDelay);  // later settings may name seeds
    return;
  }
  sync_start_ = loop_.get_now();
  const auto to = ChooseCoordinator();
  const auto body = std::make_shared<std::string>();
  is_connected_ = false;
  auto hooks = call_hooks();
  hooks.on_connected = [this] { is_connected_ = true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, to, body] { OnAnswer(to, *body); };
  hooks.on_failed = [this, to](call_failure) { OnFailure(to); };
  auto options = MakeLinkOptions();
  options.connect_timeout = kSyncTimeout;
  options.max_idle_time = kMaxConnectionIdle;
  options.max_body_bytes = kMaxLinkBodyBytes;
  sync_call_ = pool_.Start(
      to, RenderPost(kSyncPath, to, hooks_.make_request().SerializeAsString()),
      false, options, std::move(hooks));
  timeout_timer_ = loop_.AddTimerIn(kSyncTimeout, [this, to] {
    if (sync_call_ != nullptr) {
      sync_call_->Cancel();
      if (is_connected_) {
        hooks_.on_contact();
      }
      OnFailure(to);
    }
  });
}

auto gateway_link::OnFailure(const host_port& to) -> void {
  loop_.CancelTimer(timeout_timer_);
  sync_call_ = nullptr;
  metrics_.Count("ebony_sync_failures_total");
  if (is_synced_) {
    is_synced_ = false;
    log_.Write(event_category::state, "leader_lost", {{"link", to.get()}});
  }
  failed_at_[to] = loop_.get_now();
  MoveToBack(to);
  ScheduleSync(kRetryDelay);
  hooks_.on_unanswered();
}

auto gateway_link::OnAnswer(const host_port& from, const std::string& body)
    -> void {
  loop_.CancelTimer(timeout_timer_);
  sync_call_ = nullptr;
  auto answer = schema::sync_answer();
  const auto unreadable_rows = ReadMessage(body, answer);
  if (!unreadable_rows) {
    log_.Write(event_category::state, "sync_unreadable",
               {{"link", from.get()},
                {"bytes", static_cast<std::int64_t>(body.size())}});
    OnFailure(from);
    return;
  }
  metrics_.Count("ebony_unreadable_rows_total", *unreadable_rows);
  for (const auto& link : answer.coordinator_links()) {
    const auto address = host_port(link);
    if (std::find(coordinators_.begin(), coordinators_.end(), address) ==
        coordinators_.end()) {
      coordinators_.push_back(address);
    }
  }
  if (!answer.is_leader() && !answer.is_relay()) {
    MoveToBack(from);
    const auto leader = host_port(answer.leader_link());
    const auto names_other = leader != host_port() && leader != from;
    if (names_other) {
      hooks_.on_contact();
    }
    if (names_other && !HasFailedLately(leader)) {
      MoveToFront(leader);
      ScheduleSync(kRetryDelay);
    } else {
      ScheduleSync(kNoLeaderDelay);
    }
    hooks_.on_unanswered();
    return;
  }
  if (!is_synced_) {
    is_synced_ = true;
    log_.Write(
        event_category::state, "leader_found",
        {{"link", from.get()}, {"relay", answer.is_relay() ? "yes" : "no"}});
  }
  const auto now = loop_.get_now();
  answered_by_ = from;
  silence_ = answered_at_ == mono_time() ? duration(0) : now - answered_at_;
  answered_at_ = now;
  metrics_.Observe("ebony_sync_silence_seconds",
                   std::chrono::duration<double>(silence_).count());
  failed_at_.erase(from);
  hooks_.on_answer(answer);
  if (const auto relay = ChooseRelay(answer); relay != host_port()) {
    MoveToFront(relay);
  }
  const auto interval = std::max(
      kMinSyncInterval,
      kSyncIntervalPerGateway * static_cast<int>(answer.served_gateways()));
  ScheduleSync(std::max(duration(0), sync_start_ + interval - loop_.get_now()));
}

}  // namespace ebony
