#include "main/gateway_link.h"

#include <algorithm>
#include <utility>

#include "main/site_paths.h"

namespace ebony {

namespace {

constexpr duration kInterval = std::chrono::milliseconds(50);
// The interval grows with the number of gateways that the answering daemon
// serves, so that its work does not: this is its share for each gateway.
constexpr duration kIntervalPerGateway = std::chrono::milliseconds(8);
constexpr duration kHurry = std::chrono::milliseconds(15);
constexpr duration kTimeout = std::chrono::milliseconds(600);
constexpr duration kRetry = std::chrono::milliseconds(50);
constexpr duration kIdle = std::chrono::seconds(5);

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
    if (std::find(known_.begin(), known_.end(), link) == known_.end()) {
      known_.push_back(link);
    }
  }
}

auto gateway_link::ChooseRelay(const schema::sync_answer& answer) const
    -> host_port {
  auto near = std::vector<host_port>();
  auto all = std::vector<host_port>();
  for (const auto& row : answer.relays()) {
    all.emplace_back(row.link());
    if (row.data_centre() == settings_.data_centre.get()) {
      near.emplace_back(row.link());
    }
  }
  const auto& choice = near.empty() ? all : near;
  return choice.empty() ? host_port() : choice[hooks_.draw(choice.size())];
}

auto gateway_link::PutFirst(const host_port& address) -> void {
  std::erase(known_, address);
  known_.insert(known_.begin(), address);
}

auto gateway_link::PutLast(const host_port& address) -> void {
  std::erase(known_, address);
  known_.push_back(address);
}

auto gateway_link::ScheduleNext(duration delay) -> void {
  loop_.CancelTimer(next_);
  next_ = loop_.AddTimerIn(delay, [this] { Exchange(); });
}

auto gateway_link::Start() -> void {
  AddSeeds(settings_.seeds);
  Exchange();
}

auto gateway_link::Hurry() -> void {
  if (call_ == nullptr && loop_.get_now() - began_ >= kHurry) {
    ScheduleNext(duration(0));
  } else {
    ScheduleNext(kHurry);
  }
}

auto gateway_link::Exchange() -> void {
  if (call_ != nullptr || known_.empty()) {
    return;
  }
  began_ = loop_.get_now();
  const auto to = known_.front();
  const auto body = std::make_shared<std::string>();
  auto hooks = call_hooks();
  hooks.on_head = [](const http_head&) { return true; };
  hooks.on_body = [body](std::string_view bytes) { body->append(bytes); };
  hooks.on_complete = [this, to, body] { OnAnswer(to, *body); };
  hooks.on_failed = [this, to](call_failure) { OnFailure(to); };
  auto options = call_options();
  options.connect_timeout = kTimeout;
  options.max_idle_time = kIdle;
  call_ = pool_.Start(
      to, RenderPost(kSyncPath, to, hooks_.make_request().SerializeAsString()),
      false, options, std::move(hooks));
  timeout_ = loop_.AddTimerIn(kTimeout, [this, to] {
    if (call_ != nullptr) {
      call_->Cancel();
      OnFailure(to);
    }
  });
}

auto gateway_link::OnFailure(const host_port& to) -> void {
  loop_.CancelTimer(timeout_);
  call_ = nullptr;
  metrics_.Count("ebony_sync_failures_total");
  if (has_leader_) {
    has_leader_ = false;
    log_.Write(event_category::state, "leader_lost", {{"link", to.get()}});
  }
  PutLast(to);
  ScheduleNext(kRetry);
}

auto gateway_link::OnAnswer(const host_port& from, const std::string& body)
    -> void {
  loop_.CancelTimer(timeout_);
  call_ = nullptr;
  auto answer = schema::sync_answer();
  if (!answer.ParseFromString(body)) {
    OnFailure(from);
    return;
  }
  for (const auto& link : answer.coordinator_links()) {
    const auto address = host_port(link);
    if (std::find(known_.begin(), known_.end(), address) == known_.end()) {
      known_.push_back(address);
    }
  }
  if (!answer.is_leader() && !answer.is_relay()) {
    PutLast(from);
    const auto leader = host_port(answer.leader_link());
    if (leader != host_port() && leader != from) {
      PutFirst(leader);
    }
    ScheduleNext(kRetry);
    return;
  }
  if (!has_leader_) {
    has_leader_ = true;
    log_.Write(
        event_category::state, "leader_found",
        {{"link", from.get()}, {"relay", answer.is_relay() ? "yes" : "no"}});
  }
  hooks_.on_answer(answer);
  if (const auto relay = ChooseRelay(answer); relay != host_port()) {
    PutFirst(relay);
  }
  const auto interval =
      std::max(kInterval, kIntervalPerGateway *
                              static_cast<int>(answer.served_gateways()));
  ScheduleNext(std::max(duration(0), began_ + interval - loop_.get_now()));
}

}  // namespace ebony
