#include "entry/claim_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/hashing.h"

namespace ebony {

namespace {

constexpr std::size_t kHolderCount = 3;
// A release message can be lost, so it is resent this many times.
constexpr int kReleaseResends = 2;

}  // namespace

auto ChooseHolders(const request_key& key, const std::vector<claim_peer>& peers)
    -> std::vector<vm_name> {
  auto ranked = std::vector<std::pair<std::uint64_t, const claim_peer*>>();
  for (const auto& peer : peers) {
    ranked.emplace_back(HashBytes(key.get(), HashBytes(peer.vm.get())), &peer);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  auto holders = std::vector<vm_name>();
  auto data_centres = std::set<data_centre_name>();
  for (const auto& [weight, peer] : ranked) {
    if (holders.size() < kHolderCount &&
        data_centres.insert(peer->data_centre).second) {
      holders.push_back(peer->vm);
    }
  }
  for (const auto& [weight, peer] : ranked) {
    const auto is_holder =
        std::find(holders.begin(), holders.end(), peer->vm) != holders.end();
    if (holders.size() < kHolderCount && !is_holder) {
      holders.push_back(peer->vm);
    }
  }
  return holders;
}

claim_coordinator::claim_coordinator(claim_table_options options,
                                     vm_name self,
                                     incarnation run,
                                     std::vector<claim_peer> peers)
    : options_(options),
      self_(std::move(self)),
      run_(run),
      peers_(std::move(peers)) {}

auto claim_coordinator::GetOwner(const owned_claim& claim) const
    -> claim_owner {
  return {self_, run_, claim.attempt};
}

auto claim_coordinator::QueueCompletions(
    const request_key& key,
    const owned_claim& claim,
    const std::optional<claim_outcome>& outcome) -> void {
  for (const auto& holder : claim.holders) {
    completions_.push_back({holder, key, GetOwner(claim), outcome});
  }
}

auto claim_coordinator::Begin(const request_key& key,
                              std::uint64_t fingerprint,
                              mono_time now) -> claim_decision {
  auto& claim = claims_[key];
  const auto is_new = claim.attempt == 0;
  if (!is_new && claim.fingerprint != fingerprint) {
    return {claim_state::key_reused, {}};
  }
  switch (claim.decision.state) {
    case claim_state::granted:
    case claim_state::in_progress:
      return {claim_state::in_progress, {}};
    case claim_state::done:
      return claim.decision;
    case claim_state::pending:
      if (!is_new) {
        return {claim_state::in_progress, {}};
      }
      break;
    case claim_state::key_reused:
    case claim_state::unavailable:
      break;
  }
  claim.fingerprint = fingerprint;
  ++claim.attempt;
  claim.holders = ChooseHolders(key, peers_);
  claim.replies.clear();
  claim.decision = claim_decision();
  claim.last_changed = now;
  claim.releases_left = 0;
  for (const auto& holder : claim.holders) {
    requests_.push_back({holder, key, GetOwner(claim), fingerprint});
  }
  return claim.decision;
}

auto claim_coordinator::Decide(const request_key& key,
                               owned_claim& claim,
                               mono_time now) -> void {
  const auto count = [&claim](claim_verdict verdict) -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        claim.replies.begin(), claim.replies.end(),
        [verdict](const auto& item) { return item.second == verdict; }));
  };
  const auto needed = claim.holders.size() / 2 + 1;
  if (count(claim_verdict::granted) >= needed) {
    claim.decision.state = claim_state::granted;
  } else if (count(claim_verdict::key_reused) > 0) {
    claim.decision.state = claim_state::key_reused;
    Release(key, claim, now);
  } else if (claim.holders.size() - claim.replies.size() +
                 count(claim_verdict::granted) <
             needed) {
    // A majority can no longer be reached.
    claim.decision.state = count(claim_verdict::held_by_other) > 0
                               ? claim_state::in_progress
                               : claim_state::unavailable;
    Release(key, claim, now);
  }
  claim.last_changed = now;
}

auto claim_coordinator::OnReply(const request_key& key,
                                std::uint64_t attempt,
                                const vm_name& holder,
                                const claim_reply& reply,
                                mono_time now)
    -> std::optional<claim_decision> {
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    return std::nullopt;
  }
  auto& claim = found->second;
  if (claim.attempt != attempt ||
      claim.decision.state != claim_state::pending) {
    return std::nullopt;
  }
  if (reply.verdict == claim_verdict::done) {
    claim.decision = {claim_state::done, reply.outcome};
    claim.last_changed = now;
    // Holders that granted this attempt also need the outcome.
    QueueCompletions(key, claim, reply.outcome);
    return claim.decision;
  }
  claim.replies[holder] = reply.verdict;
  Decide(key, claim, now);
  const auto decision = claim.decision;
  if (decision.state == claim_state::pending) {
    return std::nullopt;
  }
  if (decision.state == claim_state::in_progress) {
    // The request runs at another entry, so a later resend of it has to query
    // the holders again.
    claim.decision.state = claim_state::unavailable;
  }
  return decision;
}

auto claim_coordinator::Release(const request_key& key,
                                owned_claim& claim,
                                mono_time now) -> void {
  QueueCompletions(key, claim, std::nullopt);
  claim.releases_left = kReleaseResends;
  claim.last_changed = now;
}

auto claim_coordinator::Cancel(const request_key& key, mono_time now)
    -> claim_decision {
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    return {claim_state::unavailable, {}};
  }
  found->second.decision.state = claim_state::unavailable;
  Release(key, found->second, now);
  return found->second.decision;
}

auto claim_coordinator::CompleteNeverRan(const request_key& key, mono_time now)
    -> void {
  Cancel(key, now);
}

auto claim_coordinator::CompleteRan(const request_key& key,
                                    const claim_outcome& outcome,
                                    mono_time now) -> void {
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    return;
  }
  auto& claim = found->second;
  claim.decision = {claim_state::done, outcome};
  claim.last_changed = now;
  QueueCompletions(key, claim, outcome);
}

auto claim_coordinator::Tick(mono_time now) -> void {
  const auto lifetime = options_.key_lifetime +
                        options_.key_lifetime * options_.drift_permille / 1000;
  for (auto item = claims_.begin(); item != claims_.end();) {
    auto& claim = item->second;
    if (claim.releases_left > 0) {
      --claim.releases_left;
      QueueCompletions(item->first, claim, std::nullopt);
    }
    const auto is_open = claim.decision.state == claim_state::granted ||
                         claim.decision.state == claim_state::pending;
    if (!is_open && now - claim.last_changed > lifetime) {
      item = claims_.erase(item);
    } else {
      ++item;
    }
  }
}

auto claim_coordinator::TakeRequests() -> std::vector<claim_request> {
  return std::exchange(requests_, {});
}

auto claim_coordinator::TakeCompletions() -> std::vector<claim_completion> {
  return std::exchange(completions_, {});
}

}  // namespace ebony
