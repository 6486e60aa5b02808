#ifndef EBONY_ENTRY_SERVER_PACE_H_
#define EBONY_ENTRY_SERVER_PACE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/service_samples.h"

namespace ebony {

struct server_pace_options {
  // Half-life of the samples while a server's pace is constant.
  duration half_life = std::chrono::seconds(20);
  // Half-life of the times that a service's servers take on average.
  duration reference_half_life = std::chrono::seconds(60);
  // Samples are collected over this interval before they are compared with the
  // estimate.
  duration interval = std::chrono::milliseconds(300);
  // Intervals in a row that differ from the estimate by more than the factor in
  // the same direction before the estimate is replaced. Half a second of
  // slowness covers no three intervals by enough.
  int intervals_to_replace = 3;
  double factor_to_replace = 1.4;
  // They also differ by more than this number of standard errors.
  double spreads_to_replace = 1.5;
  // Time that has to be expected of the samples of an interval.
  duration min_interval_work = std::chrono::milliseconds(60);
  // A series of intervals ends after this time without samples.
  duration max_series_gap = std::chrono::seconds(3);
  // Samples that an estimate requires, and the time expected of them.
  double min_samples = 4;
  duration min_work = std::chrono::milliseconds(400);
  // Largest spread of an estimate that is used.
  double max_spread = 0.15;
  // An estimate without samples for longer is not used.
  duration max_age = std::chrono::seconds(60);
  // Servers with an estimate that a comparison requires.
  std::size_t min_servers = 4;
  // Paces of the slowest and the fastest quarter that differ by less are equal.
  double min_difference = 1.25;
  // Bounds of a server's speed.
  double min_speed = 0.2;
  double max_speed = 5;
};

// The run of a server that a sample is of, and its load when it was taken.
struct pace_source {
  service_name service;
  backend_name server;
  std::uint64_t start_time_ms = 0;
  double load_per_slot = 0;
};

// Estimated speed of a run of a server.
struct server_speed {
  std::uint64_t start_time_ms = 0;
  double speed = 1;   // relative to the median of the service
  double spread = 0;  // standard error of the estimate, as a fraction of it
  duration age{0};    // of the newest sample
};

// Counts the events of a stream and the time between them, so that only some
// additions are needed for each event.
class event_meter {
  mono_time last_;
  std::uint64_t events_ = 0;
  duration time_{0};

 public:
  // Time over which events are collected.
  static constexpr duration kSampleTime = std::chrono::milliseconds(150);
  // Longest gap that counts: beyond it the stream has stalled.
  static constexpr duration kMaxGap = std::chrono::milliseconds(500);

  auto Reset() -> void { *this = event_meter(); }
  // Adds events that arrived together. The first events of a stream start the
  // measurement.
  auto Add(std::uint64_t events, mono_time now) -> void;
  // Returns true if there are enough for a sample.
  auto HasSample() const -> bool { return time_ >= kSampleTime; }
  auto get_events() const -> std::uint64_t { return events_; }
  auto get_time() const -> duration { return time_; }
  // Continues after a sample has been taken.
  auto Clear() -> void;
};

// Estimates the speed of each server relative to the others of its service from
// the time between the events of streams, the time to their first event by
// prompt tokens, and the time of answers that are no streams.
//
// Each sample is a time, and the time that the servers of the service take on
// average for the same at the same load. The pace of a server is the ratio of
// their sums. An estimate changes slowly until several intervals in a row
// differ from it; it is then replaced by what these intervals show.
class server_pace {
 public:
  using speed_map = std::map<backend_name, server_speed>;

 private:
  // Loads per slot that are told apart: a server is slower with a full batch.
  static constexpr std::size_t kLoadSteps = 4;

  struct average {
    double count = 0;
    double seconds = 0;  // as taken by a server of average pace
  };
  struct service_reference {
    std::array<average, kLoadSteps> events;
    std::array<average, kLoadSteps> answers;
    first_event_sums first_events;
  };
  struct pace_sums {
    double samples = 0;
    double expected = 0;  // seconds
    double observed = 0;  // seconds
    double squares = 0;   // sum of observed * observed / expected

    auto Add(double expected_s, double observed_s) -> void;
    auto Add(const pace_sums& other) -> void;
    auto Scale(double factor) -> void;
    auto GetPace() const -> double;
    // Returns the standard error of the pace, as a fraction of it.
    auto GetSpread() const -> double;
  };
  struct server_state {
    service_name service;
    std::uint64_t start_time_ms = 0;
    pace_sums steady;
    pace_sums interval;
    pace_sums series;  // of the intervals in a row that differ
    mono_time interval_start;
    mono_time last_sample;
    mono_time aged_at;
    int series_length = 0;  // negative: faster than the estimate
  };
  // A server with enough samples.
  struct measured_server {
    const backend_name* server = nullptr;
    const server_state* state = nullptr;
    double pace = 1;
    double spread = 0;
  };

  server_pace_options options_;
  std::map<service_name, service_reference> references_;
  std::map<backend_name, server_state> servers_;
  mono_time references_aged_at_;

  static auto GetStep(double load_per_slot) -> std::size_t;
  // Adds a time to the average of the service and returns the time expected.
  static auto Learn(average& item, double count, double seconds, double pace)
      -> double;
  // Returns the state of the run, or null for a run that is over.
  auto Open(const pace_source& source, mono_time now) -> server_state*;
  auto GetPace(const server_state& state) const -> double;
  auto HasEnough(const server_state& state, mono_time now) const -> bool;
  auto AddSample(server_state& state,
                 double expected_s,
                 double observed_s,
                 mono_time now) -> void;
  auto CloseInterval(server_state& state) -> void;
  auto AgeReferences(mono_time now) -> void;
  auto AreUneven(const std::vector<measured_server>& sorted) const -> bool;

 public:
  explicit server_pace(server_pace_options options);

  // Adds events of a stream and the time between them.
  auto AddEvents(const pace_source& source,
                 std::uint64_t events,
                 duration time,
                 mono_time now) -> void;
  // Adds the time to the first event of a stream that found its server nearly
  // idle.
  auto AddFirstEvent(const pace_source& source,
                     double kilotokens,
                     duration time,
                     mono_time now) -> void;
  // Adds the time of an answer that is no stream.
  auto AddAnswer(const pace_source& source, duration time, mono_time now)
      -> void;
  // Returns the speeds of the measured servers of all services whose servers
  // differ. All others have speed 1.
  auto ListSpeeds(mono_time now) -> speed_map;
  // Forgets the servers that are not known any more.
  auto Prune(const std::function<bool(const backend_name&)>& is_known) -> void;
  auto get_size() const -> std::size_t { return servers_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SERVER_PACE_H_
