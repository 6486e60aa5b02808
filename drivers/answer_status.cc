#include "drivers/answer_status.h"

namespace ebony {

namespace {

constexpr int kFirstInterim = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinal = 200;
constexpr int kFirstNonSuccess = 300;
constexpr int kFirstUndefined = 600;

}  // namespace

auto GetAnswerKind(int status) -> answer_kind {
  if (status >= kFirstFinal && status < kFirstUndefined) {
    return answer_kind::final;
  }
  const auto is_interim = status >= kFirstInterim && status < kFirstFinal &&
                          status != kSwitchingProtocols;
  return is_interim ? answer_kind::interim : answer_kind::none;
}

auto IsSuccess(int status) -> bool {
  return status >= kFirstFinal && status < kFirstNonSuccess;
}

auto interim_limit::OnHead(int status, mono_time now) -> answer_kind {
  const auto kind = GetAnswerKind(status);
  if (kind != answer_kind::interim) {
    return kind;
  }
  if (count_++ == 0) {
    first_at_ = now;
  }
  const auto is_within = count_ <= kMaxCount && now - first_at_ <= kMaxTime;
  return is_within ? answer_kind::interim : answer_kind::none;
}

}  // namespace ebony
