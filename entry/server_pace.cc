#include "entry/server_pace.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace ebony {

namespace {

// Events, answers and first events needed before their average is used.
constexpr double kMinEvents = 200;
constexpr double kMinAnswers = 20;
constexpr double kMinFirstEvents = 50;
// Avoids a division by zero, in seconds.
constexpr double kMinWork = 1e-6;

auto ToSeconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto GetDecay(duration elapsed, duration half_life) -> double {
  return std::exp2(-ToSeconds(elapsed) / ToSeconds(half_life));
}

// Returns the time to the first event of a prompt, by a line through the
// samples.
auto GetFirstEventSeconds(const first_event_sums& sums, double kilotokens)
    -> std::optional<double> {
  const auto spread =
      sums.count * sums.tokens_squared - sums.tokens * sums.tokens;
  const auto rise =
      sums.count * sums.tokens_by_seconds - sums.tokens * sums.seconds;
  if (sums.count < kMinFirstEvents || spread <= 0 || rise <= 0) {
    return std::nullopt;
  }
  const auto slope = rise / spread;
  const auto base = (sums.seconds - slope * sums.tokens) / sums.count;
  const auto expected = base + slope * kilotokens;
  return expected > 0 ? std::optional(expected) : std::nullopt;
}

}  // namespace

auto event_meter::Add(std::uint64_t events, mono_time now) -> void {
  if (events == 0) {
    return;
  }
  if (last_ != mono_time()) {
    events_ += events;
    time_ += std::min<duration>(now - last_, kMaxGap);
  }
  last_ = now;
}

auto event_meter::Clear() -> void {
  events_ = 0;
  time_ = duration(0);
}

auto server_pace::pace_sums::Add(double expected_s, double observed_s) -> void {
  samples += 1;
  expected += expected_s;
  observed += observed_s;
  squares += observed_s * observed_s / expected_s;
}

auto server_pace::pace_sums::Add(const pace_sums& other) -> void {
  samples += other.samples;
  expected += other.expected;
  observed += other.observed;
  squares += other.squares;
}

auto server_pace::pace_sums::Scale(double factor) -> void {
  samples *= factor;
  expected *= factor;
  observed *= factor;
  squares *= factor;
}

auto server_pace::pace_sums::GetPace() const -> double {
  return expected > 0 ? observed / expected : 1;
}

auto server_pace::pace_sums::GetSpread() const -> double {
  // The spread of very few samples is often much too small.
  constexpr double kLostSamples = 2;
  if (samples <= kLostSamples || observed <= 0) {
    return 1;
  }
  const auto pace = GetPace();
  const auto variance =
      std::max(0.0, squares - pace * observed) / (samples - kLostSamples);
  return std::sqrt(variance / expected) / pace;
}

server_pace::server_pace(server_pace_options options) : options_(options) {}

auto server_pace::GetStep(double load_per_slot) -> std::size_t {
  const auto step = std::max(0.0, load_per_slot) * kLoadSteps;
  return std::min(kLoadSteps - 1, static_cast<std::size_t>(step));
}

auto server_pace::Learn(average& item,
                        double count,
                        double seconds,
                        double pace) -> double {
  item.count += count;
  item.seconds += seconds / pace;
  return count * item.seconds / item.count;
}

auto server_pace::Open(const pace_source& source, mono_time now)
    -> server_state* {
  auto& state = servers_[source.server];
  if (source.start_time_ms < state.start_time_ms) {
    return nullptr;  // the end of a request at an earlier run
  }
  if (source.start_time_ms > state.start_time_ms ||
      state.service != source.service) {
    state = server_state();
    state.service = source.service;
    state.start_time_ms = source.start_time_ms;
    state.aged_at = now;
  }
  return &state;
}

auto server_pace::GetPace(const server_state& state) const -> double {
  return state.steady.samples >= options_.min_samples ? state.steady.GetPace()
                                                      : 1;
}

auto server_pace::HasEnough(const server_state& state, mono_time now) const
    -> bool {
  return state.steady.samples >= options_.min_samples &&
         state.steady.expected >= ToSeconds(options_.min_work) &&
         state.steady.GetSpread() <= options_.max_spread &&
         now - state.last_sample <= options_.max_age;
}

auto server_pace::AddSample(server_state& state,
                            double expected_s,
                            double observed_s,
                            mono_time now) -> void {
  if (state.interval.samples > 0 &&
      now - state.interval_start >= options_.interval) {
    CloseInterval(state);
  }
  if (now - state.last_sample > options_.max_series_gap) {
    state.series = pace_sums();
    state.series_length = 0;
  }
  if (state.interval.samples <= 0) {
    state.interval_start = now;
  }
  state.interval.Add(expected_s, observed_s);
  state.last_sample = now;
}

auto server_pace::CloseInterval(server_state& state) -> void {
  const auto closed = std::exchange(state.interval, pace_sums());
  const auto end = state.last_sample;
  state.steady.Scale(
      GetDecay(std::max(duration(0), end - state.aged_at), options_.half_life));
  state.aged_at = end;
  const auto ratio = closed.GetPace() / GetPace(state);
  // The spread of an interval, given that of all samples.
  const auto spread =
      state.steady.GetSpread() *
      std::sqrt(state.steady.expected / std::max(closed.expected, kMinWork));
  const auto least = std::max(std::log(options_.factor_to_replace),
                              options_.spreads_to_replace * spread);
  const auto change = std::log(ratio);
  const auto direction = change > least ? 1 : change < -least ? -1 : 0;
  const auto is_sure = state.steady.samples >= options_.min_samples &&
                       closed.expected >= ToSeconds(options_.min_interval_work);
  if (!is_sure || direction == 0) {
    state.steady.Add(closed);
    if (is_sure) {
      state.steady.Add(std::exchange(state.series, pace_sums()));
      state.series_length = 0;
    }
    return;
  }
  if (state.series_length * direction < 0) {
    state.steady.Add(std::exchange(state.series, pace_sums()));
    state.series_length = 0;
  }
  state.series.Add(closed);
  state.series_length += direction;
  if (std::abs(state.series_length) >= options_.intervals_to_replace) {
    state.steady = std::exchange(state.series, pace_sums());
    state.series_length = 0;
  }
}

auto server_pace::AddEvents(const pace_source& source,
                            std::uint64_t events,
                            duration time,
                            mono_time now) -> void {
  auto* state = Open(source, now);
  if (state == nullptr || events == 0 || time <= duration(0)) {
    return;
  }
  auto& item =
      references_[source.service].events[GetStep(source.load_per_slot)];
  const auto expected = Learn(item, static_cast<double>(events),
                              ToSeconds(time), GetPace(*state));
  if (item.count >= kMinEvents) {
    AddSample(*state, expected, ToSeconds(time), now);
  }
}

auto server_pace::AddFirstEvent(const pace_source& source,
                                double kilotokens,
                                duration time,
                                mono_time now) -> void {
  auto* state = Open(source, now);
  if (state == nullptr || time <= duration(0)) {
    return;
  }
  auto& sums = references_[source.service].first_events;
  sums.Add(kilotokens, ToSeconds(time) / GetPace(*state));
  const auto expected = GetFirstEventSeconds(sums, kilotokens);
  if (expected) {
    AddSample(*state, *expected, ToSeconds(time), now);
  }
}

auto server_pace::AddAnswer(const pace_source& source,
                            duration time,
                            mono_time now) -> void {
  auto* state = Open(source, now);
  if (state == nullptr || time <= duration(0)) {
    return;
  }
  auto& item =
      references_[source.service].answers[GetStep(source.load_per_slot)];
  const auto expected = Learn(item, 1, ToSeconds(time), GetPace(*state));
  if (item.count >= kMinAnswers) {
    AddSample(*state, expected, ToSeconds(time), now);
  }
}

auto server_pace::AgeReferences(mono_time now) -> void {
  const auto last = std::exchange(references_aged_at_, now);
  if (last == mono_time() || now <= last) {
    return;
  }
  const auto factor = GetDecay(now - last, options_.reference_half_life);
  for (auto& [name, reference] : references_) {
    for (auto* averages : {&reference.events, &reference.answers}) {
      for (auto& item : *averages) {
        item.count *= factor;
        item.seconds *= factor;
      }
    }
    reference.first_events.Scale(factor);
  }
}

// The estimates differ by chance as well; what their spreads explain of the
// difference does not count.
auto server_pace::AreUneven(const std::vector<measured_server>& sorted) const
    -> bool {
  const auto quarter = std::max<std::size_t>(1, sorted.size() / 4);
  auto fastest = 0.0;
  auto slowest = 0.0;
  for (auto i = std::size_t{0}; i < quarter; ++i) {
    fastest += std::log(sorted[i].pace);
    slowest += std::log(sorted[sorted.size() - 1 - i].pace);
  }
  const auto difference = (slowest - fastest) / static_cast<double>(quarter);
  auto sum = 0.0;
  auto squares = 0.0;
  // The variance of the estimates of a few servers is itself uncertain.
  constexpr double kNoiseMargin = 2;
  auto noise = 0.0;
  for (const auto& item : sorted) {
    const auto value = std::log(item.pace);
    sum += value;
    squares += value * value;
    noise += kNoiseMargin * item.spread * item.spread;
  }
  const auto count = static_cast<double>(sorted.size());
  const auto variance = squares - sum * sum / count;
  if (variance <= noise) {
    return false;
  }
  return difference * std::sqrt(1 - noise / variance) >
         std::log(options_.min_difference);
}

auto server_pace::ListSpeeds(mono_time now) -> speed_map {
  AgeReferences(now);
  auto by_service = std::map<service_name, std::vector<measured_server>>();
  for (auto& [id, state] : servers_) {
    if (state.interval.samples > 0 &&
        now - state.interval_start >= options_.interval) {
      CloseInterval(state);
    }
    if (HasEnough(state, now)) {
      by_service[state.service].push_back(
          {&id, &state, state.steady.GetPace(), state.steady.GetSpread()});
    }
  }
  auto speeds = speed_map();
  for (auto& [service, measured] : by_service) {
    if (measured.size() < options_.min_servers) {
      continue;
    }
    std::sort(measured.begin(), measured.end(),
              [](const measured_server& left, const measured_server& right) {
                return left.pace < right.pace;
              });
    if (!AreUneven(measured)) {
      continue;
    }
    const auto median = measured[measured.size() / 2].pace;
    for (const auto& item : measured) {
      speeds[*item.server] = {item.state->start_time_ms,
                              std::clamp(median / item.pace, options_.min_speed,
                                         options_.max_speed),
                              item.spread, now - item.state->last_sample};
    }
  }
  return speeds;
}

auto server_pace::Prune(
    const std::function<bool(const backend_name&)>& is_known) -> void {
  std::erase_if(servers_,
                [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace ebony
