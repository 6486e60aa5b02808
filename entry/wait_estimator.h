#ifndef EBONY_ENTRY_WAIT_ESTIMATOR_H_
#define EBONY_ENTRY_WAIT_ESTIMATOR_H_

#include <map>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "entry/smoothed_rate.h"

namespace ebony {

// Estimates how long a queued request waits for a server that holds its model:
// the requests ahead of it, divided by the rate at which this gateway sent
// requests for the model lately. Answers loads at which a few models get more
// requests than their replicas can run: whoever cannot be served in time is
// told so at once instead of after the wait.
class wait_estimator {
 public:
  using queue_key = std::pair<service_name, model_name>;

 private:
  struct queue_state {
    smoothed_rate sent;
    smoothed_rate arrived;
    std::size_t queued = 0;

    queue_state();
  };

  std::map<queue_key, queue_state> queues_;

 public:
  // A caller's request has come, whether or not it has to wait.
  auto OnArrived(const queue_key& key, mono_time now) -> void;
  auto OnSent(const queue_key& key, mono_time now) -> void;
  auto OnQueued(const queue_key& key) -> void;
  auto OnLeftQueue(const queue_key& key) -> void;

  // Returns the expected wait of a request that is queued now, or std::nullopt
  // if too few requests were sent lately to tell.
  auto GetExpectedWait(const queue_key& key, mono_time now) const
      -> std::optional<duration>;
  // Returns true if more requests arrive than are sent, so that nothing is left
  // for those that have already missed their objective.
  auto IsOverloaded(const queue_key& key, mono_time now) const -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_WAIT_ESTIMATOR_H_
