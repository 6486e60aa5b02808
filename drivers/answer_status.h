#ifndef EBONY_DRIVERS_ANSWER_STATUS_H_
#define EBONY_DRIVERS_ANSWER_STATUS_H_

#include "core/ids.h"

namespace ebony {

// What the status of an answer's head makes of it.
enum class answer_kind {
  interim,  // the final answer follows
  final,    // the answer to the call
  none,     // no answer: the call has failed
};

// Returns the kind of an answer with this status. 101 is none, because no call
// asks for another protocol.
auto GetAnswerKind(int status) -> answer_kind;

// Returns whether a status is that of a success, 200 to 299.
auto IsSuccess(int status) -> bool;

// Bounds the interim answers of one call, so that a peer that sends nothing
// else does not hold the call until its deadline.
class interim_limit {
  int count_ = 0;
  mono_time first_at_;

 public:
  // Interim answers of one call.
  static constexpr int kMaxCount = 16;
  // Time from the first interim answer of a call to the latest.
  static constexpr duration kMaxTime = std::chrono::seconds(5);

  // Returns the kind of the next answer of the call. An interim answer beyond
  // the limits is none.
  auto OnHead(int status, mono_time now) -> answer_kind;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_ANSWER_STATUS_H_
