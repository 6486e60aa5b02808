#include "main/gateway_link.h"

#include <algorithm>
#include <utility>

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
    all.emplace_back(row.link());
    if (row.data_centre() == settings_.data_centre.get()) {
      local.emplace_back(row.link());
    }
  }
  const auto& candidates = local.empty() ? all : local;
  return candidates.empty() ? host_port()
                            : candidates[hooks_.random(candidates.size())];
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
  if (sync_call_ != nullptr || coordinators_.empty()) {
    return;
  }
  sync_start_ = loop_.get_now();
  const auto to = coordinators_.front();
  const auto body = std::make_shared<std::string>();
  is_connected_ = false;
  auto hooks = call_hooks();
  hooks.on_connected = [this] { is_connected_ = true; };
  hooks.on_head = [](const http_head&) { return true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, to, body] { OnAnswer(to, *body); };
  hooks.on_failed = [this, to](call_failure) { OnFailure(to); };
  auto options = call_options();
  options.connect_timeout = kSyncTimeout;
  options.max_idle_time = kMaxConnectionIdle;
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
  MoveToBack(to);
  ScheduleSync(kRetryDelay);
  hooks_.on_unanswered();
}

auto gateway_link::OnAnswer(const host_port& from, const std::string& body)
    -> void {
  loop_.CancelTimer(timeout_timer_);
  sync_call_ = nullptr;
  auto answer = schema::sync_answer();
  if (!answer.ParseFromString(body)) {
    OnFailure(from);
    return;
  }
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
    if (leader != host_port() && leader != from) {
      hooks_.on_contact();
      MoveToFront(leader);
    }
    ScheduleSync(kRetryDelay);
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
