#ifndef EBONY_CORE_SERVICE_SAMPLES_H_
#define EBONY_CORE_SERVICE_SAMPLES_H_

namespace ebony {

// Sums over streams that found their server nearly idle: their prompt lengths
// in thousands of tokens, and the times to their first events in seconds. The
// slope of a line through the samples is the time for a thousand tokens.
struct first_event_sums {
  double count = 0;
  double tokens = 0;
  double seconds = 0;
  double tokens_squared = 0;
  double tokens_by_seconds = 0;

  auto Add(double kilotokens, double first_event_seconds) -> void {
    count += 1;
    tokens += kilotokens;
    seconds += first_event_seconds;
    tokens_squared += kilotokens * kilotokens;
    tokens_by_seconds += kilotokens * first_event_seconds;
  }
  auto Add(const first_event_sums& other) -> void {
    count += other.count;
    tokens += other.tokens;
    seconds += other.seconds;
    tokens_squared += other.tokens_squared;
    tokens_by_seconds += other.tokens_by_seconds;
  }
  auto Scale(double factor) -> void {
    count *= factor;
    tokens *= factor;
    seconds *= factor;
    tokens_squared *= factor;
    tokens_by_seconds *= factor;
  }
};

}  // namespace ebony

#endif  // EBONY_CORE_SERVICE_SAMPLES_H_
