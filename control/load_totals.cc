#include "control/load_totals.h"

#include <utility>

namespace ebony {

auto load_totals::Subtract(const load_report& report) -> void {
  for (const auto& [id, amount] : report) {
    auto& total = totals_[id];
    total.requests -= amount.requests;
    total.tokens -= amount.tokens;
    if (total.requests == 0 && total.tokens == 0) {
      totals_.erase(id);
    }
  }
}

auto load_totals::Report(const vm_name& vm, load_report report, mono_time now)
    -> void {
  auto& known = gateways_[vm];
  Subtract(known.report);
  for (const auto& [id, amount] : report) {
    auto& total = totals_[id];
    total.requests += amount.requests;
    total.tokens += amount.tokens;
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

auto load_totals::Get(const backend_name& id) const -> load_amount {
  const auto found = totals_.find(id);
  return found == totals_.end() ? load_amount() : found->second;
}

}  // namespace ebony
