#include "core/request_metadata.h"

#include "core/hashing.h"

namespace ebony {

auto GetFingerprint(std::string_view host,
                    std::string_view method,
                    std::string_view target,
                    std::string_view body) -> request_fingerprint {
  auto hash = HashBytes(host);
  for (const auto part : {method, target, body}) {
    hash = HashBytes(part, hash);
  }
  return request_fingerprint(hash);
}

auto GetSegmentsText(const std::vector<prompt_segment>& segments)
    -> std::string {
  auto text = std::string();
  for (const auto& segment : segments) {
    if (!text.empty()) {
      text.push_back(',');
    }
    text.append(FormatHexadecimal(segment.id));
  }
  return text;
}

}  // namespace ebony
