#include <boost/test/unit_test.hpp>
#include <set>

#include "consensus/membership_planner.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

auto Node(const char* name) -> node_id {
  return node_id(name);
}

// A group whose members reply to the leader, except those in `unresponsive`.
struct planner_harness {
  membership group;
  std::set<node_id> unresponsive;
  std::vector<node_id> joiners;
  duration since_reply = milliseconds(60000);
  std::optional<bool> supports_swaps = true;

  auto GetStatus() const -> group_status {
    auto status = group_status();
    status.joiners = joiners;
    status.members.is_caught_up = [this](const node_id& id) {
      return !unresponsive.contains(id);
    };
    status.members.get_time_since_reply = [this](const node_id& id) {
      return unresponsive.contains(id) ? since_reply : duration(0);
    };
    status.members.supports_swaps = [this](const node_id&) {
      return supports_swaps;
    };
    status.members.disk_lost_after = milliseconds(600);
    return status;
  }

  auto Plan() const -> std::optional<membership> {
    auto options = membership_plan_options();
    options.voter_target = 5;
    return PlanMembership(group, group.voters.at(0), GetStatus(), options);
  }

  auto CountWorkingVoters() const -> std::size_t {
    auto count = std::size_t{0};
    for (const auto& voter : group.voters) {
      count += unresponsive.contains(voter) ? 0 : 1;
    }
    return count;
  }

  // Applies plans until there is none. Checks at each step that working voters
  // are a majority and that their number does not fall, except towards 5.
  auto Settle() -> void {
    for (auto step = 0; step < 40; ++step) {
      const auto next = Plan();
      if (!next) {
        return;
      }
      const auto working = CountWorkingVoters();
      group = *next;
      BOOST_TEST_REQUIRE(CountWorkingVoters() >=
                         std::min<std::size_t>(working, 5));
      BOOST_TEST_REQUIRE(CountWorkingVoters() * 2 > group.voters.size());
      BOOST_TEST_REQUIRE(group.voters.size() <= 6U);
    }
    BOOST_ERROR("the plan does not converge");
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_planner)

BOOST_AUTO_TEST_CASE(group_grows_to_target_and_keeps_learners) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0")};
  harness.joiners = {Node("d:1.5"), Node("e:1.6"), Node("f:1.7")};
  harness.Settle();
  BOOST_TEST(harness.group.voters.size() == 5U);
  BOOST_TEST(harness.group.learners.size() == 1U);
}

BOOST_AUTO_TEST_CASE(new_disk_replaces_lost_disk) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0")};
  harness.unresponsive = {Node("c:1.0")};
  harness.since_reply = milliseconds(1000);  // below replace_voter_after
  harness.joiners = {Node("c:1.99")};
  harness.Settle();
  const auto expected =
      std::vector<node_id>{Node("a:1.0"), Node("b:1.0"), Node("c:1.99")};
  BOOST_TEST((harness.group.voters == expected));
}

BOOST_AUTO_TEST_CASE(empty_vm_replaces_lost_vm) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0"),
                          Node("d:1.0"), Node("e:1.0")};
  harness.unresponsive = {Node("e:1.0")};
  harness.joiners = {Node("f:1.3")};
  harness.Settle();
  BOOST_TEST(harness.group.voters.size() == 5U);
  BOOST_TEST(!std::count(harness.group.voters.begin(),
                         harness.group.voters.end(), Node("e:1.0")));
}

BOOST_AUTO_TEST_CASE(unresponsive_voter_stays_without_replacement) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0")};
  harness.unresponsive = {Node("c:1.0")};
  BOOST_TEST(!harness.Plan().has_value());
}

BOOST_AUTO_TEST_CASE(one_member_changes_at_a_time) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0")};
  harness.unresponsive = {Node("b:1.0"), Node("c:1.0")};
  harness.joiners = {Node("b:1.7"), Node("c:1.8")};
  for (auto step = 0; step < 10; ++step) {
    const auto next = harness.Plan();
    if (!next) {
      break;
    }
    const auto size = [](const membership& group) {
      return group.voters.size();
    };
    const auto difference =
        static_cast<int>(size(*next)) - static_cast<int>(size(harness.group));
    BOOST_TEST_REQUIRE(std::abs(difference) <= 1);
    harness.group = *next;
  }
  BOOST_TEST(harness.group.voters.size() == 3U);
}

// With a member of an earlier build, which would take a swap for an addition,
// the new voter is added and the lost one is removed.
BOOST_AUTO_TEST_CASE(a_group_with_an_earlier_build_replaces_in_two_changes) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0")};
  harness.group.learners = {Node("d:1.5")};
  harness.unresponsive = {Node("c:1.0")};
  harness.supports_swaps = false;
  const auto next = harness.Plan();
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(!next->swap.has_value());
  BOOST_TEST(next->voters.size() == 4U);
  harness.Settle();
  const auto expected =
      std::vector<node_id>{Node("a:1.0"), Node("b:1.0"), Node("d:1.5")};
  BOOST_TEST((harness.group.voters == expected));
}

// Guards against a leader that takes a member which has not replied yet for one
// of an earlier build.
BOOST_AUTO_TEST_CASE(nothing_is_replaced_before_all_builds_are_known) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0")};
  harness.group.learners = {Node("d:1.5")};
  harness.unresponsive = {Node("c:1.0")};
  harness.supports_swaps = std::nullopt;
  BOOST_TEST(!harness.Plan().has_value());
}

// Guards against a swap that drops the voter that works: the one that joined
// may be gone by then, or the leader may be the one that was thought lost.
BOOST_AUTO_TEST_CASE(a_swap_ends_with_the_voter_that_is_at_work) {
  auto harness = planner_harness();
  harness.group.voters = {Node("a:1.0"), Node("b:1.0"), Node("c:1.0"),
                          Node("d:1.5")};
  harness.group.swap = {Node("d:1.5"), Node("c:1.0")};
  const auto get_last = [&harness](const char* self) {
    const auto next =
        EndSwap(harness.group, Node(self), harness.GetStatus().members);
    BOOST_TEST(!next.swap.has_value());
    BOOST_TEST(next.voters.size() == 3U);
    return next.voters.back();
  };
  BOOST_TEST((get_last("a:1.0") == Node("d:1.5")));
  BOOST_TEST((get_last("c:1.0") == Node("c:1.0")));
  harness.unresponsive = {Node("c:1.0"), Node("d:1.5")};
  BOOST_TEST((get_last("a:1.0") == Node("d:1.5")));
  BOOST_TEST((get_last("d:1.5") == Node("d:1.5")));
  harness.unresponsive = {Node("d:1.5")};
  BOOST_TEST((get_last("a:1.0") == Node("c:1.0")));
  BOOST_TEST((get_last("d:1.5") == Node("d:1.5")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
