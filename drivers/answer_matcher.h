#ifndef EBONY_DRIVERS_ANSWER_MATCHER_H_
#define EBONY_DRIVERS_ANSWER_MATCHER_H_

#include <cstdint>
#include <string>
#include <unordered_set>

#include "core/strong_type.h"

namespace ebony {

// Names a call towards its peer, which repeats it in the answer. Empty: the
// call has no id.
using call_id = strong_type<struct call_id_tag, std::string>;

// What tells to which call of a connection an answer belongs.
enum class answer_matching {
  // The id that the answer repeats. The peer may send an answer once more, late
  // and where the answer to another call is due.
  by_id,
  // Its place. The peer is a process of this system, which answers each call of
  // a connection once and in order.
  by_order,
};

// Decides for one connection which answers are believed, and which calls may go
// over it: only those whose answer can be told from all that may still come for
// earlier ones. So an id goes over a connection once, a call without an id only
// over a new one, and all calls of a connection are matched in the same way.
class answer_matcher {
  std::unordered_set<std::uint64_t> sent_ids_;  // hashes
  std::uint64_t calls_ = 0;
  call_id current_;
  answer_matching matching_ = answer_matching::by_id;

 public:
  // Returns whether the answer to such a call could be told from all others.
  auto CanCarry(const call_id& id, answer_matching matching) const -> bool;
  // Records that the call is sent. The answers that follow are matched with it.
  auto OnSent(const call_id& id, answer_matching matching) -> void;
  // Returns whether an answer that repeats `answered`, or no id if that is
  // empty, belongs to the latest call.
  auto IsOwn(const call_id& answered) const -> bool;
  // Returns whether the connection is of use to any later call.
  auto IsReusable() const -> bool;
  // Calls so far.
  auto get_calls() const -> std::uint64_t { return calls_; }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_ANSWER_MATCHER_H_
