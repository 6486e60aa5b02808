#ifndef EBONY_DRIVERS_HTTP_MESSAGE_H_
#define EBONY_DRIVERS_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ebony {

struct http_field {
  std::string name;
  std::string value;
};

// The start line and header of an HTTP/1.1 message.
struct http_head {
  std::string method;  // of a request
  std::string target;  // of a request: path and query
  int status = 0;      // of a response
  std::vector<http_field> fields;
  bool keep_alive = true;
  bool ends_at_close = false;  // a response whose body has no length

  // Returns the first value of a field, or null. Case does not matter.
  auto Find(std::string_view name) const -> const std::string*;
};

// True when two field names are the same but for case.
auto IsSameFieldName(std::string_view left, std::string_view right) -> bool;
// Returns true for a field that concerns one connection only, `Connection`'s
// own list included.
auto IsHopByHop(const http_head& head, std::string_view name) -> bool;

enum class http_message_type { request, response };

enum class parse_status {
  need_more,  // the message is incomplete
  complete,   // the message is complete; later bytes are not consumed
  malformed,  // the bytes are not valid HTTP
  head_too_large,
  body_too_large,
};

// Reads one message incrementally with Boost.Beast's parser.
class http_reader {
 public:
  struct hooks {
    std::function<void(http_head)> on_head;
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
  http_reader(http_message_type side, hooks actions, limits bounds);
  ~http_reader();

  // Reads from `bytes` and sets `consumed`.
  auto Feed(std::string_view bytes, std::size_t& consumed) -> parse_status;
  // The peer closed its side. Whole only for a body that ends at the close.
  auto FeedEof() -> parse_status;
  auto has_head() const -> bool;
};

// Serializes a head; ends with the blank line.
auto RenderRequestHead(const http_head& head) -> std::string;
auto RenderResponseHead(const http_head& head) -> std::string;
// Frames one piece of a chunked body; an empty piece ends the body.
auto RenderChunk(std::string_view bytes) -> std::string;

}  // namespace ebony

#endif  // EBONY_DRIVERS_HTTP_MESSAGE_H_
