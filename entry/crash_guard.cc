#include "entry/crash_guard.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace ebony {

namespace {

// Keeps the hashes of different kinds of values apart.
constexpr std::uint64_t kSegmentSeed = 1;
constexpr std::uint64_t kRequestSeed = 2;
constexpr std::uint64_t kOrganisationSeed = 3;
constexpr std::uint64_t kFingerprintSeed = 4;
constexpr std::uint64_t kServiceSeed = 5;
// Rounds after which a request is tried alone: one more crash may prove it, and
// must not prove another one that was running beside it.
constexpr std::uint32_t kRoundsBeforeTrial = 2;
// Time between two crashes that have no cause in common but the requests.
constexpr duration kSeparateCrashes = std::chrono::milliseconds(30);

auto HashNumber(std::uint64_t number, std::uint64_t seed) -> std::uint64_t {
  return HashBytes({reinterpret_cast<const char*>(&number), sizeof(number)},
                   seed);
}

}  // namespace

auto GetSuspects(const request_metadata& metadata,
                 request_fingerprint fingerprint,
                 const service_name& service) -> request_suspects {
  auto suspects = request_suspects();
  suspects.request =
      suspect_key(HashNumber(fingerprint.get(), kFingerprintSeed));
  suspects.service = suspect_key(HashBytes(service.get(), kServiceSeed));
  suspects.organisation =
      organisation_mark(HashBytes(metadata.host, kOrganisationSeed));
  if (metadata.prompt_segments.empty()) {
    return suspects;
  }
  const auto last = std::prev(metadata.prompt_segments.end());
  suspects.mark = request_mark(HashNumber(last->id, kRequestSeed));
  for (auto item = metadata.prompt_segments.begin(); item != last; ++item) {
    suspects.segments.emplace_back(HashNumber(item->id, kSegmentSeed));
  }
  return suspects;
}

auto crash_guard::IsUnproven(suspect_key key, mono_time now) const -> bool {
  const auto* record = ledger_.Find(key);
  const auto rounds = record == nullptr ? 0 : record->rounds;
  return rounds > 1 || !proven_.Contains(key, now);
}

// A quarantine applies to organisations whose own requests crashed servers. As
// long as all of these had other keys without proof, it applies to requests
// that have such keys as well: without them, the key may be sound.
auto crash_guard::Judge(suspect_key key,
                        const request_suspects& suspects,
                        mono_time now) const -> suspicion {
  const auto known = ledger_.Judge(key, now);
  if (known == suspicion::none) {
    return known;
  }
  if (known == suspicion::suspected) {
    return IsUnproven(key, now) ? known : suspicion::none;
  }
  const auto& record = *ledger_.Find(key);
  const auto is_concerned =
      record.organisations.is_full() ||
      record.organisations.Contains(suspects.organisation);
  const auto is_only_key = GetUnproven(suspects, now).size() <= 1;
  const auto applies = is_concerned && (record.is_isolated || !is_only_key);
  return applies ? known : suspicion::suspected;
}

auto crash_guard::MayTry(suspect_key key, mono_time now) const -> bool {
  if (on_trial_.contains(key)) {
    return false;
  }
  return granted_.contains(key) || now - last_contact_ > kMaxContactAge;
}

auto crash_guard::NeedsTrialOfRequest(const request_suspects& suspects,
                                      mono_time now) const -> bool {
  const auto* record = ledger_.Find(suspects.request);
  return record != nullptr && record->rounds >= kRoundsBeforeTrial &&
         ledger_.Judge(suspects.request, now) == suspicion::suspected;
}

auto crash_guard::GetTrialKeys(const request_suspects& suspects,
                               mono_time now) const
    -> std::vector<suspect_key> {
  auto keys = std::vector<suspect_key>();
  for (const auto key : suspects.segments) {
    if (Judge(key, suspects, now) == suspicion::suspected) {
      keys.push_back(key);
    }
  }
  if (NeedsTrialOfRequest(suspects, now)) {
    keys.push_back(suspects.service);
  }
  return keys;
}

auto crash_guard::GetQuarantineLeft(const request_suspects& suspects,
                                    mono_time now) const -> duration {
  const auto left = ledger_.GetQuarantineLeft(suspects.request, now);
  if (left > duration(0)) {
    return left;
  }
  for (const auto key : suspects.segments) {
    if (Judge(key, suspects, now) == suspicion::quarantined) {
      return ledger_.GetQuarantineLeft(key, now);
    }
  }
  return duration(0);
}

auto crash_guard::Check(const request_suspects& suspects, mono_time now)
    -> guard_decision {
  const auto left = GetQuarantineLeft(suspects, now);
  if (left > duration(0)) {
    return {guard_verdict::quarantined, left};
  }
  auto decision = guard_decision();
  for (const auto key : GetTrialKeys(suspects, now)) {
    if (!MayTry(key, now)) {
      wanted_[key] = now;
      decision.verdict = guard_verdict::await_trial;
    }
  }
  return decision;
}

auto crash_guard::IsSuspected(const request_suspects& suspects,
                              mono_time now) const -> bool {
  const auto is_suspected = [&](suspect_key key) {
    return Judge(key, suspects, now) == suspicion::suspected;
  };
  return is_suspected(suspects.request) ||
         std::any_of(suspects.segments.begin(), suspects.segments.end(),
                     is_suspected);
}

auto crash_guard::OnSent(const request_suspects& suspects, mono_time now)
    -> attempt_evidence {
  auto evidence = attempt_evidence();
  auto keys = suspects.segments;
  keys.push_back(suspects.request);
  for (const auto key : keys) {
    const auto* record = ledger_.Find(key);
    if (record != nullptr && record->rounds > 0) {
      evidence.known.push_back(
          {key, record->clearances, record->rounds, record->begun_rounds});
    }
  }
  for (const auto key : GetTrialKeys(suspects, now)) {
    if (on_trial_.insert(key).second) {
      evidence.on_trial.push_back(key);
      wanted_.erase(key);
    }
  }
  return evidence;
}

auto crash_guard::EndTrial(attempt_evidence& evidence) -> void {
  for (const auto key : std::exchange(evidence.on_trial, {})) {
    on_trial_.erase(key);
  }
}

auto crash_guard::GetUnproven(const request_suspects& suspects,
                              mono_time now) const -> std::vector<suspect_key> {
  auto keys = std::vector<suspect_key>();
  for (const auto key : suspects.segments) {
    if (IsUnproven(key, now)) {
      keys.push_back(key);
    }
  }
  return keys;
}

auto crash_guard::OnRan(const request_suspects& suspects, mono_time now)
    -> std::vector<suspect_key> {
  auto cleared = std::vector<suspect_key>();
  for (const auto key : suspects.segments) {
    proven_.Add(key, now);
    if (ledger_.Clear(key, now)) {
      cleared.push_back(key);
    }
  }
  proven_requests_.Add(suspects.request, now);
  if (ledger_.Clear(suspects.request, now)) {
    cleared.push_back(suspects.request);
  }
  return cleared;
}

// Crashes of different servers at different times are of different rounds, even
// if the second request was sent before the first crash was known.
auto crash_guard::IsSeparateCrash(const crash_record& present,
                                  const crash_record& evidence,
                                  mono_time now) const -> bool {
  const auto& runs = evidence.runs.get_values();
  return !runs.empty() && !present.runs.Contains(runs.front()) &&
         ledger_.GetAge(present.key, now) >= kSeparateCrashes;
}

auto crash_guard::Accuse(suspect_key key,
                         const attempt_evidence& evidence,
                         crash_record record,
                         mono_time now) -> void {
  const auto* present = ledger_.Find(key);
  record.key = key;
  record.clearances = present == nullptr ? 0 : present->clearances;
  auto former = attempt_evidence::known_key();
  for (const auto& known : evidence.known) {
    // A clearance since then starts the count anew.
    if (known.key == key && known.clearances == record.clearances) {
      former = known;
    }
  }
  // Crashes at different times are of different rounds, too.
  const auto is_later =
      present != nullptr && ledger_.GetAge(key, now) >= kSeparateCrashes;
  if (is_later && present->clearances == record.clearances) {
    former.rounds = std::max(former.rounds, present->rounds);
    former.begun_rounds = std::max(former.begun_rounds, present->begun_rounds);
  }
  record.rounds = former.rounds + 1;
  record.begun_rounds = former.begun_rounds + (evidence.has_just_begun ? 1 : 0);
  ledger_.Add(record, now);
}

auto crash_guard::OnServerCrashed(const request_suspects& suspects,
                                  const attempt_evidence& evidence,
                                  server_run run,
                                  mono_time now) -> std::vector<suspect_key> {
  auto accused = AccuseSegments(suspects, evidence, run, now);
  const auto requests = AccuseRequest(suspects, evidence, run, now);
  accused.insert(accused.end(), requests.begin(), requests.end());
  return accused;
}

// If requests with each of the segments ran lately, none is accused, but all
// have to prove themselves again: one of them may have turned bad.
auto crash_guard::AccuseSegments(const request_suspects& suspects,
                                 const attempt_evidence& evidence,
                                 server_run run,
                                 mono_time now) -> std::vector<suspect_key> {
  auto accused = GetUnproven(suspects, now);
  if (accused.empty()) {
    for (const auto key : suspects.segments) {
      proven_.Doubt(key, now);
    }
    return accused;
  }
  std::stable_partition(accused.begin(), accused.end(), [this](auto key) {
    return ledger_.Find(key) != nullptr;
  });
  auto record = crash_record();
  record.is_isolated = accused.size() == 1;
  if (evidence.has_just_begun) {
    record.runs.Add(run);
  }
  record.requests.Add(suspects.mark);
  record.organisations.Add(suspects.organisation);
  accused.resize(std::min(accused.size(), kMaxAccused));
  for (const auto key : accused) {
    Accuse(key, evidence, record, now);
  }
  return accused;
}

auto crash_guard::AccuseRequest(const request_suspects& suspects,
                                const attempt_evidence& evidence,
                                server_run run,
                                mono_time now) -> std::vector<suspect_key> {
  if (proven_requests_.Contains(suspects.request, now)) {
    proven_requests_.Doubt(suspects.request, now);
    return {};
  }
  auto record = crash_record();
  record.kind = suspect_kind::request;
  record.runs.Add(run);
  Accuse(suspects.request, evidence, record, now);
  return {suspects.request};
}

auto crash_guard::TakeWanted(mono_time now) -> std::vector<suspect_key> {
  std::erase_if(wanted_, [now](const auto& item) {
    return now - item.second > kWantedTime;
  });
  auto keys = std::vector<suspect_key>(on_trial_.begin(), on_trial_.end());
  for (const auto& [key, asked_at] : wanted_) {
    if (!on_trial_.contains(key)) {
      keys.push_back(key);
    }
  }
  return keys;
}

auto crash_guard::OnContact(std::set<suspect_key> granted, mono_time now)
    -> void {
  granted_ = std::move(granted);
  last_contact_ = now;
}

}  // namespace ebony
