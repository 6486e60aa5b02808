#include <boost/test/unit_test.hpp>
#include <set>

#include "consensus/membership_planner.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

auto N(const char* name) -> node_id {
  return node_id(name);
}

// Members that answer, and for how long the others have not.
struct group_world {
  membership group;
  std::set<node_id> silent;
  std::vector<node_id> joiners;
  duration silence = milliseconds(60000);

  auto Plan() const -> std::optional<membership> {
    auto facts = group_status();
    facts.joiners = joiners;
    facts.members.is_caught_up = [this](const node_id& id) {
      return !silent.contains(id);
    };
    facts.members.get_time_since_reply = [this](const node_id& id) {
      return silent.contains(id) ? silence : duration(0);
    };
    facts.members.disk_lost_after = milliseconds(600);
    auto options = membership_plan_options();
    options.voter_target = 5;
    return PlanMembership(group, group.voters.at(0), facts, options);
  }

  auto CountWorking() const -> std::size_t {
    auto count = std::size_t{0};
    for (const auto& voter : group.voters) {
      count += silent.contains(voter) ? 0 : 1;
    }
    return count;
  }

  // Plans until nothing changes; a majority works at every step.
  auto Settle() -> void {
    for (auto step = 0; step < 40; ++step) {
      const auto next = Plan();
      if (!next) {
        return;
      }
      const auto working = CountWorking();
      group = *next;
      BOOST_TEST_REQUIRE(CountWorking() >= std::min<std::size_t>(working, 5));
      BOOST_TEST_REQUIRE(CountWorking() * 2 > group.voters.size());
      BOOST_TEST_REQUIRE(group.voters.size() <= 6U);
    }
    BOOST_ERROR("the group does not come to rest");
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_planner)

BOOST_AUTO_TEST_CASE(a_group_grows_to_its_target_and_keeps_standbys) {
  auto world = group_world();
  world.group.voters = {N("a:1.0"), N("b:1.0"), N("c:1.0")};
  world.joiners = {N("d:1.5"), N("e:1.6"), N("f:1.7")};
  world.Settle();
  BOOST_TEST(world.group.voters.size() == 5U);
  BOOST_TEST(world.group.learners.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_disk_replaces_the_lost_one) {
  auto world = group_world();
  world.group.voters = {N("a:1.0"), N("b:1.0"), N("c:1.0")};
  world.silent = {N("c:1.0")};
  world.silence = milliseconds(1000);  // shorter than for other losses
  world.joiners = {N("c:1.99")};
  world.Settle();
  const auto expected =
      std::vector<node_id>{N("a:1.0"), N("b:1.0"), N("c:1.99")};
  BOOST_TEST((world.group.voters == expected));
}

BOOST_AUTO_TEST_CASE(an_empty_vm_elsewhere_takes_the_place_of_a_lost_one) {
  auto world = group_world();
  world.group.voters = {N("a:1.0"), N("b:1.0"), N("c:1.0"), N("d:1.0"),
                        N("e:1.0")};
  world.silent = {N("e:1.0")};
  world.joiners = {N("f:1.3")};
  world.Settle();
  BOOST_TEST(world.group.voters.size() == 5U);
  BOOST_TEST(!std::count(world.group.voters.begin(), world.group.voters.end(),
                         N("e:1.0")));
}

BOOST_AUTO_TEST_CASE(a_silent_voter_stays_while_nobody_can_replace_it) {
  auto world = group_world();
  world.group.voters = {N("a:1.0"), N("b:1.0"), N("c:1.0")};
  world.silent = {N("c:1.0")};
  BOOST_TEST(!world.Plan().has_value());
}

BOOST_AUTO_TEST_CASE(one_member_changes_at_a_time) {
  auto world = group_world();
  world.group.voters = {N("a:1.0"), N("b:1.0"), N("c:1.0")};
  world.silent = {N("b:1.0"), N("c:1.0")};
  world.joiners = {N("b:1.7"), N("c:1.8")};
  for (auto step = 0; step < 10; ++step) {
    const auto next = world.Plan();
    if (!next) {
      break;
    }
    const auto size = [](const membership& group) {
      return group.voters.size();
    };
    const auto difference =
        static_cast<int>(size(*next)) - static_cast<int>(size(world.group));
    BOOST_TEST_REQUIRE(std::abs(difference) <= 1);
    world.group = *next;
  }
  BOOST_TEST(world.group.voters.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
