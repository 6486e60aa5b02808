#include "drivers/answer_matcher.h"

#include "core/hashing.h"

namespace ebony {

namespace {

// Bounds the memory of a connection.
constexpr std::size_t kMaxIds = 1024;

}  // namespace

auto answer_matcher::CanCarry(const call_id& id, answer_matching matching) const
    -> bool {
  if (calls_ == 0) {
    return true;
  }
  if (matching != matching_) {
    return false;
  }
  return matching == answer_matching::by_order ||
         (id != call_id() && !sent_ids_.contains(HashBytes(id.get())));
}

auto answer_matcher::OnSent(const call_id& id, answer_matching matching)
    -> void {
  ++calls_;
  current_ = id;
  matching_ = matching;
  if (matching == answer_matching::by_id && id != call_id()) {
    sent_ids_.insert(HashBytes(id.get()));
  }
}

auto answer_matcher::IsOwn(const call_id& answered) const -> bool {
  if (current_ == call_id()) {
    return true;
  }
  const auto is_only_call =
      calls_ == 1 || matching_ == answer_matching::by_order;
  return answered == current_ || (answered == call_id() && is_only_call);
}

auto answer_matcher::IsReusable() const -> bool {
  return matching_ == answer_matching::by_order ||
         (current_ != call_id() && sent_ids_.size() < kMaxIds);
}

}  // namespace ebony
