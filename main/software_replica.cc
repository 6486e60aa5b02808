#include "main/software_replica.h"

#include <algorithm>

namespace ebony {

auto software_replica::FillRequest(schema::sync_request& request) const
    -> void {
  request.set_have_software(digest_);
}

auto software_replica::FillAnswer(const schema::sync_request& request,
                                  schema::sync_answer& answer,
                                  mono_time now) const -> void {
  AddSoftwareVersions(answer, request, Get(), times_, now);
}

auto software_replica::IsSettled(const stream_origin& item, mono_time now) const
    -> bool {
  return times_.GetAge(item, now) >= kMaxAge;
}

// A version that is the only one of its service is settled: one that callers
// could have been served by before would still be in the set.
auto software_replica::RecordTimes(const software_rows& rows, mono_time now)
    -> void {
  times_.Update(*versions_, now);
  for (const auto& row : rows) {
    const auto item = ToDomain(row);
    const auto is_only = versions_->GetOnly(item.service).has_value();
    const auto age = duration(std::chrono::milliseconds(row.known_ms()));
    times_.OnTold(item, is_only ? std::max(age, kMaxAge) : age, now);
  }
}

auto software_replica::ApplyAnswer(const schema::sync_answer& answer,
                                   mono_time now) -> void {
  const auto digest = answer.software_digest();
  if (digest == digest_) {
    return;
  }
  versions_.reset();
  digest_ = 0;
  auto told = ToSoftwareVersions(answer.software());
  if (digest != 0 && told.GetDigest() == digest) {
    versions_ = std::move(told);
    digest_ = digest;
    RecordTimes(answer.software(), now);
  }
}

}  // namespace ebony
