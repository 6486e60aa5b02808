#include "tools/burn_report.h"

#include <charconv>
#include <sstream>

namespace ebony {

namespace {

constexpr const char* kCounterPrefix = "ebony_requests_total{";
// Burn rates that spend 2 % of a 30-day error budget in an hour and 5 % in six
// hours.
constexpr double kPageBurnRate = 14.4;
constexpr double kTicketBurnRate = 6;

auto ParseLabel(const std::string& line, const std::string& name)
    -> std::string {
  const auto prefix = name + "=\"";
  const auto begin = line.find(prefix);
  if (begin == std::string::npos) {
    return "";
  }
  const auto value_begin = begin + prefix.size();
  return line.substr(value_begin, line.find('"', value_begin) - value_begin);
}

auto GetBurnRate(const outcome_count& before,
                 const outcome_count& now,
                 double objective) -> double {
  const auto total = now.get_total() - before.get_total();
  if (total == 0) {
    return 0;
  }
  const auto bad_share =
      static_cast<double>(now.bad - before.bad) / static_cast<double>(total);
  return bad_share / (1 - objective);
}

auto Find(const outcome_counts& counts, const service_level_key& key)
    -> outcome_count {
  const auto found = counts.find(key);
  return found == counts.end() ? outcome_count() : found->second;
}

}  // namespace

auto AddMetricsPage(const std::string& page, outcome_counts& counts) -> void {
  auto lines = std::istringstream(page);
  auto line = std::string();
  while (std::getline(lines, line)) {
    if (line.rfind(kCounterPrefix, 0) != 0) {
      continue;
    }
    auto value = std::uint64_t{0};
    const auto space = line.rfind(' ');
    std::from_chars(line.data() + space + 1, line.data() + line.size(), value);
    auto& count = counts[{ParseLabel(line, "model"), ParseLabel(line, "class"),
                          ParseLabel(line, "caller")}];
    (ParseLabel(line, "outcome") == "good" ? count.good : count.bad) += value;
  }
}

auto ComputeBurnRates(const outcome_counts& long_window_start,
                      const outcome_counts& short_window_start,
                      const outcome_counts& now,
                      double objective) -> std::vector<burn_rate_row> {
  auto rows = std::vector<burn_rate_row>();
  for (const auto& [key, total] : now) {
    auto row = burn_rate_row();
    row.key = key;
    row.total = total;
    const auto all = static_cast<double>(total.get_total());
    row.attainment = all == 0 ? 1 : static_cast<double>(total.good) / all;
    row.budget_left = 1 - (1 - row.attainment) / (1 - objective);
    row.short_burn =
        GetBurnRate(Find(short_window_start, key), total, objective);
    row.long_burn = GetBurnRate(Find(long_window_start, key), total, objective);
    if (row.short_burn >= kPageBurnRate && row.long_burn >= kPageBurnRate) {
      row.alert = "page";
    } else if (row.short_burn >= kTicketBurnRate &&
               row.long_burn >= kTicketBurnRate) {
      row.alert = "ticket";
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace ebony
