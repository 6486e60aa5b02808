#ifndef EBONY_ENTRY_CRASH_GUARD_H_
#define EBONY_ENTRY_CRASH_GUARD_H_

#include <map>
#include <set>
#include <vector>

#include "core/crash_ledger.h"
#include "core/ids.h"
#include "core/request_metadata.h"
#include "entry/proven_keys.h"

namespace ebony {

// What of a request may crash the servers that run it.
struct request_suspects {
  // Segments of the prompt that other requests can share: all but the last one.
  std::vector<suspect_key> segments;
  suspect_key request;  // the request itself, under whatever id
  // Lent for trials of requests of one service.
  suspect_key service;
  request_mark mark;
  organisation_mark organisation;
};

auto GetSuspects(const request_metadata& metadata,
                 request_fingerprint fingerprint,
                 const service_name& service) -> request_suspects;

enum class guard_verdict {
  clear,        // may be sent
  await_trial,  // another request with one of its keys is on trial
  quarantined,  // one of its keys has crashed too many servers
};

struct guard_decision {
  guard_verdict verdict = guard_verdict::clear;
  duration quarantine_left{0};  // set for `quarantined`
};

// What was known of a request's keys when an attempt was sent.
struct attempt_evidence {
  struct known_key {
    suspect_key key;
    std::uint32_t clearances = 0;
    std::uint32_t rounds = 0;
    std::uint32_t begun_rounds = 0;
  };
  std::vector<known_key> known;
  std::vector<suspect_key> on_trial;
  // The server's answer had begun, but nothing of its content had come. Set by
  // the owner.
  bool has_just_begun = false;
};

// Decides at one gateway whether a request may be sent, by what is known of
// the crashes of servers under requests like it. The first crash makes the keys
// of the requests that may have caused it suspects, unless others with them ran
// lately. Requests with a suspect are sent one at a time over all gateways, so
// that further crashes come one by one until the key is cleared or proven;
// requests with a proven one are rejected. A request that has crashed more than
// one server is tried alone as well, and rejected once it is proven.
class crash_guard {
  crash_ledger ledger_;
  proven_keys proven_;           // segments
  proven_keys proven_requests_;  // apart, so that many leave segments room
  // Trials that requests wait for, by the time when one asked last.
  std::map<suspect_key, mono_time> wanted_;
  std::set<suspect_key> granted_;   // by the leader
  std::set<suspect_key> on_trial_;  // a request with the key is at a server
  mono_time last_contact_;          // with a leader that grants trials

  // Returns true if nothing speaks for the key: no request with it ran lately,
  // or several crashes have followed one another since.
  auto IsUnproven(suspect_key key, mono_time now) const -> bool;
  auto Judge(suspect_key key,
             const request_suspects& suspects,
             mono_time now) const -> suspicion;
  // Returns what has to be lent before the request may be sent.
  auto GetTrialKeys(const request_suspects& suspects, mono_time now) const
      -> std::vector<suspect_key>;
  auto NeedsTrialOfRequest(const request_suspects& suspects,
                           mono_time now) const -> bool;
  auto MayTry(suspect_key key, mono_time now) const -> bool;
  auto IsSeparateCrash(const crash_record& present,
                       const crash_record& evidence,
                       mono_time now) const -> bool;
  // Adds a crash to the record of one key.
  auto Accuse(suspect_key key,
              const attempt_evidence& evidence,
              crash_record record,
              mono_time now) -> void;
  auto AccuseSegments(const request_suspects& suspects,
                      const attempt_evidence& evidence,
                      server_run run,
                      mono_time now) -> std::vector<suspect_key>;
  auto AccuseRequest(const request_suspects& suspects,
                     const attempt_evidence& evidence,
                     server_run run,
                     mono_time now) -> std::vector<suspect_key>;
  // Returns the segments that a crash of the request's server is evidence
  // against.
  auto GetUnproven(const request_suspects& suspects, mono_time now) const
      -> std::vector<suspect_key>;

 public:
  // Keys of one request that a crash is evidence against. Of more, those are
  // taken that are suspected already.
  static constexpr std::size_t kMaxAccused = 32;
  // A gateway without contact to a leader for longer tries one request at a
  // time by itself.
  static constexpr duration kMaxContactAge = std::chrono::milliseconds(500);
  // A trial that nobody has asked for in this time is not wanted any more.
  static constexpr duration kWantedTime = std::chrono::milliseconds(600);

  auto Check(const request_suspects& suspects, mono_time now) -> guard_decision;
  // Returns the time for which the request is rejected; 0 if it isn't.
  auto GetQuarantineLeft(const request_suspects& suspects, mono_time now) const
      -> duration;
  // Returns true if one of the request's keys is suspected.
  auto IsSuspected(const request_suspects& suspects, mono_time now) const
      -> bool;
  // An attempt is sent, which `Check` cleared.
  auto OnSent(const request_suspects& suspects, mono_time now)
      -> attempt_evidence;
  // The attempt is over, or what it proves is recorded.
  auto EndTrial(attempt_evidence& evidence) -> void;
  // The request ran without a crash. Returns the keys that it cleared.
  auto OnRan(const request_suspects& suspects, mono_time now)
      -> std::vector<suspect_key>;
  // The server crashed while it may have begun to run the request. Returns the
  // keys that this is evidence against.
  auto OnServerCrashed(const request_suspects& suspects,
                       const attempt_evidence& evidence,
                       server_run run,
                       mono_time now) -> std::vector<suspect_key>;

  // Returns the trials that requests wait for or that are under way.
  auto TakeWanted(mono_time now) -> std::vector<suspect_key>;
  // A leader, or a relay for it, answered. `granted` replaces the former ones.
  auto OnContact(std::set<suspect_key> granted, mono_time now) -> void;
  // Returns true if the next exchange should not wait.
  auto IsUrgent() const -> bool {
    return ledger_.HasUnreported() || !wanted_.empty();
  }

  auto get_ledger() -> crash_ledger& { return ledger_; }
  auto get_ledger() const -> const crash_ledger& { return ledger_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CRASH_GUARD_H_
