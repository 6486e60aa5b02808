#include "codec/quota_codec.h"

#include <chrono>

namespace ebony {

auto AddQuotaReports(schema::sync_request& request,
                     const quota_reports& reports) -> void {
  for (const auto& report : reports) {
    auto* row = request.add_quota_reports();
    row->set_organisation(report.organisation.get());
    row->set_wanted(report.wanted);
    row->set_next(report.next);
    row->set_expected(report.expected);
    row->set_returned(report.returned);
  }
}

auto GetQuotaReports(const schema::sync_request& request) -> quota_reports {
  auto reports = quota_reports();
  for (const auto& row : request.quota_reports()) {
    reports.push_back({organisation_name(row.organisation()), row.wanted(),
                       row.next(), row.expected(), row.returned()});
  }
  return reports;
}

auto AddQuotaGrants(schema::sync_answer& answer, const quota_grants& grants)
    -> void {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  for (const auto& grant : grants) {
    auto* row = answer.add_quota_grants();
    row->set_organisation(grant.organisation.get());
    row->set_amount(grant.amount);
    // Rounded down, so that the lease never lasts longer.
    row->set_valid_ms(static_cast<std::uint32_t>(
        duration_cast<milliseconds>(grant.valid_for).count()));
    if (grant.retry_after > duration(0)) {
      row->set_retry_after_ms(static_cast<std::uint32_t>(
          duration_cast<milliseconds>(grant.retry_after).count() + 1));
    }
  }
}

auto GetQuotaGrants(const schema::sync_answer& answer) -> quota_grants {
  auto grants = quota_grants();
  for (const auto& row : answer.quota_grants()) {
    grants.push_back({organisation_name(row.organisation()), row.amount(),
                      std::chrono::milliseconds(row.valid_ms()),
                      std::chrono::milliseconds(row.retry_after_ms())});
  }
  return grants;
}

}  // namespace ebony
