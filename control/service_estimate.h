#ifndef EBONY_CONTROL_SERVICE_ESTIMATE_H_
#define EBONY_CONTROL_SERVICE_ESTIMATE_H_

#include <map>

#include "core/ids.h"
#include "core/service_samples.h"

namespace ebony {

// Estimates what a request costs an engine from what gateways observe: the time
// for which requests for each model hold a batch slot, and the rate at which
// prompts are processed. Older observations lose weight.
class service_estimate {
  struct slot_sums {
    double ended = 0;    // requests
    double seconds = 0;  // for which they held a slot
  };

  std::map<model_name, slot_sums> models_;
  slot_sums all_;
  first_event_sums first_events_;

 public:
  // Adds requests that ended, and the sum of the times for which they ran.
  auto AddEnded(const model_name& model, double requests, double seconds)
      -> void;
  auto AddFirstEvents(const first_event_sums& sums) -> void;
  // Reduces the weight of all observations for the time that has passed.
  auto Age(duration elapsed) -> void;

  // Returns the expected time for which a request holds a slot, in seconds.
  auto GetSlotSeconds(const model_name& model) const -> double;
  // Returns the rate at which an engine processes prompts.
  auto GetPromptTokensPerSecond() const -> double;
};

}  // namespace ebony

#endif  // EBONY_CONTROL_SERVICE_ESTIMATE_H_
