#include "tests/crash_harness.h"

#include <algorithm>
#include <utility>

#include "codec/site_codec.h"
#include "core/hashing.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr duration kStep = milliseconds(1);
constexpr duration kSyncInterval = milliseconds(50);
constexpr duration kSyncIntervalPerGateway = milliseconds(8);
constexpr duration kUrgentInterval = milliseconds(15);
constexpr duration kRelayInterval = milliseconds(100);
constexpr duration kUrgentRelayInterval = milliseconds(30);
constexpr duration kMaxWait = milliseconds(1200);
constexpr duration kDowntime = milliseconds(3000);
constexpr duration kProofTime = milliseconds(250);

auto MakeMetadata(const crash_site::prompt& content) -> request_metadata {
  auto metadata = request_metadata();
  metadata.host = content.host;
  if (content.first != 0) {
    metadata.prompt_segments = {
        {content.first, 10}, {content.second, 10}, {content.own, 10}};
  }
  return metadata;
}

auto MakeSuspects(const crash_site::prompt& content) -> request_suspects {
  return GetSuspects(MakeMetadata(content), request_fingerprint(content.own),
                     service_name("s"));
}

auto IsBad(const crash_site::prompt& content) -> bool {
  return content.first == crash_site::kBadSegment ||
         content.second == crash_site::kBadSegment ||
         content.own == crash_site::kBadSegment;
}

}  // namespace

crash_site::crash_site(const crash_site_options& options)
    : options_(options), random_(options.seed) {
  leader_ = MakeCoordinator();
  leader_.desk->StartLeading(now_);
  for (auto i = std::size_t{0}; i < options_.relays; ++i) {
    relays_.push_back(MakeCoordinator());
  }
  gateways_.resize(options_.gateways);
  for (auto& item : gateways_) {
    ResetGateway(item);
  }
  servers_.resize(options_.servers);
  const auto rates = std::pair(options_.sound_rate, options_.bad_rate);
  SetRates(0, 0);
  RunFor(std::chrono::seconds(1));
  SetRates(rates.first, rates.second);
}

auto crash_site::IsDrawn(double probability) -> bool {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

auto crash_site::Draw(int from, int to) -> duration {
  return milliseconds(std::uniform_int_distribution<int>(from, to)(random_));
}

auto crash_site::MakeCoordinator() -> coordinator {
  auto item = coordinator();
  item.desk = std::make_unique<crash_desk>(next_source_++);
  return item;
}

auto crash_site::ResetGateway(gateway& item) -> void {
  item.guard = std::make_unique<crash_guard>();
  item.uplink = std::make_unique<crash_uplink>(item.guard->get_ledger());
  item.waiting.clear();
  item.next_sync = now_ + Draw(0, 50);
  ++item.run;
}

auto crash_site::RestartGateway(std::size_t number) -> void {
  ResetGateway(gateways_.at(number));
  // It takes requests once it has a configuration, which its first sync brings.
  SyncGateway(number);
}

auto crash_site::StartLeader() -> void {
  leader_ = MakeCoordinator();
  leader_.desk->StartLeading(now_);
  has_leader_ = true;
}

auto crash_site::SetRates(double sound_rate, double bad_rate) -> void {
  options_.sound_rate = sound_rate;
  options_.bad_rate = bad_rate;
}

auto crash_site::CutOff(std::size_t number, bool is_cut) -> void {
  gateways_.at(number).is_cut = is_cut;
}

auto crash_site::SyncGateway(std::size_t number) -> void {
  auto& item = gateways_.at(number);
  const auto served =
      relays_.empty()
          ? gateways_.size()
          : gateways_.size() / std::max<std::size_t>(1, relays_.size());
  item.next_sync = now_ + std::max(kSyncInterval, kSyncIntervalPerGateway *
                                                      static_cast<int>(served));
  if (item.is_cut || (relays_.empty() && !has_leader_)) {
    return;
  }
  auto request = schema::sync_request();
  item.uplink->FillRequest(request, now_);
  AddTrials(*request.add_trials(), vm_name("g" + std::to_string(number)),
            item.guard->TakeWanted(now_));
  auto answer = schema::sync_answer();
  const auto ignore = [](const crash_record&) {};
  if (relays_.empty()) {
    leader_.desk->HandleSync(request, desk_role::leader, ignore, now_, answer);
  } else {
    relays_[number % relays_.size()].desk->HandleSync(request, desk_role::relay,
                                                      ignore, now_, answer);
  }
  if (IsDrawn(options_.lost_syncs)) {
    return;
  }
  item.uplink->ApplyAnswer(answer, ignore, now_);
  auto held = std::set<suspect_key>();
  for (const auto& row : answer.trials()) {
    const auto keys = GetTrialKeys(row);
    held.insert(keys.begin(), keys.end());
  }
  item.guard->OnContact(std::move(held), now_);
  RetryWaiting(number);
}

auto crash_site::SyncRelay(coordinator& relay) -> void {
  relay.next_sync =
      now_ + (relay.desk->IsUrgent() ? kUrgentRelayInterval : kRelayInterval);
  if (!has_leader_) {
    return;
  }
  auto request = schema::sync_request();
  relay.desk->FillLeaderRequest(request, now_);
  auto answer = schema::sync_answer();
  const auto ignore = [](const crash_record&) {};
  leader_.desk->HandleSync(request, desk_role::leader, ignore, now_, answer);
  relay.desk->ApplyLeaderAnswer(answer, ignore, now_);
}

auto crash_site::Send(std::size_t number, const prompt& content, int attempt)
    -> void {
  auto& item = gateways_.at(number);
  const auto up = GetServersUp();
  if (up.empty()) {
    sound.sent -= IsBad(content) ? 0 : 1;  // lost with the servers
    return;
  }
  const auto index =
      up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random_)];
  auto running = run_request();
  running.content = content;
  running.suspects = MakeSuspects(content);
  running.evidence = item.guard->OnSent(running.suspects, now_);
  running.gateway = number;
  running.gateway_run = item.run;
  running.attempt = attempt;
  running.begins = now_ + (options_.is_plain ? Draw(5, 40) : Draw(40, 120));
  running.crashes = running.begins + Draw(50, 100);
  running.has_content = running.begins + Draw(20, 40);
  running.proves = running.has_content + kProofTime;
  running.ends =
      options_.is_plain ? running.begins : running.begins + Draw(300, 2500);
  bad_arrivals += IsBad(content) ? 1 : 0;
  servers_[index].running.push_back(std::move(running));
}

auto crash_site::TryToSend(std::size_t number,
                           const prompt& content,
                           int attempt) -> bool {
  auto& item = gateways_.at(number);
  switch (item.guard->Check(MakeSuspects(content), now_).verdict) {
    case guard_verdict::clear:
      Send(number, content, attempt);
      return true;
    case guard_verdict::await_trial:
      item.waiting.push_back({content, attempt, now_ + kMaxWait});
      item.next_sync = std::min(item.next_sync, now_ + kUrgentInterval);
      return true;
    case guard_verdict::quarantined:
      break;
  }
  sound.rejected += IsBad(content) ? 0 : 1;
  return false;
}

auto crash_site::Arrive(std::size_t number, const prompt& content) -> bool {
  sound.sent += IsBad(content) ? 0 : 1;
  return TryToSend(number, content, 1);
}

auto crash_site::RetryWaiting(std::size_t number) -> void {
  auto& item = gateways_.at(number);
  for (const auto& entry : std::exchange(item.waiting, {})) {
    const auto suspects = MakeSuspects(entry.content);
    const auto verdict = item.guard->Check(suspects, now_).verdict;
    if (verdict == guard_verdict::clear) {
      Send(number, entry.content, entry.attempt);
    } else if (verdict == guard_verdict::await_trial && now_ < entry.expires) {
      item.waiting.push_back(entry);
    } else if (!IsBad(entry.content)) {
      ++sound.rejected;
    }
  }
}

auto crash_site::RunServer(std::size_t number) -> void {
  auto& item = servers_.at(number);
  if (!item.is_up) {
    item.is_up = now_ >= item.back_at;
    return;
  }
  auto has_crashed = false;
  const auto count = item.running.size();
  // By index: a retry may add a request to this server.
  for (auto i = std::size_t{0}; i < count; ++i) {
    auto& request = item.running.at(i);
    auto& source = gateways_.at(request.gateway);
    const auto is_known = source.run == request.gateway_run;
    if (!request.has_begun && now_ >= request.begins) {
      request.has_begun = true;
      sound.begun += IsBad(request.content) ? 0 : 1;
    }
    if (IsBad(request.content)) {
      has_crashed = has_crashed || now_ >= request.crashes;
      continue;
    }
    const auto proves = std::min(request.proves, request.ends);
    if (!request.is_proven && now_ >= proves) {
      request.is_proven = true;
      if (is_known) {
        source.guard->OnRan(request.suspects, now_);
        source.guard->EndTrial(request.evidence);
        RetryWaiting(request.gateway);
      }
    }
  }
  if (has_crashed) {
    ++bad_crashes;
    CrashServer(number);
    return;
  }
  std::erase_if(item.running, [this](const auto& request) {
    return !IsBad(request.content) && now_ >= request.ends;
  });
}

auto crash_site::CrashServer(std::size_t number) -> void {
  auto& item = servers_.at(number);
  item.is_up = false;
  item.back_at = now_ + kDowntime;
  const auto run = server_run(HashBytes(std::to_string(number), item.run));
  ++item.run;
  for (auto& request : std::exchange(item.running, {})) {
    OnCrashed(request, run);
  }
}

auto crash_site::OnCrashed(run_request& request, server_run run) -> void {
  constexpr auto kMaxAttempts = 2;
  auto& source = gateways_.at(request.gateway);
  const auto is_known = source.run == request.gateway_run;
  if (is_known && !request.is_proven) {
    request.evidence.has_just_begun =
        request.has_begun &&
        (IsBad(request.content) || now_ < request.has_content);
    source.guard->OnServerCrashed(request.suspects, request.evidence, run,
                                  now_);
    source.guard->EndTrial(request.evidence);
    source.next_sync = std::min(source.next_sync, now_ + kUrgentInterval);
  }
  if (request.has_begun) {
    return;
  }
  if (options_.is_plain && is_known && request.attempt < kMaxAttempts) {
    TryToSend(request.gateway, request.content, request.attempt + 1);
  } else if (!IsBad(request.content)) {
    --sound.sent;  // lost with the server
  }
}

auto crash_site::GetServersUp() const -> std::vector<std::size_t> {
  auto up = std::vector<std::size_t>();
  for (auto number = std::size_t{0}; number < servers_.size(); ++number) {
    if (servers_[number].is_up) {
      up.push_back(number);
    }
  }
  return up;
}

auto crash_site::CrashServers(std::size_t count) -> void {
  auto up = GetServersUp();
  std::shuffle(up.begin(), up.end(), random_);
  up.resize(std::min(up.size(), count));
  for (const auto number : up) {
    CrashServer(number);
  }
}

auto crash_site::MakeSoundPrompt() -> prompt {
  if (options_.is_plain) {
    return {0, 0, next_own_++};
  }
  const auto subject = 100 + std::uniform_int_distribution<std::uint64_t>(
                                 0, options_.subjects - 1)(random_);
  const auto first = 1 + next_own_ % 3;
  return {first, subject, next_own_++};
}

auto crash_site::MakeBadPrompt() -> prompt {
  if (options_.is_plain) {
    return {0, 0, kBadSegment};
  }
  const auto first = 1 + next_own_ % 3;
  return {first, kBadSegment, next_own_++};
}

auto crash_site::Step() -> void {
  now_ += kStep;
  const auto per_step = std::chrono::duration<double>(kStep).count();
  const auto pick_gateway = [this] {
    return std::uniform_int_distribution<std::size_t>(
        0, gateways_.size() - 1)(random_);
  };
  if (IsDrawn(options_.sound_rate * per_step)) {
    Arrive(pick_gateway(), MakeSoundPrompt());
  }
  if (IsDrawn(options_.bad_rate * per_step)) {
    Arrive(pick_gateway(), MakeBadPrompt());
  }
  for (auto number = std::size_t{0}; number < servers_.size(); ++number) {
    RunServer(number);
  }
  for (auto number = std::size_t{0}; number < gateways_.size(); ++number) {
    if (now_ >= gateways_[number].next_sync) {
      SyncGateway(number);
    }
  }
  for (auto& relay : relays_) {
    if (now_ >= relay.next_sync ||
        (relay.desk->IsUrgent() &&
         relay.next_sync - now_ > kUrgentRelayInterval)) {
      SyncRelay(relay);
    }
  }
}

auto crash_site::RunFor(duration time) -> void {
  const auto until = now_ + time;
  while (now_ < until) {
    Step();
  }
}

}  // namespace ebony::testing
