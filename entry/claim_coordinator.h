#ifndef EBONY_ENTRY_CLAIM_COORDINATOR_H_
#define EBONY_ENTRY_CLAIM_COORDINATOR_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "entry/claim_table.h"

namespace ebony {

// An entry that can hold claims.
struct claim_peer {
  vm_name vm;
  data_centre_name data_centre;
};

// Returns the three holders of a key, selected by rendezvous hashing and placed
// in different data centres where possible. Returns all peers when there are
// fewer than three.
// Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998.
auto ChooseHolders(const request_key& key, const std::vector<claim_peer>& peers)
    -> std::vector<vm_name>;

// Message that requests a claim from one holder.
struct claim_request {
  vm_name holder;
  request_key key;
  claim_owner owner;
  std::uint64_t fingerprint = 0;
};

// Message that ends a claim at one holder.
struct claim_completion {
  vm_name holder;
  request_key key;
  claim_owner owner;
  std::optional<claim_outcome> outcome;  // std::nullopt: it was never executed
};

enum class claim_state {
  pending,      // waiting for replies of the holders
  granted,      // this entry may execute the request once
  in_progress,  // the request is being executed, here or at another entry
  done,         // the request was executed and its outcome is known
  key_reused,   // the key belongs to a different request
  unavailable,  // no majority of the holders replied
};

struct claim_decision {
  claim_state state = claim_state::pending;
  claim_outcome outcome;  // set for `done`
};

// Tracks the claims of one entry. It requests each claim from the holders of
// the key, counts their replies, and caches the outcomes of requests executed
// here, so that a resend to the same entry needs no round trip. The class sends
// nothing itself: `TakeRequests` and `TakeCompletions` return the messages to
// send.
class claim_coordinator {
  struct owned_claim {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
    std::vector<vm_name> holders;
    std::map<vm_name, claim_verdict> replies;
    claim_decision decision;
    mono_time last_changed;
    int releases_left = 0;
  };

  claim_table_options options_;
  vm_name self_;
  incarnation run_;
  std::vector<claim_peer> peers_;
  std::unordered_map<request_key, owned_claim> claims_;
  std::vector<claim_request> requests_;
  std::vector<claim_completion> completions_;

  auto GetOwner(const owned_claim& claim) const -> claim_owner;
  auto Decide(const request_key& key, owned_claim& claim, mono_time now)
      -> void;
  auto QueueCompletions(const request_key& key,
                        const owned_claim& claim,
                        const std::optional<claim_outcome>& outcome) -> void;
  auto Release(const request_key& key, owned_claim& claim, mono_time now)
      -> void;

 public:
  claim_coordinator(claim_table_options options,
                    vm_name self,
                    incarnation run,
                    std::vector<claim_peer> peers);

  // Starts a claim. When the state is `pending`, the decision follows from
  // `OnReply`.
  auto Begin(const request_key& key, std::uint64_t fingerprint, mono_time now)
      -> claim_decision;
  // Handles the reply of a holder. Returns the decision that it leads to, or
  // std::nullopt when there is none yet or the reply is stale.
  auto OnReply(const request_key& key,
               std::uint64_t attempt,
               const vm_name& holder,
               const claim_reply& reply,
               mono_time now) -> std::optional<claim_decision>;
  // Cancels a pending claim. The request must not be executed.
  auto Cancel(const request_key& key, mono_time now) -> claim_decision;
  // Releases a granted claim whose request was never executed.
  auto CompleteNeverRan(const request_key& key, mono_time now) -> void;
  // Completes a granted claim. Resends of the request receive `outcome`.
  auto CompleteRan(const request_key& key,
                   const claim_outcome& outcome,
                   mono_time now) -> void;
  // Resends releases and drops expired claims.
  auto Tick(mono_time now) -> void;

  auto TakeRequests() -> std::vector<claim_request>;
  auto TakeCompletions() -> std::vector<claim_completion>;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CLAIM_COORDINATOR_H_
