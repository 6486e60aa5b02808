#include "main/crash_uplink.h"

#include "codec/site_codec.h"

namespace ebony {

crash_uplink::crash_uplink(crash_ledger& ledger) : ledger_(ledger) {}

auto crash_uplink::FillRequest(schema::sync_request& request, mono_time now)
    -> void {
  request.set_crash_source(source_);
  request.set_have_crashes(revision_);
  for (const auto& report : ledger_.TakeReport(now)) {
    *request.add_crashes() = ToSchema(report);
  }
}

auto crash_uplink::ApplyAnswer(const schema::sync_answer& answer,
                               const change_hook& on_change,
                               mono_time now) -> void {
  ledger_.OnReportAnswered(answer.crash_source() != source_);
  source_ = answer.crash_source();
  revision_ = answer.crash_revision();
  for (const auto& row : answer.crashes()) {
    const auto report = ToDomain(row);
    if (ledger_.Merge(report, true, now)) {
      on_change(*ledger_.Find(report.record.key));
    }
  }
  ledger_.Forget(now);
}

auto LogCrashRecord(event_log& log, const crash_record& record) -> void {
  log.Write(
      event_category::state, "suspect_told",
      {{"key", GetKeyText(record.key)},
       {"clearances", static_cast<std::int64_t>(record.clearances)},
       {"rounds", static_cast<std::int64_t>(record.rounds)},
       {"servers", static_cast<std::int64_t>(record.runs.get_values().size())},
       {"requests",
        static_cast<std::int64_t>(record.requests.get_values().size())},
       {"proven", IsProvenCrasher(record) ? "yes" : "no"}});
}

}  // namespace ebony
