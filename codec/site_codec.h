#ifndef EBONY_CODEC_SITE_CODEC_H_
#define EBONY_CODEC_SITE_CODEC_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "control/load_totals.h"
#include "control/relay_shedder.h"
#include "core/backend_index.h"
#include "core/backend_registry.h"
#include "core/crash_ledger.h"
#include "core/permit_report.h"
#include "core/service_samples.h"
#include "core/software_versions.h"
#include "core/stream_origin.h"
#include "core/version_times.h"
#include "schema/site.pb.h"

namespace ebony {

auto ToSchema(const first_event_sums& sums) -> schema::first_event_row;
auto ToDomain(const schema::first_event_row& row) -> first_event_sums;

// `now` converts the time of the last announcement to an age in the row and
// back.
auto ToSchema(const backend_record& record, mono_time now)
    -> schema::backend_status_row;
auto ToDomain(const schema::backend_status_row& row, mono_time now)
    -> backend_record;

// `now` converts the time of the answer to an age in the row and back.
auto ToSchema(const request_limit& limit, mono_time now)
    -> schema::request_limit_row;
auto ToDomain(const schema::request_limit_row& row, mono_time now)
    -> request_limit;

// Appends a report. Left out for a server without a number.
auto AddPermitRequest(schema::sync_request& request,
                      const permit_report& report,
                      const backend_index& numbers,
                      mono_time now) -> void;
// Returns the reports on servers with a number.
auto GetPermitReports(const schema::sync_request& request,
                      const backend_index& numbers,
                      mono_time now) -> std::vector<permit_report>;
auto AddPermits(schema::sync_answer& answer,
                const permit_counts& permits,
                const backend_index& numbers) -> void;
auto GetPermits(const schema::sync_answer& answer, const backend_index& numbers)
    -> permit_counts;

// Called with a stream and what began it.
using origin_row_callback =
    std::function<void(stream_key, const stream_origin&)>;

// Appends the streams that began at one origin.
auto AddBegunStreams(schema::begun_streams_row& row,
                     const stream_origin& origin,
                     const std::vector<stream_key>& keys) -> void;
auto ForEachBegunStream(const schema::begun_streams_row& row,
                        const origin_row_callback& callback) -> void;

using software_rows = google::protobuf::RepeatedPtrField<schema::software_row>;

auto ToSchema(const stream_origin& item) -> schema::software_row;
auto ToDomain(const schema::software_row& row) -> stream_origin;
auto ToSoftwareVersions(const software_rows& rows) -> software_versions;
// Fills in the set unless the daemon that is answered has it. A null pointer
// stands for a set that is not known.
auto AddSoftwareVersions(schema::sync_answer& answer,
                         const schema::sync_request& request,
                         const software_versions* versions,
                         const version_times& times,
                         mono_time now) -> void;

auto ToSchema(const crash_report& report) -> schema::crash_record_row;
auto ToDomain(const schema::crash_record_row& row) -> crash_report;

auto GetRelays(const schema::sync_answer& answer) -> std::vector<relay_address>;

// Appends the keys of one gateway.
auto AddTrials(schema::trial_row& row,
               const vm_name& vm,
               const std::vector<suspect_key>& keys) -> void;
auto GetTrialKeys(const schema::trial_row& row) -> std::vector<suspect_key>;

// Called with a backend server, its requests in flight and their tokens.
using load_row_callback =
    std::function<void(const backend_name&, std::uint32_t, std::uint64_t)>;

// Appends one row to the parallel lists of `rows`.
auto AddLoad(schema::backend_loads& rows,
             std::uint32_t number,
             std::uint32_t requests,
             std::uint64_t tokens) -> void;
auto AddLoads(schema::backend_loads& rows, const load_report& report) -> void;
// Returns the rows whose numbers belong to known servers.
auto GetLoadReport(const schema::backend_loads& rows,
                   const backend_index& numbers) -> load_report;
// Calls `callback` for each row whose number belongs to a known server.
auto ForEachLoad(const schema::backend_loads& rows,
                 const backend_index& numbers,
                 const load_row_callback& callback) -> void;

}  // namespace ebony

#endif  // EBONY_CODEC_SITE_CODEC_H_
