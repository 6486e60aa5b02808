#ifndef EBONY_DRIVERS_HTTP_MESSAGE_H_
#define EBONY_DRIVERS_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebony {

// A header field.
struct http_field {
  std::string name;
  std::string value;
};

// How the end of a message's body is determined (RFC 9112, section 6.3).
enum class body_framing {
  length,    // a known length, also 0
  chunked,   // ends with the last chunk
  at_close,  // ends when the connection closes; responses only
};

// Returns the name used in log lines.
auto GetBodyFramingText(body_framing framing) -> std::string_view;

// Start line and header fields of an HTTP/1.1 message.
struct http_head {
  std::string method;  // of a request
  std::string target;  // of a request: path and query
  int status = 0;      // of a response
  std::vector<http_field> fields;
  bool keep_alive = true;  // the connection stays open after the message
  body_framing framing = body_framing::length;
  std::uint64_t announced_bytes = 0;  // length of the body, if it is known

  // Returns the value of the first field with this name, or nullptr. Names are
  // compared without regard to case.
  auto Find(std::string_view name) const -> const std::string*;
};

// Compares field names without regard to case.
auto IsSameFieldName(std::string_view left, std::string_view right) -> bool;
// True for a field that applies to a single connection and must not be
// forwarded. Fields listed in `Connection` are included.
auto IsHopByHop(const http_head& head, std::string_view name) -> bool;

enum class http_message_type { request, response };

// State of a message that is being parsed.
enum class parse_status {
  need_more,  // the message is incomplete
  complete,   // the message is complete; later bytes are not consumed
  malformed,  // the bytes are not valid HTTP
  head_too_large,
  body_too_large,
};

// Parses one message incrementally, with the parser of Boost.Beast.
class http_reader {
 public:
  struct hooks {
    std::function<void(http_head)> on_head;  // the header is complete
    // A part of the body, without chunk framing.
    std::function<void(std::string_view)> on_body;
  };
  struct limits {
    std::uint32_t head_bytes = 64 * 1024;
    std::uint64_t body_bytes = 64 * 1024 * 1024;
  };

 private:
  class parser_base;
  template <bool is_request>
  class parser;

  std::unique_ptr<parser_base> parser_;

 public:
  http_reader(http_message_type type, hooks callbacks, limits max_sizes);
  ~http_reader();

  // Parses `bytes` and sets `consumed` to the number of bytes that were used.
  // The others have to be passed again, followed by new ones.
  auto Feed(std::string_view bytes, std::size_t& consumed) -> parse_status;
  // Signals the end of the stream. Returns complete for a body that ends there,
  // and malformed for a message that is cut short.
  auto FeedEof() -> parse_status;
  // True once the header is complete.
  auto has_head() const -> bool;
};

// Serializes the start line and the header, including the blank line.
auto RenderRequestHead(const http_head& head) -> std::string;
auto RenderResponseHead(const http_head& head) -> std::string;
// Encodes a chunk of a chunked body. Empty `bytes` encode the last chunk.
auto RenderChunk(std::string_view bytes) -> std::string;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_MESSAGE_H_
