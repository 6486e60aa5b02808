#include <boost/test/unit_test.hpp>

#include "consensus/pending_proposals.h"
#include "tests/coordinator_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kOk = 200;

}  // namespace

BOOST_AUTO_TEST_SUITE(config_acknowledgement)

BOOST_AUTO_TEST_CASE(a_committed_configuration_is_acknowledged) {
  auto harness = coordinator_harness();
  harness.AwaitLeadership();
  const auto answer = harness.PutConfig(5);
  harness.RunUntil([&] { return answer->status != 0; });
  BOOST_TEST(answer->status == kOk);
}

// Another leader's entry takes the index of the proposal.
BOOST_AUTO_TEST_CASE(an_overwritten_configuration_is_not_acknowledged) {
  auto harness = coordinator_harness();
  harness.AwaitLeadership();
  harness.SetAccepting(false);
  const auto answer = harness.PutConfig(5);
  harness.RunFor(milliseconds(30));
  BOOST_TEST(answer->status == 0);
  harness.OverwriteEntries();
  harness.RunUntil([&] { return answer->status != 0; });
  BOOST_TEST(answer->status != kOk);
}

BOOST_AUTO_TEST_CASE(a_proposal_is_known_by_its_index_and_its_term) {
  const auto outcome_of = [](std::uint64_t index, std::uint64_t term) {
    auto proposals = pending_proposals();
    auto outcome = std::string("pending");
    proposals.Add(log_index(7), term_number(3), [&outcome](bool is_committed) {
      outcome = is_committed ? "committed" : "unknown";
    });
    auto entry = log_entry();
    entry.index = log_index(index);
    entry.term = term_number(term);
    proposals.OnApplied(entry);
    return outcome;
  };
  BOOST_TEST(outcome_of(7, 3) == "committed");
  BOOST_TEST(outcome_of(7, 4) == "unknown");
  BOOST_TEST(outcome_of(6, 3) == "pending");
  // A snapshot that covers the index was installed.
  BOOST_TEST(outcome_of(9, 4) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
