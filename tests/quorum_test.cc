#include "consensus/quorum.h"

#include <bitset>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "consensus/raft.h"
#include "consensus/voter_replacement.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

constexpr std::size_t kNodes = 6;

auto Node(std::size_t number) -> node_id {
  return node_id("n" + std::to_string(number) + ".0");
}

auto MakeGroup(std::size_t voters) -> membership {
  auto group = membership();
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    if (std::bitset<kNodes>(voters).test(i)) {
      group.voters.push_back(Node(i));
    }
  }
  return group;
}

// Returns all groups of up to `kNodes` voters, each also with every swap.
auto ListGroups() -> std::vector<membership> {
  auto groups = std::vector<membership>();
  for (auto voters = std::size_t{1}; voters < (1U << kNodes); ++voters) {
    const auto group = MakeGroup(voters);
    groups.push_back(group);
    for (const auto& joining : group.voters) {
      for (const auto& leaving : group.voters) {
        if (joining != leaving) {
          groups.push_back(group);
          groups.back().swap = {joining, leaving};
        }
      }
    }
  }
  return groups;
}

auto IsQuorum(const membership& group, std::size_t nodes) -> bool {
  const auto chosen = MakeGroup(nodes).voters;
  const auto ids = std::set<node_id>(chosen.begin(), chosen.end());
  return HasQuorum(group,
                   [&ids](const node_id& id) { return ids.contains(id); });
}

// Returns true if some quorum of one group has no node of some quorum of the
// other one. A superset of a quorum is one, so the complement decides.
auto CanDisagree(const membership& left, const membership& right) -> bool {
  for (auto nodes = std::size_t{0}; nodes < (1U << kNodes); ++nodes) {
    const auto others = ~nodes & ((1U << kNodes) - 1);
    if (IsQuorum(left, nodes) && IsQuorum(right, others)) {
      return true;
    }
  }
  return false;
}

// Returns what another voter answers to a message of a leader or candidate.
auto MakeReply(const raft_message& request) -> raft_message {
  auto reply = raft_message();
  reply.from = request.to;
  reply.to = request.from;
  reply.term = request.term;
  reply.round = request.round;
  reply.granted = true;
  reply.index = log_index(request.index.get() + request.entries.size());
  reply.kind =
      request.kind == message_kind::pre_vote ? message_kind::pre_vote_reply
      : request.kind == message_kind::vote   ? message_kind::vote_reply
                                             : message_kind::append_reply;
  return reply;
}

// Performs the node's work and lets the voters in `answering` reply, until
// there is nothing to do.
auto Exchange(raft& node, mono_time now, const std::set<node_id>& answering)
    -> void {
  for (auto round = 0; round < 20; ++round) {
    const auto ready = node.TakeReady();
    node.OnPersisted(ready);
    for (const auto& message : ready.messages) {
      if (answering.contains(message.to)) {
        node.Step(now, MakeReply(message));
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(quorum_rules)

// Guards against two majorities by two changes of which neither is committed.
BOOST_AUTO_TEST_CASE(a_change_waits_for_the_commit_of_the_one_before) {
  auto image = raft_persistent_state();
  image.snap.group = MakeGroup(0b000111);
  auto options = raft_options();
  options.self = Node(0);
  auto leader = raft(
      options, image, [](std::uint64_t) { return 0; }, At(0));
  leader.Tick(At(1000));
  Exchange(leader, At(1000), {Node(1)});
  BOOST_REQUIRE(leader.is_leader_ready());
  auto group = image.snap.group;
  group.learners = {Node(3), Node(4)};
  BOOST_REQUIRE(leader.ProposeMembership(group).has_value());
  BOOST_TEST(!leader.ProposeMembership(group).has_value());
  Exchange(leader, At(1000), {Node(1)});
  group = Promote(group, Node(3));
  group.swap = {Node(3), Node(2)};
  BOOST_REQUIRE(leader.ProposeMembership(group).has_value());
  // Neither the voter that leaves nor the one that joins answers.
  Exchange(leader, At(1000), {Node(1)});
  group.swap.reset();
  std::erase(group.voters, Node(2));
  BOOST_REQUIRE(leader.ProposeMembership(group).has_value());
  BOOST_TEST(!leader.ProposeMembership(Promote(group, Node(4))).has_value());
}

// Guards against two majorities while a voter is replaced: any two consecutive
// memberships that are allowed share a node of each pair of their quorums.
BOOST_AUTO_TEST_CASE(allowed_changes_keep_quorums_in_touch) {
  const auto groups = ListGroups();
  auto changes = 0;
  for (const auto& current : groups) {
    for (const auto& next : groups) {
      if (IsAllowedChange(current, next)) {
        ++changes;
        BOOST_TEST_REQUIRE(!CanDisagree(current, next));
      }
    }
  }
  BOOST_TEST(changes > 1000);
}

// A build that does not know swaps reads one as the addition of a voter. Its
// quorums must not miss those of the builds that do.
BOOST_AUTO_TEST_CASE(a_swap_read_as_an_addition_keeps_quorums_in_touch) {
  for (const auto& group : ListGroups()) {
    const auto before = group.voters.size() - 1;
    if (!group.swap || before % 2 == 0) {
      continue;
    }
    auto addition = group;
    addition.swap.reset();
    BOOST_TEST_REQUIRE(!CanDisagree(group, addition));
  }
}

// A voter that is gone can be swapped out by the voters that are left, whatever
// becomes of the one that joins.
BOOST_AUTO_TEST_CASE(a_swap_needs_neither_the_leaving_nor_the_joining_voter) {
  auto group = MakeGroup(0b001111);
  group.swap = {Node(3), Node(2)};
  BOOST_TEST(IsQuorum(group, 0b000011));
  BOOST_TEST(!IsQuorum(group, 0b001001));
  BOOST_TEST(!IsQuorum(group, 0b000101));
  BOOST_TEST(IsQuorum(group, 0b001101));
}

BOOST_AUTO_TEST_CASE(a_quorum_value_is_that_of_both_sets_of_a_swap) {
  auto group = MakeGroup(0b001111);
  const auto get_value = [](const node_id& id) -> std::uint64_t {
    return id == Node(0) ? 9 : id == Node(1) ? 7 : id == Node(2) ? 8 : 3;
  };
  BOOST_TEST(GetQuorumValue(group, get_value) == 7U);
  group.swap = {Node(3), Node(2)};
  BOOST_TEST(GetQuorumValue(group, get_value) == 7U);
  group.swap = {Node(3), Node(0)};
  BOOST_TEST(GetQuorumValue(group, get_value) == 7U);
  BOOST_TEST(GetQuorumValue(membership(), get_value) == 0U);
}

// Guards against a learner with entries that the voters lack: having joined, it
// refuses to vote for each of those that are left (model/voter_swap).
BOOST_AUTO_TEST_CASE(a_learner_gets_committed_entries_only) {
  auto image = raft_persistent_state();
  image.snap.group = MakeGroup(0b000111);
  image.snap.group.learners = {Node(3)};
  auto options = raft_options();
  options.self = Node(0);
  auto leader = raft(
      options, image, [](std::uint64_t) { return 0; }, At(0));
  leader.Tick(At(1000));
  Exchange(leader, At(1000), {Node(1), Node(3)});
  BOOST_REQUIRE(leader.IsCaughtUp(Node(3)));
  const auto index = leader.Propose("change");
  BOOST_REQUIRE(index.has_value());
  const auto count_sent = [&leader] {
    const auto ready = leader.TakeReady();
    leader.OnPersisted(ready);
    auto sent = std::map<node_id, std::size_t>();
    for (const auto& message : ready.messages) {
      sent[message.to] += message.entries.size();
      if (message.to == Node(1)) {
        leader.Step(At(1000), MakeReply(message));
      }
    }
    return sent;
  };
  auto uncommitted = count_sent();
  BOOST_TEST(uncommitted[Node(1)] == 1U);
  BOOST_TEST(uncommitted[Node(3)] == 0U);
  BOOST_REQUIRE(leader.get_commit_index() == *index);
  BOOST_TEST(count_sent()[Node(3)] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
