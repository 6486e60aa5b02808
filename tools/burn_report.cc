#include "tools/burn_report.h"

#include <charconv>
#include <sstream>

namespace ebony {

namespace {

constexpr const char* kCounter = "ebony_requests_total{";
// Burn rates that use 2 % of a 30-day budget in an hour and 5 % in six hours.
constexpr double kPageBurn = 14.4;
constexpr double kTicketBurn = 6;

auto GetLabel(const std::string& line, const std::string& name) -> std::string {
  const auto mark = name + "=\"";
  const auto begin = line.find(mark);
  if (begin == std::string::npos) {
    return "";
  }
  const auto from = begin + mark.size();
  return line.substr(from, line.find('"', from) - from);
}

auto GetBurn(const burn_count& before, const burn_count& now, double objective)
    -> double {
  const auto total = now.get_total() - before.get_total();
  if (total == 0) {
    return 0;
  }
  const auto share =
      static_cast<double>(now.bad - before.bad) / static_cast<double>(total);
  return share / (1 - objective);
}

auto Find(const burn_counts& counts, const burn_key& key) -> burn_count {
  const auto found = counts.find(key);
  return found == counts.end() ? burn_count() : found->second;
}

}  // namespace

auto AddMetricsPage(const std::string& page, burn_counts& counts) -> void {
  auto lines = std::istringstream(page);
  auto line = std::string();
  while (std::getline(lines, line)) {
    if (line.rfind(kCounter, 0) != 0) {
      continue;
    }
    auto value = std::uint64_t{0};
    const auto space = line.rfind(' ');
    std::from_chars(line.data() + space + 1, line.data() + line.size(), value);
    auto& count = counts[{GetLabel(line, "model"), GetLabel(line, "class"),
                          GetLabel(line, "caller")}];
    (GetLabel(line, "outcome") == "good" ? count.good : count.bad) += value;
  }
}

auto MakeBurnRows(const burn_counts& long_ago,
                  const burn_counts& shortly_ago,
                  const burn_counts& now,
                  double objective) -> std::vector<burn_row> {
  auto rows = std::vector<burn_row>();
  for (const auto& [key, total] : now) {
    auto row = burn_row();
    row.key = key;
    row.total = total;
    const auto all = static_cast<double>(total.get_total());
    row.attainment = all == 0 ? 1 : static_cast<double>(total.good) / all;
    row.budget_left = 1 - (1 - row.attainment) / (1 - objective);
    row.short_burn = GetBurn(Find(shortly_ago, key), total, objective);
    row.long_burn = GetBurn(Find(long_ago, key), total, objective);
    if (row.short_burn >= kPageBurn && row.long_burn >= kPageBurn) {
      row.alert = "page";
    } else if (row.short_burn >= kTicketBurn && row.long_burn >= kTicketBurn) {
      row.alert = "ticket";
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace ebony
