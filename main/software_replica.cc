#include "main/software_replica.h"

#include "codec/site_codec.h"

namespace ebony {

auto software_replica::FillRequest(schema::sync_request& request) const
    -> void {
  request.set_have_software(digest_);
}

auto software_replica::ApplyAnswer(const schema::sync_answer& answer) -> void {
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
  }
}

}  // namespace ebony
