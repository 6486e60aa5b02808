#ifndef EBONY_CODEC_QUOTA_CODEC_H_
#define EBONY_CODEC_QUOTA_CODEC_H_

#include "core/quota.h"
#include "schema/site.pb.h"

namespace ebony {

auto AddQuotaReports(schema::sync_request& request,
                     const quota_reports& reports) -> void;
auto GetQuotaReports(const schema::sync_request& request) -> quota_reports;

auto AddQuotaGrants(schema::sync_answer& answer, const quota_grants& grants)
    -> void;
auto GetQuotaGrants(const schema::sync_answer& answer) -> quota_grants;

}  // namespace ebony

#endif  // EBONY_CODEC_QUOTA_CODEC_H_
