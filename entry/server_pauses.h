#ifndef EBONY_ENTRY_SERVER_PAUSES_H_
#define EBONY_ENTRY_SERVER_PAUSES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "core/ids.h"

namespace ebony {

// Backend servers that asked this gateway to send them nothing for a time
// (Retry-After). When the time is over, one request finds out whether the
// server wants the rest.
class server_pauses {
  struct pause {
    std::uint64_t start_time_ms = 0;  // of the run that asked
    mono_time until;
    mono_time trial_sent_at;  // of the request that finds out; or none
  };

  std::map<backend_name, pause> pauses_;

  auto Find(const backend_name& id, std::uint64_t start_time_ms) const
      -> const pause*;

 public:
  // A request that finds out and has had no answer for longer is not waited
  // for.
  static constexpr duration kTrialTime = std::chrono::milliseconds(1000);

  // The server asked for a pause. Returns true if it had none.
  auto OnAsked(const backend_name& id,
               std::uint64_t start_time_ms,
               duration time,
               mono_time now) -> bool;
  auto OnSent(const backend_name& id,
              std::uint64_t start_time_ms,
              mono_time now) -> void;
  // The server answered a request and did not ask for a pause. Returns true if
  // that ends one. Answers to requests from before a pause don't.
  auto OnAccepted(const backend_name& id,
                  std::uint64_t start_time_ms,
                  mono_time now) -> bool;
  // Returns the time after which a request may be sent; 0 if it may be now.
  auto GetTimeLeft(const backend_name& id,
                   std::uint64_t start_time_ms,
                   mono_time now) const -> duration;
  // Forgets the servers that are not known any more.
  auto Prune(const std::function<bool(const backend_name&)>& is_known) -> void;
  // Number of servers that have a pause.
  auto get_size() const -> std::size_t { return pauses_.size(); }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SERVER_PAUSES_H_
