#include "entry/wait_estimator.h"

#include <boost/test/unit_test.hpp>

#include "tests/test_support.h"

namespace ebony::testing {

namespace {

const auto kKey = wait_estimator::queue_key(service_name("s"), model_name("m"));

}  // namespace

BOOST_AUTO_TEST_SUITE(wait_estimator_rules)

// Load that it answers: a model gets 40 requests a second and its replicas end
// 20. The wait grows with the queue, so that later callers are told at once.
BOOST_AUTO_TEST_CASE(the_wait_grows_with_the_queue) {
  auto waits = wait_estimator();
  for (auto ms = 0; ms <= 5000; ms += 50) {
    waits.OnSent(kKey, At(ms));
    waits.OnQueued(kKey);
    waits.OnQueued(kKey);
    waits.OnLeftQueue(kKey);
  }
  const auto wait = waits.GetExpectedWait(kKey, At(5000));
  BOOST_REQUIRE(wait.has_value());
  // 101 queued, 20 a second.
  BOOST_TEST((*wait > std::chrono::milliseconds(4500)));
  BOOST_TEST((*wait < std::chrono::milliseconds(6000)));
}

BOOST_AUTO_TEST_CASE(an_empty_queue_is_served_at_the_rate_of_the_servers) {
  auto waits = wait_estimator();
  for (auto ms = 0; ms <= 3000; ms += 100) {
    waits.OnSent(kKey, At(ms));
  }
  const auto wait = waits.GetExpectedWait(kKey, At(3000));
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait < std::chrono::milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(without_recent_requests_the_wait_is_unknown) {
  auto waits = wait_estimator();
  BOOST_TEST(!waits.GetExpectedWait(kKey, At(0)).has_value());
  waits.OnSent(kKey, At(0));
  BOOST_TEST(!waits.GetExpectedWait(kKey, At(0)).has_value());
  for (auto i = 0; i < 10; ++i) {
    waits.OnSent(kKey, At(0));
  }
  BOOST_TEST(waits.GetExpectedWait(kKey, At(0)).has_value());
  BOOST_TEST(!waits.GetExpectedWait(kKey, At(5000)).has_value());
}

// Load that it answers: servers run 20 requests a second and get 40 or 20.
BOOST_AUTO_TEST_CASE(more_arrivals_than_requests_sent_are_an_overload) {
  for (const auto arrivals : {2, 4}) {
    auto waits = wait_estimator();
    for (auto ms = 0; ms <= 4000; ms += 100) {
      for (auto i = 0; i < arrivals; ++i) {
        waits.OnArrived(kKey, At(ms));
      }
      waits.OnSent(kKey, At(ms));
      waits.OnSent(kKey, At(ms));
    }
    BOOST_TEST(waits.IsOverloaded(kKey, At(4000)) == (arrivals > 2));
  }
  BOOST_TEST(!wait_estimator().IsOverloaded(kKey, At(0)));
}

// Of ten requests a second, some in a row may have to wait.
BOOST_AUTO_TEST_CASE(a_few_arrivals_that_wait_are_no_overload) {
  auto waits = wait_estimator();
  for (auto ms = 0; ms <= 4000; ms += 100) {
    waits.OnArrived(kKey, At(ms));
    if (ms <= 3600) {
      waits.OnSent(kKey, At(ms));
    }
  }
  BOOST_TEST(!waits.IsOverloaded(kKey, At(4000)));
}

BOOST_AUTO_TEST_CASE(models_do_not_share_their_queues) {
  auto waits = wait_estimator();
  const auto other =
      wait_estimator::queue_key(service_name("s"), model_name("n"));
  for (auto i = 0; i < 20; ++i) {
    waits.OnSent(kKey, At(0));
    waits.OnSent(other, At(0));
    waits.OnQueued(other);
  }
  BOOST_TEST((*waits.GetExpectedWait(kKey, At(0)) <
              *waits.GetExpectedWait(other, At(0))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
