#include "control/load_totals.h"

#include <utility>

namespace ebony {

auto load_totals::Subtract(const load_report& report) -> void {
  for (const auto& [number, amount] : report) {
    totals_[number].requests -= amount.requests;
    totals_[number].tokens -= amount.tokens;
  }
}

auto load_totals::Report(const vm_name& vm, load_report report, mono_time now)
    -> void {
  auto& known = gateways_[vm];
  Subtract(known.report);
  for (const auto& [number, amount] : report) {
    if (number >= totals_.size()) {
      totals_.resize(std::size_t{number} + 1);
    }
    totals_[number].requests += amount.requests;
    totals_[number].tokens += amount.tokens;
  }
  known = {std::move(report), now};
}

auto load_totals::Expire(mono_time now) -> void {
  for (auto item = gateways_.begin(); item != gateways_.end();) {
    if (now - item->second.last_report <= kReportTimeout) {
      ++item;
      continue;
    }
    Subtract(item->second.report);
    item = gateways_.erase(item);
  }
}

auto load_totals::Clear() -> void {
  gateways_.clear();
  totals_.clear();
}

auto load_totals::Get(std::uint32_t number) const -> load_amount {
  return number < totals_.size() ? totals_[number] : load_amount();
}

auto load_totals::GetReport() const -> load_report {
  auto report = load_report();
  for (auto number = std::uint32_t{0}; number < totals_.size(); ++number) {
    if (!totals_[number].is_zero()) {
      report.push_back({number, totals_[number]});
    }
  }
  return report;
}

}  // namespace ebony
