#include "entry/claim_table.h"

#include <utility>

namespace ebony {

claim_table::claim_table(claim_table_options options, mono_time started)
    : options_(options), started_(started) {}

auto claim_table::GetFullLifetime() const -> duration {
  return options_.key_lifetime +
         options_.key_lifetime * options_.drift_permille / 1000;
}

auto claim_table::DropExpired(mono_time now) -> void {
  while (!expiries_.empty() && expiries_.front().time <= now) {
    const auto& oldest = expiries_.front();
    const auto found = claims_.find(oldest.key);
    if (found != claims_.end() && found->second.granted == oldest.granted) {
      claims_.erase(found);
    }
    expiries_.pop_front();
  }
}

auto claim_table::IsReady(mono_time now) const -> bool {
  return now >= started_ + GetFullLifetime();
}

auto claim_table::TryClaim(const request_key& key,
                           const claim_owner& owner,
                           std::uint64_t fingerprint,
                           mono_time now) -> claim_reply {
  DropExpired(now);
  if (!IsReady(now)) {
    return {claim_verdict::holder_not_ready, {}};
  }
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    if (claims_.size() >= options_.capacity) {
      return {claim_verdict::holder_full, {}};
    }
    claims_.emplace(key, claim{owner, fingerprint, now, false, {}});
    expiries_.push_back({now + GetFullLifetime(), key, now});
    return {claim_verdict::granted, {}};
  }
  auto& existing = found->second;
  if (existing.fingerprint != fingerprint) {
    return {claim_verdict::key_reused, {}};
  }
  if (existing.is_done) {
    return {claim_verdict::done, existing.outcome};
  }
  const auto is_same_owner_run =
      existing.owner.vm == owner.vm && existing.owner.run == owner.run;
  if (!is_same_owner_run || owner.attempt < existing.owner.attempt) {
    return {claim_verdict::held_by_other, {}};
  }
  // The same run of an entry requests the claim again only when its earlier
  // attempts were never executed.
  existing.owner.attempt = owner.attempt;
  return {claim_verdict::granted, {}};
}

auto claim_table::Complete(const request_key& key,
                           const claim_owner& owner,
                           const std::optional<claim_outcome>& outcome)
    -> void {
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.owner != owner ||
      found->second.is_done) {
    return;
  }
  if (!outcome) {
    claims_.erase(found);
    return;
  }
  found->second.is_done = true;
  found->second.outcome = *outcome;
}

}  // namespace ebony
