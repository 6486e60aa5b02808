#ifndef EBONY_ENTRY_RETRY_BUDGET_H_
#define EBONY_ENTRY_RETRY_BUDGET_H_

namespace ebony {

// Bounds retries to a share of the requests, so that a failing fleet does not
// get a storm of retries on top of its load.
class retry_budget {
  double share_;
  double tokens_;

 public:
  // `percent` retries are allowed per 100 requests, in the long run.
  explicit retry_budget(unsigned percent);

  auto OnRequest() -> void;
  // Takes one retry out of the budget. Returns false when there is none.
  auto TryConsume() -> bool;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_RETRY_BUDGET_H_
