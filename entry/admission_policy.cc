#include "entry/admission_policy.h"

#include <algorithm>

namespace ebony {

namespace {

// A request that has missed its objective waits for this part of its caller's
// patience.
constexpr int kLateWaitDivisor = 4;

// Time constants of the smoothing of rates and of the shares of kinds.
constexpr double kRateWindowSeconds = 1.0;
constexpr double kShareWindowSeconds = 30.0;
// Requests started within the window below which the rate is not used.
constexpr double kMinRate = 2.0;
// Models for which requests have come, per service, above which idle ones are
// forgotten.
constexpr std::size_t kMaxModels = 512;
// Outcomes of a kind below which its share is not judged.
constexpr double kMinOutcomes = 4.0;
constexpr double kMinShare = 0.25;
// By this each rank puts the latest start off in the order, and its bound as a
// part of the objective: a less urgent organisation's requests must not become
// late while there is room for all in time.
constexpr duration kUrgencyPerRank = std::chrono::milliseconds(100);
constexpr int kMaxUrgencyDivisor = 4;
// Ranks in the order of those that wait.
constexpr int kStarvedRank = -1;
constexpr int kYieldingRank = 1;
constexpr int kLateRank = 2;
// Prompt tokens that occupy a slot of an engine for as long as an output token.
constexpr std::uint64_t kPromptTokensPerOutputToken = 200;
// Part of the objective for which a patient request yields.
constexpr int kYieldDivisor = 2;
// Part of the objective that is left to the server if it is not known how long
// servers take, and bounds of that part if it is.
constexpr int kDefaultStartDivisor = 2;
constexpr int kMinStartDivisor = 8;
// Servers take this much longer than their mean at times.
constexpr int kStartTimeFactor = 2;
// A request is refused when its expected wait is this much longer than the time
// in which it has to start: the rate at which requests start varies.
constexpr int kDoubtFactor = 2;
// Part of the caller's patience that is left to the server if it is not known
// how long servers take.
constexpr int kDefaultLateDivisor = 4;

auto GetWork(const admission_terms& terms) -> std::uint64_t {
  return terms.prompt_tokens +
         terms.output_tokens * kPromptTokensPerOutputToken;
}

// Returns the time by which a rank puts the latest start off in the order.
auto GetUrgencyOffset(const admission_terms& terms) -> duration {
  return std::min<duration>(terms.rank * kUrgencyPerRank,
                            terms.objective / kMaxUrgencyDivisor);
}

auto ToDuration(double seconds) -> duration {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

admission_policy::queue_state::queue_state() : started(kRateWindowSeconds) {}

admission_policy::kind_state::kind_state()
    : started(kShareWindowSeconds), refused(kShareWindowSeconds) {}

auto admission_policy::kind_state::GetServedPart(mono_time now) const
    -> double {
  const auto served = started.Get(now);
  const auto all = served + refused.Get(now);
  return all > 0 ? served / all : 1;
}

auto admission_policy::Find(const service_name& service) const
    -> const service_state* {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

auto admission_policy::OnQueued(const admission_terms& terms,
                                const queue_order& order) -> void {
  auto& state = services_[terms.service];
  const auto place = std::pair(order.rank, terms.rank);
  ++state.all.waiting[place];
  ++state.models[terms.model].waiting[place];
}

auto admission_policy::OnLeftQueue(const admission_terms& terms,
                                   const queue_order& order) -> void {
  auto& state = services_[terms.service];
  for (auto* queue : {&state.all, &state.models[terms.model]}) {
    const auto found = queue->waiting.find({order.rank, terms.rank});
    if (found != queue->waiting.end() && --found->second == 0) {
      queue->waiting.erase(found);
    }
  }
}

auto admission_policy::OnStarted(const admission_terms& terms, mono_time now)
    -> void {
  auto& state = services_[terms.service];
  if (state.models.size() > kMaxModels) {
    std::erase_if(state.models, [now](const auto& item) {
      return item.second.waiting.empty() &&
             item.second.started.Get(now) < kMinRate;
    });
  }
  state.all.started.Count(now);
  state.models[terms.model].started.Count(now);
  state.all_kinds.started.Count(now);
  state.kinds[terms.kind].started.Count(now);
}

auto admission_policy::OnRefused(const admission_terms& terms, mono_time now)
    -> void {
  auto& state = services_[terms.service];
  state.all_kinds.refused.Count(now);
  state.kinds[terms.kind].refused.Count(now);
}

auto admission_policy::OnAnswered(const admission_terms& terms, duration time)
    -> void {
  constexpr int kWeightOfOld = 15;
  auto& times = services_[terms.service].start_times;
  const auto [mean, is_first] = times.try_emplace(terms.kind.first, time);
  if (!is_first) {
    mean->second = (mean->second * kWeightOfOld + time) / (kWeightOfOld + 1);
  }
}

auto admission_policy::GetStartTime(const admission_terms& terms) const
    -> std::optional<duration> {
  const auto* state = Find(terms.service);
  if (state == nullptr) {
    return std::nullopt;
  }
  const auto found = state->start_times.find(terms.kind.first);
  return found == state->start_times.end()
             ? std::nullopt
             : std::optional(found->second * kStartTimeFactor);
}

auto admission_policy::IsStarved(const admission_terms& terms,
                                 mono_time now) const -> bool {
  const auto* state = Find(terms.service);
  if (state == nullptr) {
    return false;
  }
  const auto found = state->kinds.find(terms.kind);
  if (found == state->kinds.end()) {
    return false;
  }
  const auto& kind = found->second;
  const auto outcomes = kind.started.GetCount(now) + kind.refused.GetCount(now);
  return outcomes >= kMinOutcomes &&
         kind.GetServedPart(now) <
             kMinShare * state->all_kinds.GetServedPart(now);
}

auto admission_policy::GetYieldEnd(const admission_terms& terms) const
    -> mono_time {
  return std::min(terms.arrived_at + terms.objective / kYieldDivisor,
                  GetLatestStart(terms));
}

auto admission_policy::MustYield(const admission_terms& terms,
                                 const admission_room& room,
                                 mono_time now) const -> bool {
  return terms.is_patient && room.is_last_room && now < GetYieldEnd(terms) &&
         !IsStarved(terms, now);
}

auto admission_policy::GetLatestStart(const admission_terms& terms) const
    -> mono_time {
  const auto most = terms.objective / kDefaultStartDivisor;
  const auto least = terms.objective / kMinStartDivisor;
  const auto needed =
      std::clamp(GetStartTime(terms).value_or(most), least, most);
  return std::min(terms.arrived_at + terms.objective - needed,
                  GetUselessFrom(terms));
}

auto admission_policy::GetUselessFrom(const admission_terms& terms) const
    -> mono_time {
  const auto most = (terms.give_up_at - terms.arrived_at) / kDefaultLateDivisor;
  return terms.give_up_at - std::min(GetStartTime(terms).value_or(most), most);
}

auto admission_policy::GetLastStart(const admission_terms& terms) const
    -> mono_time {
  // A request that waited on would be held until its caller leaves, without an
  // offer to a server and too late to try again elsewhere.
  const auto patience = terms.give_up_at - terms.arrived_at;
  return std::min(GetUselessFrom(terms),
                  GetLatestStart(terms) + patience / kLateWaitDivisor);
}

auto admission_policy::GetExpectedWait(const admission_terms& terms,
                                       int order_rank,
                                       mono_time now) const
    -> std::optional<duration> {
  const auto* state = Find(terms.service);
  if (state == nullptr) {
    return std::nullopt;
  }
  const auto model = state->models.find(terms.model);
  const auto* queue =
      model != state->models.end() && model->second.started.Get(now) >= kMinRate
          ? &model->second
          : &state->all;
  const auto rate = queue->started.Get(now);
  if (rate < kMinRate) {
    return std::nullopt;
  }
  auto ahead = std::size_t{0};
  for (const auto& [place, count] : queue->waiting) {
    if (place > std::pair(order_rank, terms.rank)) {
      break;
    }
    ahead += count;
  }
  return ToDuration(static_cast<double>(ahead + 1) / rate);
}

auto admission_policy::CountPlaces(const service_name& service) const
    -> std::size_t {
  const auto* state = Find(service);
  return state == nullptr ? 0 : state->all.waiting.size();
}

auto admission_policy::GetOrder(const admission_terms& terms,
                                mono_time now) const -> queue_order {
  const auto latest_start = GetLatestStart(terms);
  if (IsStarved(terms, now)) {
    return {kStarvedRank, latest_start, GetWork(terms)};
  }
  if (now >= latest_start) {
    // The value of an answer for each unit of work falls with the rank.
    return {kLateRank, mono_time::max(),
            GetWork(terms) * static_cast<std::uint64_t>(1 + terms.rank)};
  }
  if (terms.is_patient && now < GetYieldEnd(terms)) {
    return {kYieldingRank, latest_start + GetUrgencyOffset(terms),
            GetWork(terms)};
  }
  return {0, latest_start + GetUrgencyOffset(terms), GetWork(terms)};
}

auto admission_policy::Decide(const admission_terms& terms,
                              const admission_room& room,
                              mono_time now) const -> admission_decision {
  auto decision = admission_decision();
  decision.order = GetOrder(terms, now);
  const auto must_yield = room.has_room && MustYield(terms, room, now);
  if (room.has_room && !must_yield) {
    return decision;
  }
  const auto last_start = GetLastStart(terms);
  const auto expected = GetExpectedWait(terms, decision.order.rank, now);
  decision.expected_wait =
      std::max(room.load_time, expected.value_or(duration(0)));
  const auto is_hopeless =
      now >= last_start ||
      (!room.has_room &&
       now + decision.expected_wait / kDoubtFactor > last_start);
  if (is_hopeless) {
    decision.action = admission_action::refuse;
    return decision;
  }
  decision.action = admission_action::wait;
  decision.until = last_start;
  if (now < GetLatestStart(terms)) {
    decision.until = GetLatestStart(terms);
  }
  if (terms.is_patient && now < GetYieldEnd(terms)) {
    decision.until = GetYieldEnd(terms);
  }
  return decision;
}

}  // namespace ebony
