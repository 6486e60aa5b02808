#include "core/metrics.h"

// Boost.Accumulators 1.74 uses string streams without including <sstream>.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace ebony {

namespace {

namespace acc = boost::accumulators;

// Limit per kind of series. A daemon of the largest planned fleet stays below
// it.
constexpr std::size_t kMaxSeries = 4096;
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// Returns `name<suffix>{labels,extra}` for the series `name{labels}`.
auto ExtendSeries(const std::string& series,
                  const std::string& suffix,
                  const std::string& extra) -> std::string {
  const auto brace = series.find('{');
  const auto name = series.substr(0, brace);
  auto labels = std::string();
  if (brace != std::string::npos) {
    labels = series.substr(brace + 1, series.size() - brace - 2);
  }
  if (!labels.empty() && !extra.empty()) {
    labels += ",";
  }
  labels += extra;
  return name + suffix + (labels.empty() ? "" : "{" + labels + "}");
}

}  // namespace

class distribution {
  using accumulator =
      acc::accumulator_set<double,
                           acc::stats<acc::tag::count,
                                      acc::tag::sum,
                                      acc::tag::extended_p_square_quantile>>;
  accumulator values_{acc::extended_p_square_probabilities = kQuantiles};

 public:
  auto Add(double value) -> void { values_(value); }

  auto Render(const std::string& series, std::ostream& out) const -> void {
    for (const auto quantile : kQuantiles) {
      auto label = std::ostringstream();
      label << "quantile=\"" << quantile << "\"";
      out << ExtendSeries(series, "", label.str()) << " "
          << acc::quantile(values_, acc::quantile_probability = quantile)
          << "\n";
    }
    out << ExtendSeries(series, "_count", "") << " " << acc::count(values_)
        << "\n";
    out << ExtendSeries(series, "_sum", "") << " " << acc::sum(values_) << "\n";
  }
};

metrics::metrics() = default;
metrics::~metrics() = default;

auto metrics::HasCapacity(std::size_t count) -> bool {
  if (count < kMaxSeries) {
    return true;
  }
  ++dropped_series_;
  return false;
}

auto metrics::Count(const std::string& series, std::uint64_t amount) -> void {
  const auto lock = std::lock_guard(mutex_);
  const auto found = counters_.find(series);
  if (found != counters_.end()) {
    found->second += amount;
  } else if (HasCapacity(counters_.size())) {
    counters_.emplace(series, amount);
  }
}

auto metrics::Set(const std::string& series, double value) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (gauges_.contains(series) || HasCapacity(gauges_.size())) {
    gauges_[series] = value;
  }
}

auto metrics::Observe(const std::string& series, double seconds) -> void {
  const auto lock = std::lock_guard(mutex_);
  auto found = distributions_.find(series);
  if (found == distributions_.end()) {
    if (!HasCapacity(distributions_.size())) {
      return;
    }
    found =
        distributions_.emplace(series, std::make_unique<distribution>()).first;
  }
  found->second->Add(seconds);
}

auto metrics::get_counter(const std::string& series) const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  const auto found = counters_.find(series);
  return found == counters_.end() ? 0 : found->second;
}

auto metrics::Render() const -> std::string {
  const auto lock = std::lock_guard(mutex_);
  auto out = std::ostringstream();
  for (const auto& [series, value] : counters_) {
    out << series << " " << value << "\n";
  }
  for (const auto& [series, value] : gauges_) {
    out << series << " " << value << "\n";
  }
  for (const auto& [series, values] : distributions_) {
    values->Render(series, out);
  }
  out << "ebony_metrics_dropped_series_total " << dropped_series_ << "\n";
  return out.str();
}

}  // namespace ebony
