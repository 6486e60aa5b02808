#include "entry/server_selector.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace ebony {

namespace {

// Prompt tokens that cost a server as much as one output token for each request
// in its batch.
constexpr double kPromptTokensPerRequest = 400;
// Loads per slot that differ by less are equal; the choice is then random.
constexpr double kLoadTolerance = 0.02;
constexpr std::uint64_t kRandomSteps = 1U << 20U;

// Weight of a place in the queue of a server, compared with that of a free
// slot, where servers differ in speed. A request waits in a queue while slots
// of slower servers are free otherwise.
constexpr double kQueuePlaceWeight = 0.05;
// Above the scores of all servers that have a free slot.
constexpr double kNoFreeSlotScore = 1000;

constexpr duration kMinSlotTime = std::chrono::milliseconds(20);
// Longest interval of exchanges that counts: after a longer one the loads of
// the others have decayed.
constexpr duration kMaxExchangeInterval = std::chrono::milliseconds(500);

// Returns an exponentially smoothed value after a new sample.
auto Smooth(duration value, duration sample) -> duration {
  constexpr int kWeightOfOld = 15;
  return (value * kWeightOfOld + sample) / (kWeightOfOld + 1);
}

}  // namespace

auto GetServerVerdictText(server_verdict verdict) -> std::string_view {
  switch (verdict) {
    case server_verdict::chosen:
      return "chosen";
    case server_verdict::busy:
      return "busy";
    case server_verdict::no_replica:
      return "absent";
    case server_verdict::no_version:
      return "no_version";
    case server_verdict::await_trial:
      return "trial";
    case server_verdict::no_path:
      return "no_path";
    case server_verdict::paused:
      return "paused";
    case server_verdict::no_server:
      break;
  }
  return "nowhere";
}

server_selector::server_selector(server_selector_options options,
                                 const backend_registry& registry,
                                 server_permits& permits,
                                 const server_pauses& pauses,
                                 random_source random)
    : options_(options),
      random_(std::move(random)),
      registry_(registry),
      permits_(permits),
      pauses_(pauses) {}

auto server_selector::HoldsModel(const backend_status& status,
                                 const server_query& query) const -> bool {
  if (!query.is_engine || query.model.get().empty()) {
    return true;
  }
  const auto held = std::find_if(status.models.begin(), status.models.end(),
                                 [&query](const loaded_model& model) {
                                   return model.name == query.model;
                                 });
  if (held == status.models.end()) {
    return false;
  }
  return query.adapter.get().empty() ||
         std::find(held->adapters.begin(), held->adapters.end(),
                   query.adapter) != held->adapters.end();
}

auto server_selector::GetLoad(const backend_name& id, mono_time now)
    -> server_load {
  const auto& state = states_[id];
  const auto age = std::max(duration(0), now - last_exchange_);
  const auto half_lives =
      static_cast<double>(age.count()) /
      static_cast<double>(options_.remote_load_half_life.count());
  const auto weight = std::exp2(-half_lives);
  auto load = server_load();
  load.requests = state.own.requests + weight * state.others.requests;
  load.tokens = state.own.tokens + weight * state.others.tokens;
  return load;
}

auto server_selector::FindSpeed(const backend_status& status)
    -> std::optional<double> {
  if (!has_speeds_) {
    return std::nullopt;
  }
  const auto& state = states_[status.id];
  return state.speed_start_time_ms == status.start_time_ms ? state.speed
                                                           : std::nullopt;
}

auto server_selector::GetSpeed(const backend_status& status) -> double {
  return FindSpeed(status).value_or(1);
}

auto server_selector::SetSpeeds(const server_pace::speed_map& speeds) -> void {
  if (has_speeds_) {
    for (auto& [id, state] : states_) {
      state.speed.reset();
    }
  }
  has_speeds_ = !speeds.empty();
  for (const auto& [id, item] : speeds) {
    auto& state = states_[id];
    state.speed = item.speed;
    state.speed_start_time_ms = item.start_time_ms;
  }
}

auto server_selector::AreUneven(
    const std::vector<const backend_record*>& candidates) -> bool {
  return has_speeds_ &&
         std::any_of(candidates.begin(), candidates.end(),
                     [this](const backend_record* record) {
                       return FindSpeed(record->status).has_value();
                     });
}

// The faster an engine, the more requests it ends in the same time.
auto server_selector::GetEngineQueue(const backend_status& status) -> double {
  const auto view_age = exchange_interval_ + source_delay_;
  const auto found_speed = FindSpeed(status);
  const auto speed = found_speed.value_or(1);
  const auto ended = status.slots * static_cast<double>(view_age.count()) /
                     static_cast<double>(slot_time_.count());
  const auto queue =
      std::min(std::max(options_.min_engine_queue, ended * speed),
               options_.max_engine_queue_fraction * status.slots * speed);
  if (!found_speed) {
    return queue;
  }
  // What this gateway's own requests leave is known at once. A request that
  // waits here goes to the first server with a free slot, and so is better off
  // than at a server, above all at a slow one.
  const auto gateways =
      static_cast<double>(std::max<std::size_t>(1, gateway_count_));
  return queue * (1 - 1 / gateways);
}

auto server_selector::AddSlotTime(duration time) -> void {
  slot_time_ = std::max(kMinSlotTime, Smooth(slot_time_, time));
}

// Returns the number of requests that may still be sent to a server.
auto server_selector::GetFreeCapacity(const backend_status& status,
                                      const server_query& query,
                                      mono_time now) -> double {
  const auto limit = query.is_engine ? status.slots + GetEngineQueue(status)
                                     : status.slots * options_.plain_overcommit;
  return limit - GetLoad(status.id, now).requests;
}

auto server_selector::GetFreeWork(const backend_status& status,
                                  const server_query& query,
                                  mono_time now) -> double {
  const auto free_slots =
      std::max(0.0, status.slots - GetLoad(status.id, now).requests);
  const auto queue_places =
      std::max(0.0, GetFreeCapacity(status, query, now) - free_slots);
  return GetSpeed(status) * (free_slots + kQueuePlaceWeight * queue_places);
}

auto server_selector::HasCapacity(const backend_status& status,
                                  const server_query& query,
                                  mono_time now) -> bool {
  // Permits say whether a server that is limited by its slots has one free.
  const auto counts_permits =
      permits_.HasSlotLimit(status.id, status.start_time_ms);
  if (IsFull(status.id, now) ||
      (!counts_permits && GetFreeCapacity(status, query, now) < 1)) {
    return false;
  }
  const auto load = GetLoad(status.id, now);
  return !query.is_engine || query.ignores_prefill_limit || load.tokens <= 0 ||
         load.tokens + query.prompt_tokens <= options_.max_prefill_tokens;
}

auto server_selector::GetPermit(const backend_status& status, mono_time now)
    -> permit_source {
  const auto requests = GetLoad(status.id, now).requests;
  const auto has_spare_room =
      requests + 1 <= options_.spare_room_fraction * status.slots;
  return permits_.GetSource(status.id, status.start_time_ms, has_spare_room,
                            now);
}

auto server_selector::HasFreeSlot(const backend_name& id, mono_time now)
    -> bool {
  const auto* record = registry_.Find(id);
  return record != nullptr &&
         GetLoad(id, now).requests + 1 <= record->status.slots;
}

auto server_selector::GetLoadPerSlot(const backend_name& id, mono_time now)
    -> double {
  const auto* record = registry_.Find(id);
  return record == nullptr
             ? 0
             : GetLoad(id, now).requests / std::max(1U, record->status.slots);
}

auto server_selector::GetOwnRequests(const backend_name& id) const
    -> std::uint32_t {
  const auto found = states_.find(id);
  return found == states_.end()
             ? 0
             : static_cast<std::uint32_t>(found->second.own.requests);
}

auto server_selector::RemoveEjected(
    std::vector<const backend_record*>& candidates,
    mono_time now) -> void {
  auto usable = std::vector<const backend_record*>();
  for (const auto* record : candidates) {
    if (states_[record->status.id].ejected_until <= now) {
      usable.push_back(record);
    }
  }
  const auto ejected = candidates.size() - usable.size();
  if (static_cast<double>(ejected) <=
      options_.max_ejected_fraction * static_cast<double>(candidates.size())) {
    candidates = std::move(usable);
  }
}

auto server_selector::RemoveWithoutPermit(
    std::vector<const backend_record*>& candidates,
    mono_time now) -> std::vector<backend_name> {
  auto removed = std::vector<backend_name>();
  std::erase_if(candidates, [&](const backend_record* record) {
    if (GetPermit(record->status, now) != permit_source::none) {
      return false;
    }
    removed.push_back(record->status.id);
    return true;
  });
  return removed;
}

auto server_selector::ChooseByCapacity(
    const std::vector<const backend_record*>& candidates,
    const server_query& query,
    mono_time now) -> const backend_status* {
  // One for which there is a permit may look full here.
  constexpr double kMinCapacity = 0.1;
  constexpr double kMinWork = 0.01;
  const auto are_uneven = AreUneven(candidates);
  const auto get_capacity = [&](const backend_record* record) {
    return are_uneven
               ? std::max(kMinWork, GetFreeWork(record->status, query, now))
               : std::max(kMinCapacity,
                          GetFreeCapacity(record->status, query, now));
  };
  auto capacity = 0.0;
  for (const auto* record : candidates) {
    capacity += get_capacity(record);
  }
  auto threshold =
      capacity * static_cast<double>(random_(kRandomSteps)) / kRandomSteps;
  for (const auto* record : candidates) {
    threshold -= get_capacity(record);
    if (threshold < 0) {
      return &record->status;
    }
  }
  return &candidates.back()->status;
}

auto server_selector::GetScore(const backend_status& status,
                               bool is_engine,
                               bool are_uneven,
                               mono_time now) -> double {
  const auto load = GetLoad(status.id, now);
  const auto weighted_requests =
      is_engine ? load.requests + load.tokens / kPromptTokensPerRequest
                : load.requests;
  const auto slots = std::max(1U, status.slots);
  if (!are_uneven) {
    return weighted_requests / slots;
  }
  // The request itself counts: an idle slow server is later than a faster one
  // that has some work.
  const auto score = (weighted_requests + 1) / (slots * GetSpeed(status));
  return load.requests + 1 > slots ? kNoFreeSlotScore + score : score;
}

auto server_selector::ChooseLeastLoaded(
    const std::vector<const backend_record*>& candidates,
    bool is_engine,
    mono_time now) -> const backend_status* {
  const backend_status* best = nullptr;
  auto best_score = 0.0;
  auto tied = std::uint64_t{0};
  const auto are_uneven = AreUneven(candidates);
  for (const auto* record : candidates) {
    const auto score = GetScore(record->status, is_engine, are_uneven, now);
    if (best == nullptr || score < best_score - kLoadTolerance) {
      best = &record->status;
      best_score = score;
      tied = 1;
    } else if (score < best_score + kLoadTolerance && random_(++tied) == 0) {
      best = &record->status;
    }
  }
  return best;
}

auto server_selector::Search(const server_query& query, mono_time now)
    -> server_search {
  auto found = server_search();
  const auto are_closed = are_paths_closed_ && !query.ignores_closed_paths;
  for (const auto& [id, record] : registry_.get_records()) {
    const auto& status = record.status;
    if (status.service != query.service || record.has_left ||
        status.is_leaving) {
      continue;
    }
    const auto& state = states_[id];
    if (state.is_misdirected &&
        state.misdirected_start_time_ms == status.start_time_ms) {
      continue;
    }
    found.has_server = true;
    if (query.software != nullptr && status.software != *query.software) {
      continue;
    }
    found.has_version = true;
    if (query.may_begin_at && !query.may_begin_at(status.software)) {
      found.has_unsettled = true;
      continue;
    }
    if (!HoldsModel(status, query) ||
        (query.avoid != nullptr && query.avoid->contains(id))) {
      continue;
    }
    if (are_closed || IsUnreachable(status, now)) {
      found.has_unreachable = found.has_unreachable || !record.is_suspected;
      continue;
    }
    const auto left = pauses_.GetTimeLeft(id, status.start_time_ms, now);
    if (left > duration(0)) {
      found.pause_left = std::min(left, found.pause_left.value_or(left));
      continue;
    }
    (record.is_suspected ? found.suspected : found.candidates)
        .push_back(&record);
  }
  return found;
}

auto server_selector::GetAbsence(const server_search& found,
                                 const server_query& query) -> server_choice {
  if (found.has_unreachable && !query.ignores_closed_paths) {
    return {server_verdict::no_path};
  }
  if (found.pause_left) {
    auto choice = server_choice{server_verdict::paused};
    choice.pause_left = *found.pause_left;
    return choice;
  }
  if (found.has_unsettled) {
    return {server_verdict::busy};
  }
  const auto verdict = found.has_version  ? server_verdict::no_replica
                       : found.has_server ? server_verdict::no_version
                                          : server_verdict::no_server;
  return {verdict};
}

auto server_selector::Choose(const server_query& query, mono_time now)
    -> server_choice {
  auto found = Search(query, now);
  auto& candidates = found.candidates;
  const auto must_hand_over =
      found.has_unreachable && !query.ignores_closed_paths;
  if (candidates.empty() && (must_hand_over || found.suspected.empty())) {
    return GetAbsence(found, query);
  }
  if (candidates.empty()) {
    // Suspected servers are used only as a last resort.
    candidates = std::move(found.suspected);
  }
  RemoveEjected(candidates, now);
  std::erase_if(candidates, [&](const backend_record* record) {
    return !HasCapacity(record->status, query, now);
  });
  auto without_permit = RemoveWithoutPermit(candidates, now);
  if (candidates.empty()) {
    auto choice = server_choice{server_verdict::busy};
    choice.awaits_slot =
        std::any_of(without_permit.begin(), without_permit.end(),
                    [this](const backend_name& id) {
                      return permits_.HasSlotLimit(
                          id, registry_.Find(id)->status.start_time_ms);
                    });
    choice.without_permit = std::move(without_permit);
    return choice;
  }
  // Between exchanges, gateways that all choose the least loaded crowd at the
  // fastest servers.
  const auto max_gateways = AreUneven(candidates)
                                ? options_.max_gateways_for_least_loaded_uneven
                                : options_.max_gateways_for_least_loaded;
  const auto by_capacity =
      (query.is_engine || query.is_spread) && gateway_count_ > max_gateways;
  const auto* server =
      by_capacity ? ChooseByCapacity(candidates, query, now)
                  : ChooseLeastLoaded(candidates, query.is_engine, now);
  auto choice = server_choice();
  choice.verdict = server_verdict::chosen;
  choice.server = server;
  choice.permit = GetPermit(*server, now);
  choice.without_permit = std::move(without_permit);
  return choice;
}

auto server_selector::OnStarted(const backend_name& id, double tokens) -> void {
  auto& state = states_[id];
  state.own.requests += 1;
  state.own.tokens += tokens;
}

auto server_selector::OnPrefilled(const backend_name& id, double tokens)
    -> void {
  auto& state = states_[id];
  state.own.tokens = std::max(0.0, state.own.tokens - tokens);
}

auto server_selector::OnEnded(const backend_name& id, double tokens) -> void {
  auto& state = states_[id];
  state.own.requests = std::max(0.0, state.own.requests - 1);
  state.own.tokens = std::max(0.0, state.own.tokens - tokens);
}

auto server_selector::IsUnreachable(const backend_status& status, mono_time now)
    -> bool {
  const auto& state = states_[status.id];
  return state.unreachable_until > now &&
         state.unreachable_start_time_ms == status.start_time_ms;
}

auto server_selector::IsFull(const backend_name& id, mono_time now) -> bool {
  return states_[id].full_until > now;
}

auto server_selector::OnFull(const backend_name& id, mono_time now)
    -> duration {
  const auto* record = registry_.Find(id);
  if (record == nullptr) {
    return duration(0);
  }
  auto& state = states_[id];
  const auto time_to_a_free_slot = duration(static_cast<duration::rep>(
      static_cast<double>(slot_time_.count()) /
      (std::max(1U, record->status.slots) * GetSpeed(record->status))));
  state.full_time = std::min(std::max(time_to_a_free_slot, 2 * state.full_time),
                             options_.max_full_time);
  const auto jitter =
      duration(static_cast<duration::rep>(random_(static_cast<std::uint64_t>(
          std::max<duration::rep>(1, state.full_time.count())))));
  state.full_until = now + state.full_time / 2 + jitter;
  return state.full_until - now;
}

auto server_selector::OnUnreachable(const backend_name& id, mono_time now)
    -> void {
  const auto* record = registry_.Find(id);
  auto& state = states_[id];
  ++state.connect_failures;
  if (record == nullptr ||
      state.connect_failures < options_.connect_failures_to_exclude) {
    return;
  }
  state.unreachable_start_time_ms = record->status.start_time_ms;
  state.next_retry =
      std::clamp(state.next_retry * 2, options_.retry_min, options_.retry_max);
  state.unreachable_until = now + state.next_retry;
  newly_unreachable_.push_back(id);
}

auto server_selector::SetPathsClosed(bool are_closed) -> void {
  are_paths_closed_ = are_closed;
  newly_unreachable_.clear();
  if (are_closed) {
    return;
  }
  for (auto& [id, state] : states_) {
    state.connect_failures = 0;
    state.unreachable_until = mono_time();
    state.next_retry = duration(0);
    state.ejected_until = mono_time();
    state.next_ejection = duration(0);
  }
}

auto server_selector::TakeUnreachable() -> std::vector<backend_name> {
  return std::exchange(newly_unreachable_, {});
}

auto server_selector::OnAnswered(const backend_name& id) -> void {
  auto& state = states_[id];
  state.connect_failures = 0;
  state.next_retry = duration(0);
  state.full_time = duration(0);
  state.failures = 0;
  state.next_ejection = duration(0);
}

auto server_selector::OnFailed(const backend_name& id, mono_time now) -> bool {
  auto& state = states_[id];
  ++state.failures;
  if (state.failures < options_.failures_to_eject) {
    return false;
  }
  state.next_ejection = std::clamp(state.next_ejection * 2, options_.eject_min,
                                   options_.eject_max);
  state.ejected_until = now + state.next_ejection;
  // A single failure of the next probe ejects the server again.
  state.failures = options_.failures_to_eject - 1;
  return true;
}

auto server_selector::OnMisdirected(const backend_name& id) -> void {
  const auto* record = registry_.Find(id);
  if (record == nullptr) {
    return;
  }
  auto& state = states_[id];
  state.is_misdirected = true;
  state.misdirected_start_time_ms = record->status.start_time_ms;
}

auto server_selector::TakeLoadReport() -> std::map<backend_name, server_load> {
  auto report = std::map<backend_name, server_load>();
  std::erase_if(states_, [this](const auto& item) {
    return item.second.own.requests <= 0 &&
           registry_.Find(item.first) == nullptr;
  });
  for (auto& [id, state] : states_) {
    state.reported = state.own;
    if (state.own.requests > 0) {
      report[id] = state.own;
    }
  }
  return report;
}

auto server_selector::SetTotalLoads(
    const std::map<backend_name, server_load>& loads,
    mono_time now) -> void {
  if (last_exchange_ != mono_time()) {
    exchange_interval_ =
        Smooth(exchange_interval_,
               std::min(now - last_exchange_, kMaxExchangeInterval));
  }
  last_exchange_ = now;
  for (auto& [id, state] : states_) {
    state.others = server_load();
  }
  for (const auto& [id, load] : loads) {
    auto& state = states_[id];
    state.others.requests =
        std::max(0.0, load.requests - state.reported.requests);
    state.others.tokens = std::max(0.0, load.tokens - state.reported.tokens);
  }
}

}  // namespace ebony
