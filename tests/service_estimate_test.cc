#include "control/service_estimate.h"

#include <boost/test/unit_test.hpp>

namespace ebony::testing {

BOOST_AUTO_TEST_SUITE(service_estimate_rules)

BOOST_AUTO_TEST_CASE(the_slot_time_of_a_model_is_learnt) {
  auto estimate = service_estimate();
  estimate.AddEnded(model_name("long"), 200, 400);
  estimate.AddEnded(model_name("short"), 200, 40);
  BOOST_TEST(std::abs(estimate.GetSlotSeconds(model_name("long")) - 2) < 0.1);
  BOOST_TEST(std::abs(estimate.GetSlotSeconds(model_name("short")) - 0.2) <
             0.1);
}

BOOST_AUTO_TEST_CASE(an_unknown_model_is_taken_for_an_average_one) {
  auto estimate = service_estimate();
  estimate.AddEnded(model_name("m"), 1000, 3000);
  const auto seconds = estimate.GetSlotSeconds(model_name("unknown"));
  BOOST_TEST(std::abs(seconds - 3) < 0.1);
}

BOOST_AUTO_TEST_CASE(old_observations_are_forgotten) {
  auto estimate = service_estimate();
  estimate.AddEnded(model_name("m"), 100, 100);
  estimate.Age(std::chrono::seconds(150));
  estimate.AddEnded(model_name("m"), 100, 300);
  BOOST_TEST(estimate.GetSlotSeconds(model_name("m")) > 2.5);
}

// Streams with a fixed delay of 20 ms and 40 ms for a thousand prompt tokens.
BOOST_AUTO_TEST_CASE(the_prompt_rate_is_the_slope_without_the_fixed_delay) {
  auto estimate = service_estimate();
  auto sums = first_event_sums();
  for (auto i = 0; i < 100; ++i) {
    const auto kilotokens = 0.2 + 0.03 * i;
    sums.Add(kilotokens, 0.020 + 0.040 * kilotokens);
  }
  estimate.AddFirstEvents(sums);
  BOOST_TEST(std::abs(estimate.GetPromptTokensPerSecond() - 25000) < 10);
}

BOOST_AUTO_TEST_CASE(few_or_equal_samples_give_no_prompt_rate) {
  auto estimate = service_estimate();
  const auto unknown = estimate.GetPromptTokensPerSecond();
  auto sums = first_event_sums();
  for (auto i = 0; i < 200; ++i) {
    sums.Add(1.0, 0.1);
  }
  estimate.AddFirstEvents(sums);
  BOOST_TEST(estimate.GetPromptTokensPerSecond() == unknown);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
