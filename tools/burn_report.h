#ifndef EBONY_TOOLS_BURN_REPORT_H_
#define EBONY_TOOLS_BURN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ebony {

// What a service level is kept for.
struct burn_key {
  std::string model;
  std::string priority;
  std::string caller;

  friend auto operator<=>(const burn_key&, const burn_key&)
      -> std::strong_ordering = default;
};

// Requests so far, as counted by all entries together.
struct burn_count {
  std::uint64_t good = 0;  // answered within their time
  std::uint64_t bad = 0;

  auto get_total() const -> std::uint64_t { return good + bad; }
};

using burn_counts = std::map<burn_key, burn_count>;

// Adds the counters of one entry's metrics page to `counts`.
auto AddMetricsPage(const std::string& page, burn_counts& counts) -> void;

// One row of the report.
struct burn_row {
  burn_key key;
  burn_count total;
  double attainment = 1;   // share answered in time, since the start
  double budget_left = 1;  // share of the error budget, may be negative
  double short_burn = 0;   // 1 uses the budget up exactly
  double long_burn = 0;
  std::string alert;  // page, ticket or empty
};

// Works out the rows from the counts at the start of the long window, at the
// start of the short one, and now. An alert needs both windows to burn, so that
// it is neither late nor about something that is over.
// Source: Beyer et al., "The Site Reliability Workbook", 2018, chapter 5.
auto MakeBurnRows(const burn_counts& long_ago,
                  const burn_counts& shortly_ago,
                  const burn_counts& now,
                  double objective) -> std::vector<burn_row>;

}  // namespace ebony

#endif  // EBONY_TOOLS_BURN_REPORT_H_
