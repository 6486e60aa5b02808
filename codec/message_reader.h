#ifndef EBONY_CODEC_MESSAGE_READER_H_
#define EBONY_CODEC_MESSAGE_READER_H_

#include <cstddef>
#include <optional>
#include <string>

#include "schema/site.pb.h"

namespace ebony {

// Parses a message of another daemon. Rows with a text that is not UTF-8 are
// left out, so that they cost neither the others nor the daemons that these are
// passed on to: builds before this one cannot parse such a text. Returns the
// number of rows left out, or std::nullopt if the bytes are no such message.
auto ReadMessage(const std::string& bytes, schema::sync_request& message)
    -> std::optional<std::size_t>;
auto ReadMessage(const std::string& bytes, schema::sync_answer& message)
    -> std::optional<std::size_t>;
auto ReadMessage(const std::string& bytes, schema::announce_batch& message)
    -> std::optional<std::size_t>;
// The same for what was read from the disk.
auto ReadMessage(const std::string& bytes, schema::fact_batch& message)
    -> std::optional<std::size_t>;

}  // namespace ebony

#endif  // EBONY_CODEC_MESSAGE_READER_H_
