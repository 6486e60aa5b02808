#ifndef EBONY_TOOLS_BURN_REPORT_H_
#define EBONY_TOOLS_BURN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebony {

// Requests that share one service-level objective.
struct service_level_key {
  std::string model;
  std::string priority;
  std::string caller;

  friend auto operator<=>(const service_level_key&, const service_level_key&)
      -> std::strong_ordering = default;
};

// Requests since the start of the entries, summed over all of them.
struct outcome_count {
  std::uint64_t good = 0;  // answered within their time limit
  std::uint64_t bad = 0;   // late or failed

  auto get_total() const -> std::uint64_t { return good + bad; }
};

using outcome_counts = std::map<service_level_key, outcome_count>;

// Parses the request counters in one entry's metrics page and adds them to
// `counts`.
auto AddMetricsPage(const std::string& page, outcome_counts& counts) -> void;

// One row of the report.
struct burn_rate_row {
  service_level_key key;
  outcome_count total;
  // Share of requests answered in time since the entries started, 0 to 1.
  double attainment = 1;
  // Remaining share of the error budget. Negative once it is exceeded.
  double budget_left = 1;
  // Burn rates over the two windows. A rate of 1 spends exactly the error
  // budget.
  double short_burn = 0;
  double long_burn = 0;
  std::string alert;  // page, ticket or empty
};

// Computes attainment, error budget and burn rates from the counters at the
// start of the long window, at the start of the short one, and now.
// `objective` is the target share of good requests, above 0 and below 1. An
// alert requires a high burn rate in both windows: the short one clears the
// alert soon after an incident ends, the long one ignores brief spikes.
// Source: Beyer et al., "The Site Reliability Workbook", 2018, chapter 5.
auto ComputeBurnRates(const outcome_counts& long_window_start,
                      const outcome_counts& short_window_start,
                      const outcome_counts& now,
                      double objective) -> std::vector<burn_rate_row>;

}  // namespace ebony

#endif  // EBONY_TOOLS_BURN_REPORT_H_
