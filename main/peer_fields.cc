#include "main/peer_fields.h"

#include <algorithm>
#include <array>

#include "codec/handover_codec.h"

namespace ebony {

namespace {

constexpr auto kPeerFields = std::array{kHandoverField, kHandoverResultField};

auto IsPeerField(const http_field& field) -> bool {
  return std::any_of(
      kPeerFields.begin(), kPeerFields.end(),
      [&field](const char* name) { return IsSameFieldName(field.name, name); });
}

}  // namespace

auto RemovePeerFields(http_head& head) -> void {
  std::erase_if(head.fields, IsPeerField);
}

auto FindHandoverTerms(const http_head& head) -> const std::string* {
  const auto count = std::count_if(
      head.fields.begin(), head.fields.end(), [](const http_field& field) {
        return IsSameFieldName(field.name, kHandoverField);
      });
  return count == 1 ? head.Find(kHandoverField) : nullptr;
}

}  // namespace ebony
