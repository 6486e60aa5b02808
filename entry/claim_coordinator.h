#ifndef EBONY_ENTRY_CLAIM_COORDINATOR_H_
#define EBONY_ENTRY_CLAIM_COORDINATOR_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "entry/claim_table.h"

namespace ebony {

struct claim_peer {
  vm_name vm;
  data_centre_name data_centre;
};

// Returns the three holders of a key by rendezvous hashing, in different data
// centres where there are enough. With fewer than three peers it returns all.
// Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998.
auto ChooseHolders(const request_key& key, const std::vector<claim_peer>& peers)
    -> std::vector<vm_name>;

struct claim_request {
  vm_name holder;
  request_key key;
  claim_owner owner;
  std::uint64_t fingerprint = 0;
};

struct claim_completion {
  vm_name holder;
  request_key key;
  claim_owner owner;
  std::optional<claim_outcome> outcome;  // nothing: the request never ran
};

enum class claim_state {
  pending,
  granted,      // this entry may run the request, once
  in_progress,  // it runs, here or elsewhere
  done,         // it ran; the outcome is known
  key_reused,   // the key belongs to a different request
  unavailable,  // no majority of the holders answered
};

struct claim_decision {
  claim_state state = claim_state::pending;
  claim_outcome outcome;  // with `done`
};

// One entry's own claims: it asks the holders, counts their answers, and
// remembers what ran here, so that a resend to the same entry needs no asking.
class claim_coordinator {
  struct owned_claim {
    std::uint64_t fingerprint = 0;
    std::uint64_t attempt = 0;
    std::vector<vm_name> holders;
    std::map<vm_name, claim_verdict> answers;
    claim_decision decision;
    mono_time changed;
    int releases_left = 0;
  };

  claim_table_options options_;
  vm_name self_;
  incarnation run_;
  std::vector<claim_peer> peers_;
  std::unordered_map<request_key, owned_claim> claims_;
  std::vector<claim_request> asks_;
  std::vector<claim_completion> finishes_;

  auto GetOwner(const owned_claim& claim) const -> claim_owner;
  auto Decide(const request_key& key, owned_claim& claim, mono_time now)
      -> void;
  auto SendFinishes(const request_key& key,
                    const owned_claim& claim,
                    const std::optional<claim_outcome>& outcome) -> void;
  auto Release(const request_key& key, owned_claim& claim, mono_time now)
      -> void;

 public:
  claim_coordinator(claim_table_options options,
                    vm_name self,
                    incarnation run,
                    std::vector<claim_peer> peers);

  // Starts a claim. Only the state `asking` needs a wait for `OnReply`.
  auto Begin(const request_key& key, std::uint64_t fingerprint, mono_time now)
      -> claim_decision;
  // Takes a holder's answer. Returns a decision once there is one.
  auto OnReply(const request_key& key,
               std::uint64_t attempt,
               const vm_name& holder,
               const claim_reply& reply,
               mono_time now) -> std::optional<claim_decision>;
  // Gives up asking: the request does not run.
  auto Cancel(const request_key& key, mono_time now) -> claim_decision;
  // Ends a granted claim whose request certainly never ran.
  auto CompleteNeverRan(const request_key& key, mono_time now) -> void;
  // Ends a granted claim with the answer that resends get.
  auto CompleteRan(const request_key& key,
                   const claim_outcome& outcome,
                   mono_time now) -> void;
  // Repeats releases and forgets what has expired.
  auto Tick(mono_time now) -> void;

  auto TakeRequests() -> std::vector<claim_request>;
  auto TakeCompletions() -> std::vector<claim_completion>;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CLAIM_COORDINATOR_H_
