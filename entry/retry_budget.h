#ifndef EBONY_ENTRY_RETRY_BUDGET_H_
#define EBONY_ENTRY_RETRY_BUDGET_H_

namespace ebony {

// Token bucket that limits retries to a fraction of the requests, so that
// failing backend servers do not receive a retry storm on top of their load.
class retry_budget {
  double tokens_per_request_;
  double tokens_;

 public:
  // `percent` is the long-term number of retries per 100 requests.
  explicit retry_budget(unsigned percent);

  auto OnRequest() -> void;
  // Consumes one retry. Returns false when the budget is exhausted.
  auto TryConsume() -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_RETRY_BUDGET_H_
