#ifndef EBONY_ENTRY_CLAIM_TABLE_H_
#define EBONY_ENTRY_CLAIM_TABLE_H_

#include <compare>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/ids.h"

namespace ebony {

// Who claims a key: one attempt of one run of an entry.
struct claim_owner {
  vm_name vm;
  incarnation run;
  std::uint64_t attempt = 0;

  friend auto operator<=>(const claim_owner&, const claim_owner&)
      -> std::strong_ordering = default;
};

// The recorded answer of a request that ran.
struct claim_outcome {
  int status = 0;
  std::string content_type;
  std::string body;
};

enum class claim_verdict {
  granted,
  held_by_other,
  done,
  holder_not_ready,
  key_reused,
  holder_full,
};

struct claim_reply {
  claim_verdict verdict = claim_verdict::holder_not_ready;
  claim_outcome outcome;  // with `done`
};

struct claim_table_options {
  // How long a key is remembered, from its grant. It is at least the longest
  // time limit of a request.
  duration key_lifetime = std::chrono::seconds(60);
  // Added for clocks that run at different rates, in parts per thousand.
  int drift_permille = 10;
  std::size_t capacity = 200000;
};

// One holder's part in the agreement on who may run a non-idempotent request.
// Three holders are responsible for a key; an entry may run the request once
// two of them granted it the claim. A holder that restarted forgot its claims,
// so it grants none until every claim that it may have granted has expired.
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

  auto TryClaim(const request_key& key,
                const claim_owner& owner,
                std::uint64_t fingerprint,
                mono_time now) -> claim_reply;
  // Records the outcome, or releases the key when the request never ran.
  auto Complete(const request_key& key,
                const claim_owner& owner,
                const std::optional<claim_outcome>& outcome) -> void;

  auto IsReady(mono_time now) const -> bool;
  auto get_size() const -> std::size_t { return claims_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CLAIM_TABLE_H_
