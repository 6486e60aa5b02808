#ifndef EBONY_CODEC_RECORD_CODEC_H_
#define EBONY_CODEC_RECORD_CODEC_H_

#include <string>

#include "core/domain.h"
#include "schema/backend.pb.h"
#include "schema/record.pb.h"

namespace ebony {

// Conversions between the schema and the domain types. Functions that parse
// external input throw ebony_error of kind invalid_request, whose message
// states what is invalid.

auto ToDomain(const schema::record& message) -> record_content;
auto ToSchema(const record_content& content) -> schema::record;
auto ToDomain(const schema::resident& message) -> resident;
auto ToSchema(const resident& value) -> schema::resident;
auto ToDomain(const schema::announcement& message) -> backend_announcement;
auto ToSchema(const backend_announcement& value) -> schema::announcement;
auto ToDomain(const schema::order& message) -> order;
auto ToSchema(const order& value) -> schema::order;

// Parses a record from JSON or from the protobuf encoding. Only the latter
// keeps fields of a newer schema.
auto ParseRecordJson(const std::string& text) -> record_content;
auto ParseRecordBinary(const std::string& bytes) -> record_content;
auto ParseAnnouncementJson(const std::string& text) -> backend_announcement;
auto ParseOrderJson(const std::string& text) -> order;

// Renders a message as JSON, with the schema's field names and default values.
// Throws ebony_error of kind internal if that fails.
auto RenderJson(const google::protobuf::Message& message) -> std::string;

// Converts each value and appends it to the repeated field `messages`.
template <typename Range, typename Messages>
auto AppendToSchema(const Range& values, Messages* messages) -> void {
  for (const auto& value : values) {
    *messages->Add() = ToSchema(value);
  }
}

}  // namespace ebony

#endif  // EBONY_CODEC_RECORD_CODEC_H_
