#ifndef EBONY_ENTRY_CLAIM_TABLE_H_
#define EBONY_ENTRY_CLAIM_TABLE_H_

#include <compare>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/ids.h"

namespace ebony {

// Owner of a claim: one attempt of one run of an entry.
struct claim_owner {
  vm_name vm;
  incarnation run;  // changes at each start of the entry
  std::uint64_t attempt = 0;

  friend auto operator<=>(const claim_owner&, const claim_owner&)
      -> std::strong_ordering = default;
};

// Recorded answer of a request that was executed.
struct claim_outcome {
  int status = 0;
  std::string content_type;
  std::string body;
};

// Reply of one holder. The values equal those of schema::claim_verdict.
enum class claim_verdict {
  granted,
  held_by_other,     // another owner holds an unfinished claim on the key
  done,              // the request was executed
  holder_not_ready,  // restarted too recently to grant claims
  key_reused,        // the key belongs to a different request
  holder_full,       // the table is at its capacity
};

struct claim_reply {
  claim_verdict verdict = claim_verdict::holder_not_ready;
  claim_outcome outcome;  // set for `done`
};

struct claim_table_options {
  // Time for which a key is retained after its grant. It is at least the
  // longest time limit of a request.
  duration key_lifetime = std::chrono::seconds(60);
  // Margin for clocks that run at different rates, in parts per thousand.
  int drift_permille = 10;
  std::size_t capacity = 200000;  // claims
};

// Claims granted by this holder. They ensure that a non-idempotent request is
// executed at most once: each key has three holders, and an entry may execute
// the request once two of them have granted it the claim. Claims are kept in
// memory only, so a restarted holder grants none until every claim that it may
// have granted before has expired.
class claim_table {
  struct claim {
    claim_owner owner;
    std::uint64_t fingerprint = 0;
    mono_time granted;
    bool is_done = false;
    claim_outcome outcome;
  };
  struct expiry {
    mono_time time;
    request_key key;
    mono_time granted;
  };

  claim_table_options options_;
  mono_time started_;
  std::unordered_map<request_key, claim> claims_;
  std::deque<expiry> expiries_;

  auto GetFullLifetime() const -> duration;
  auto DropExpired(mono_time now) -> void;

 public:
  claim_table(claim_table_options options, mono_time started);

  // Grants the claim to `owner`, or returns the reason why it is rejected.
  auto TryClaim(const request_key& key,
                const claim_owner& owner,
                std::uint64_t fingerprint,
                mono_time now) -> claim_reply;
  // Records the outcome, or releases the key when `outcome` is std::nullopt
  // because the request was never executed. Has no effect unless `owner` holds
  // the claim.
  auto Complete(const request_key& key,
                const claim_owner& owner,
                const std::optional<claim_outcome>& outcome) -> void;

  // Returns whether claims granted before the last restart have expired.
  auto IsReady(mono_time now) const -> bool;
  auto get_size() const -> std::size_t { return claims_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CLAIM_TABLE_H_
