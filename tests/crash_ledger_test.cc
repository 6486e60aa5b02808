#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "codec/site_codec.h"
#include "control/trial_allocator.h"
#include "control/trial_relay.h"
#include "core/crash_ledger.h"
#include "entry/crash_guard.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

const auto kKey = suspect_key(7);

// A record as of the crash of `run` under `request`.
auto MakeEvidence(std::uint64_t run,
                  std::uint64_t request,
                  std::uint32_t rounds,
                  std::uint32_t clearances = 0) -> crash_record {
  auto record = crash_record();
  record.key = kKey;
  record.clearances = clearances;
  record.rounds = rounds;
  record.begun_rounds = rounds;
  record.runs.Add(server_run(run));
  record.requests.Add(request_mark(request));
  record.organisations.Add(organisation_mark(run % 3));
  record.is_isolated = run % 2 == 0;
  return record;
}

auto MakeProven() -> crash_record {
  auto record = crash_record();
  for (auto i = std::uint32_t{1}; i <= 4; ++i) {
    MergeCrashRecord(record, MakeEvidence(i, i, i));
  }
  record.key = kKey;
  return record;
}

auto AreEqual(const crash_record& a, const crash_record& b) -> bool {
  return ToSchema({a, duration(0)}).SerializeAsString() ==
         ToSchema({b, duration(0)}).SerializeAsString();
}

auto MakePrompt(std::vector<std::uint64_t> segments,
                const std::string& host = "h") -> request_suspects {
  auto metadata = request_metadata();
  metadata.host = host;
  for (const auto id : segments) {
    metadata.prompt_segments.push_back({id, 10});
  }
  return GetSuspects(metadata,
                     request_fingerprint(metadata.prompt_segments.back().id),
                     service_name("s"));
}

// Servers crash under requests of `host` with these shared segments, one after
// another.
auto CrashServers(crash_guard& guard,
                  const std::vector<std::uint64_t>& shared,
                  const std::string& host,
                  std::uint64_t count,
                  std::int64_t start_ms) -> void {
  for (auto i = std::uint64_t{0}; i < count; ++i) {
    const auto now = At(start_ms + static_cast<std::int64_t>(i) * 100);
    auto segments = shared;
    segments.push_back(1000 + i);
    const auto suspects = MakePrompt(segments, host);
    auto evidence = guard.OnSent(suspects, now);
    evidence.has_just_begun = true;
    guard.OnServerCrashed(suspects, evidence, server_run(100 + i), now);
    guard.EndTrial(evidence);
  }
}

// The server crashes. Returns the number of segments that are accused.
auto CountAccused(crash_guard& guard,
                  const request_suspects& suspects,
                  const attempt_evidence& evidence,
                  std::uint64_t run,
                  mono_time now) -> std::int64_t {
  const auto accused =
      guard.OnServerCrashed(suspects, evidence, server_run(run), now);
  return std::count_if(accused.begin(), accused.end(),
                       [&](auto key) { return key != suspects.request; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_ledgers)

BOOST_AUTO_TEST_CASE(copies_of_a_record_converge_in_every_order) {
  auto random = std::mt19937(1);
  for (auto trial = 0; trial < 200; ++trial) {
    auto evidence = std::vector<crash_record>();
    for (auto i = 0; i < 12; ++i) {
      evidence.push_back(MakeEvidence(random() % 20, random() % 20,
                                      1 + random() % 5, random() % 2));
    }
    auto first = crash_record();
    for (const auto& item : evidence) {
      MergeCrashRecord(first, item);
    }
    std::shuffle(evidence.begin(), evidence.end(), random);
    auto second = crash_record();
    for (const auto& item : evidence) {
      MergeCrashRecord(second, item);
    }
    first.key = kKey;
    second.key = kKey;
    BOOST_TEST(AreEqual(first, second));
    BOOST_TEST(!MergeCrashRecord(first, second));
    const auto copy = ToDomain(ToSchema({first, std::chrono::seconds(3)}));
    BOOST_TEST(AreEqual(first, copy.record));
    BOOST_TEST(copy.age.count() == duration(std::chrono::seconds(3)).count());
  }
}

BOOST_AUTO_TEST_CASE(one_request_that_comes_again_proves_no_segment) {
  auto record = crash_record();
  for (auto i = std::uint32_t{1}; i <= 20; ++i) {
    MergeCrashRecord(record, MakeEvidence(i, 1, i));
  }
  BOOST_TEST(!IsProvenCrasher(record));
  BOOST_TEST(IsProvenCrasher(MakeProven()));
}

BOOST_AUTO_TEST_CASE(servers_that_crash_together_prove_nothing) {
  auto record = crash_record();
  for (auto i = std::uint32_t{1}; i <= 20; ++i) {
    MergeCrashRecord(record, MakeEvidence(i, i, 1));
  }
  BOOST_TEST(!IsProvenCrasher(record));
}

BOOST_AUTO_TEST_CASE(a_quarantine_ends_and_doubles_with_each_further_crash) {
  auto ledger = crash_ledger();
  ledger.Add(MakeProven(), At(0));
  const auto first = duration(crash_ledger::kFirstQuarantine);
  BOOST_TEST((ledger.Judge(kKey, At(0)) == suspicion::quarantined));
  const auto over = At(0) + first;
  BOOST_TEST((ledger.Judge(kKey, over) == suspicion::suspected));
  ledger.Add(MakeEvidence(5, 5, 5), over);
  BOOST_TEST(ledger.GetQuarantineLeft(kKey, over).count() ==
             (2 * first).count());
  BOOST_TEST(ledger.Clear(kKey, over));
  BOOST_TEST((ledger.Judge(kKey, over) == suspicion::none));
  // What others still tell of before the clearance changes nothing.
  BOOST_TEST(!ledger.Merge({MakeProven(), duration(0)}, false, over));
  ledger.Forget(over + crash_ledger::kLifetime + std::chrono::seconds(1));
  BOOST_TEST(ledger.get_size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_full_ledger_keeps_what_is_proven) {
  auto ledger = crash_ledger();
  ledger.Add(MakeProven(), At(0));
  for (auto i = std::uint64_t{0}; i < 3 * crash_ledger::kMaxRecords; ++i) {
    auto record = MakeEvidence(1, 1, 1);
    record.key = suspect_key(1000 + i);
    ledger.Add(record, At(1));
  }
  BOOST_TEST(ledger.get_size() == crash_ledger::kMaxRecords);
  BOOST_TEST((ledger.Judge(kKey, At(1)) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(a_report_is_repeated_until_it_is_answered) {
  auto ledger = crash_ledger();
  ledger.Add(MakeProven(), At(0));
  BOOST_TEST(ledger.TakeReport(At(0)).size() == 1U);
  BOOST_TEST(ledger.TakeReport(At(0)).size() == 1U);
  ledger.OnReportAnswered(false);
  BOOST_TEST(ledger.TakeReport(At(0)).empty());
  ledger.OnReportAnswered(true);
  BOOST_TEST(ledger.TakeReport(At(0)).size() == 1U);
  ledger.OnReportAnswered(false);
  // What came from above isn't told there again.
  auto other = MakeEvidence(9, 9, 9);
  other.key = suspect_key(8);
  ledger.Merge({other, duration(0)}, true, At(0));
  BOOST_TEST(ledger.TakeReport(At(0)).empty());
  auto revision = std::uint64_t{0};
  BOOST_TEST(ledger.ListSince(revision, At(0)).size() == 2U);
  BOOST_TEST(ledger.ListSince(revision, At(0)).empty());
}

BOOST_AUTO_TEST_CASE(a_key_is_lent_to_one_gateway_at_a_time) {
  const auto keys = std::vector<suspect_key>{kKey};
  const auto a = vm_name("a");
  const auto b = vm_name("b");
  auto trials = trial_allocator();
  trials.Restart(At(0));
  BOOST_TEST(trials.Request(a, keys, At(0)).empty());  // a former leader's
  const auto start = At(0) + trial_allocator::kTakeoverDelay;
  BOOST_TEST(trials.Request(a, keys, start).size() == 1U);
  BOOST_TEST(trials.Request(b, keys, start).empty());
  BOOST_TEST(trials.Request(a, {}, start).empty());
  BOOST_TEST(trials.Request(b, keys, start).size() == 1U);
  BOOST_TEST(trials.Request(a, keys, start).empty());
  const auto expired = start + trial_allocator::kLease + duration(1);
  BOOST_TEST(trials.Request(a, keys, expired).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_relay_passes_trials_on_and_back) {
  const auto keys = std::vector<suspect_key>{kKey};
  const auto a = vm_name("a");
  auto relay = trial_relay();
  BOOST_TEST(relay.Request(a, keys, At(0)).empty());
  BOOST_TEST(relay.HasRequests());
  BOOST_TEST(relay.ListRequests(At(0)).at(a).size() == 1U);
  relay.OnGranted({{a, keys}});
  BOOST_TEST(relay.Request(a, keys, At(1)).size() == 1U);
  // Given back at once, and told to the leader.
  BOOST_TEST(relay.Request(a, {}, At(2)).empty());
  BOOST_TEST(relay.ListRequests(At(2)).at(a).empty());
  BOOST_TEST(relay.Request(a, keys, At(3)).empty());
  const auto gone = At(3) + trial_relay::kGatewayTimeout + duration(1);
  BOOST_TEST(relay.ListRequests(gone).empty());
}

BOOST_AUTO_TEST_CASE(one_request_at_a_time_is_on_trial) {
  auto guard = crash_guard();
  CrashServers(guard, {1}, "h", 1, 0);
  const auto now = At(200);
  const auto first = MakePrompt({1, 50});
  BOOST_TEST((guard.Check(first, now).verdict == guard_verdict::clear));
  auto evidence = guard.OnSent(first, now);
  const auto second = MakePrompt({1, 51});
  BOOST_TEST((guard.Check(second, now).verdict == guard_verdict::await_trial));
  BOOST_TEST(guard.TakeWanted(now).size() == 1U);
  guard.EndTrial(evidence);
  BOOST_TEST((guard.Check(second, now).verdict == guard_verdict::clear));
  // With a leader, only the gateway that holds the key may try.
  guard.OnContact({}, now);
  BOOST_TEST((guard.Check(second, now).verdict == guard_verdict::await_trial));
  guard.OnContact({guard.TakeWanted(now).front()}, now);
  BOOST_TEST((guard.Check(second, now).verdict == guard_verdict::clear));
  guard.OnRan(second, now);
  guard.OnContact({}, now);
  BOOST_TEST((guard.Check(first, now).verdict == guard_verdict::clear));
}

BOOST_AUTO_TEST_CASE(a_segment_that_ran_lately_is_not_accused) {
  auto guard = crash_guard();
  guard.OnRan(MakePrompt({1, 2, 60}), At(0));
  const auto suspects = MakePrompt({1, 9, 61});
  auto evidence = guard.OnSent(suspects, At(1));
  evidence.has_just_begun = true;
  BOOST_TEST(CountAccused(guard, suspects, evidence, 1, At(2)) == 1);
  // If all ran lately, one of them may have turned bad.
  const auto proven = MakePrompt({1, 2, 62});
  evidence = guard.OnSent(proven, At(3));
  evidence.has_just_begun = true;
  BOOST_TEST(CountAccused(guard, proven, evidence, 2, At(4)) == 0);
  const auto later = At(5) + proven_keys::kDoubtedLifetime;
  BOOST_TEST(CountAccused(guard, proven, evidence, 3, later) == 2);
}

// The organisation `evil` sends a bad segment beside one that others use.
BOOST_AUTO_TEST_CASE(a_segment_beside_a_bad_one_stays_usable_for_others) {
  constexpr auto kVictim = std::uint64_t{1};
  constexpr auto kBad = std::uint64_t{2};
  auto guard = crash_guard();
  CrashServers(guard, {kVictim, kBad}, "evil", 5, 0);
  const auto now = At(1000);
  const auto bad = MakePrompt({kVictim, kBad, 70}, "evil");
  BOOST_TEST((guard.Check(bad, now).verdict == guard_verdict::quarantined));
  for (const auto* host : {"good", "evil"}) {
    const auto sound = MakePrompt({kVictim, 71}, host);
    BOOST_TEST((guard.Check(sound, now).verdict == guard_verdict::clear));
  }
  guard.OnRan(MakePrompt({kVictim, 71}, "good"), now);
  // The bad one has been accused beside others only, so it is tried once.
  BOOST_TEST((guard.Check(bad, now).verdict == guard_verdict::clear));
  CrashServers(guard, {kVictim, kBad}, "evil", 1, 1100);
  BOOST_TEST(
      (guard.Check(bad, At(1200)).verdict == guard_verdict::quarantined));
}

// Each time beside another bad segment, so that the victim's is what all of the
// requests have in common.
BOOST_AUTO_TEST_CASE(another_organisation_is_heard_before_it_is_rejected) {
  constexpr auto kVictim = std::uint64_t{1};
  auto guard = crash_guard();
  for (auto i = std::uint64_t{0}; i < 6; ++i) {
    const auto now = At(static_cast<std::int64_t>(i) * 100);
    const auto suspects = MakePrompt({kVictim, 20 + i, 40 + i}, "evil");
    auto evidence = guard.OnSent(suspects, now);
    evidence.has_just_begun = true;
    guard.OnServerCrashed(suspects, evidence, server_run(i), now);
    guard.EndTrial(evidence);
  }
  const auto now = At(1000);
  const auto sound = MakePrompt({kVictim, 80}, "good");
  BOOST_TEST((guard.Check(sound, now).verdict == guard_verdict::clear));
  guard.OnRan(sound, now);
  BOOST_TEST((guard.Check(MakePrompt({kVictim, 81}, "evil"), now).verdict ==
              guard_verdict::clear));
}

BOOST_AUTO_TEST_CASE(only_organisations_that_crashed_servers_are_rejected) {
  auto guard = crash_guard();
  CrashServers(guard, {1}, "evil", 5, 0);
  const auto now = At(1000);
  BOOST_TEST((guard.Check(MakePrompt({1, 80}, "evil"), now).verdict ==
              guard_verdict::quarantined));
  const auto other = MakePrompt({1, 81}, "good");
  BOOST_TEST((guard.Check(other, now).verdict == guard_verdict::clear));
  const auto evidence = guard.OnSent(other, now);
  BOOST_TEST(evidence.on_trial.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_crash_before_any_answer_counts_less) {
  auto guard = crash_guard();
  const auto is_quarantined = [&guard] {
    return guard.Check(MakePrompt({1, 90}), At(1000)).verdict ==
           guard_verdict::quarantined;
  };
  for (auto i = std::uint64_t{0}; i < 6; ++i) {
    BOOST_TEST(!is_quarantined());
    const auto now = At(static_cast<std::int64_t>(i) * 100);
    const auto suspects = MakePrompt({1, 50 + i});
    auto evidence = guard.OnSent(suspects, now);
    guard.OnServerCrashed(suspects, evidence, server_run(i), now);
    guard.EndTrial(evidence);
  }
  BOOST_TEST(is_quarantined());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
