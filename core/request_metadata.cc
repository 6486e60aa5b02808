#include "core/request_metadata.h"

#include "core/hashing.h"

namespace ebony {

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
