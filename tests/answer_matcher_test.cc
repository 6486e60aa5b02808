#include "drivers/answer_matcher.h"

#include <boost/test/unit_test.hpp>

namespace ebony::testing {

namespace {

constexpr auto kById = answer_matching::by_id;
constexpr auto kByOrder = answer_matching::by_order;
const auto kNone = call_id();
const auto kFirst = call_id("first");
const auto kSecond = call_id("second");

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_matcher_rules)

BOOST_AUTO_TEST_CASE(an_id_goes_over_a_connection_once) {
  auto matcher = answer_matcher();
  BOOST_TEST(matcher.CanCarry(kFirst, kById));
  matcher.OnSent(kFirst, kById);
  BOOST_TEST(!matcher.CanCarry(kFirst, kById));
  BOOST_TEST(matcher.CanCarry(kSecond, kById));
  matcher.OnSent(kSecond, kById);
  BOOST_TEST(!matcher.CanCarry(kFirst, kById));
  BOOST_TEST(!matcher.CanCarry(kSecond, kById));
}

BOOST_AUTO_TEST_CASE(a_call_without_id_goes_over_a_new_connection_only) {
  auto matcher = answer_matcher();
  BOOST_TEST(matcher.CanCarry(kNone, kById));
  matcher.OnSent(kFirst, kById);
  BOOST_TEST(matcher.IsReusable());
  BOOST_TEST(!matcher.CanCarry(kNone, kById));
}

BOOST_AUTO_TEST_CASE(a_connection_is_closed_after_a_call_without_id) {
  auto matcher = answer_matcher();
  matcher.OnSent(kNone, kById);
  BOOST_TEST(!matcher.IsReusable());
}

BOOST_AUTO_TEST_CASE(the_answer_to_an_earlier_call_is_not_believed) {
  auto matcher = answer_matcher();
  matcher.OnSent(kFirst, kById);
  BOOST_TEST(matcher.IsOwn(kFirst));
  BOOST_TEST(matcher.IsOwn(kNone));
  BOOST_TEST(!matcher.IsOwn(kSecond));
  matcher.OnSent(kSecond, kById);
  BOOST_TEST(matcher.IsOwn(kSecond));
  BOOST_TEST(!matcher.IsOwn(kFirst));
  BOOST_TEST(!matcher.IsOwn(kNone));
}

BOOST_AUTO_TEST_CASE(processes_of_this_system_answer_in_order) {
  auto matcher = answer_matcher();
  for (auto i = 0; i < 3; ++i) {
    BOOST_TEST(matcher.CanCarry(kNone, kByOrder));
    matcher.OnSent(kNone, kByOrder);
    BOOST_TEST(matcher.IsOwn(kNone));
    BOOST_TEST(matcher.IsReusable());
  }
  matcher.OnSent(kFirst, kByOrder);
  BOOST_TEST(matcher.IsOwn(kNone));
  BOOST_TEST(!matcher.IsOwn(kSecond));
}

BOOST_AUTO_TEST_CASE(a_connection_remembers_a_bounded_number_of_ids) {
  constexpr auto kCalls = 5000;
  auto matcher = answer_matcher();
  auto calls = 0;
  while (calls < kCalls && (calls == 0 || matcher.IsReusable())) {
    matcher.OnSent(call_id(std::to_string(++calls)), kById);
  }
  BOOST_TEST(calls == 1024);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
