#include "entry/retry_budget.h"

#include <algorithm>

namespace ebony {

namespace {

// Retries that an idle entry may make in a burst.
constexpr double kMaxTokens = 20;

}  // namespace

retry_budget::retry_budget(unsigned percent)
    : tokens_per_request_(percent / 100.0),
      tokens_(percent == 0 ? 0 : kMaxTokens) {}

auto retry_budget::OnRequest() -> void {
  tokens_ = std::min(tokens_ + tokens_per_request_, kMaxTokens);
}

auto retry_budget::TryConsume() -> bool {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace ebony
