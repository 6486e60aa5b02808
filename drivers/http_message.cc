#include "drivers/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

namespace ebony {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::array<std::string_view, 8> kHopByHop = {
    "Connection",        "Keep-Alive", "Proxy-Connection",  "TE", "Trailer",
    "Transfer-Encoding", "Upgrade",    "Proxy-Authenticate"};

auto ToView(beast::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

auto RenderFields(const http_head& head, std::string& out) -> void {
  for (const auto& field : head.fields) {
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  out.append("\r\n");
}

}  // namespace

auto GetBodyFramingText(body_framing framing) -> std::string_view {
  switch (framing) {
    case body_framing::length:
      return "length";
    case body_framing::chunked:
      return "chunked";
    case body_framing::at_close:
      break;
  }
  return "at_close";
}

auto IsSameFieldName(std::string_view left, std::string_view right) -> bool {
  return beast::iequals({left.data(), left.size()},
                        {right.data(), right.size()});
}

auto http_head::Find(std::string_view name) const -> const std::string* {
  const auto found = std::find_if(
      fields.begin(), fields.end(),
      [name](const auto& field) { return IsSameFieldName(field.name, name); });
  return found == fields.end() ? nullptr : &found->value;
}

auto IsHopByHop(const http_head& head, std::string_view name) -> bool {
  const auto is_listed = std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](auto listed) { return IsSameFieldName(listed, name); });
  if (is_listed) {
    return true;
  }
  return std::any_of(
      head.fields.begin(), head.fields.end(), [name](const auto& field) {
        return IsSameFieldName(field.name, "Connection") &&
               http::token_list(field.value).exists({name.data(), name.size()});
      });
}

// Interface of the parser, common to requests and responses.
class http_reader::parser_base {
 public:
  virtual ~parser_base() = default;
  virtual auto Feed(std::string_view bytes, std::size_t& consumed)
      -> parse_status = 0;
  virtual auto FeedEof() -> parse_status = 0;
  virtual auto has_head() const -> bool = 0;
};

// NOLINTBEGIN(readability-identifier-naming): names given by Beast.
template <bool is_request>
class http_reader::parser : public http_reader::parser_base,
                            public http::basic_parser<is_request> {
  using error = boost::system::error_code;

  hooks hooks_;
  http_head head_;

  auto GetStatus(const error& problem) const -> parse_status {
    if (problem == http::error::need_more) {
      return parse_status::need_more;
    }
    if (problem == http::error::header_limit) {
      return parse_status::head_too_large;
    }
    if (problem == http::error::body_limit) {
      return parse_status::body_too_large;
    }
    if (problem) {
      return parse_status::malformed;
    }
    return this->is_done() ? parse_status::complete : parse_status::need_more;
  }

  auto GetFraming() const -> body_framing {
    if (this->chunked()) {
      return body_framing::chunked;
    }
    return !is_request && this->need_eof() ? body_framing::at_close
                                           : body_framing::length;
  }

  auto on_request_impl(http::verb,
                       beast::string_view method,
                       beast::string_view target,
                       int,
                       error&) -> void override {
    head_.method = std::string(ToView(method));
    head_.target = std::string(ToView(target));
  }
  auto on_response_impl(int code, beast::string_view, int, error&)
      -> void override {
    head_.status = code;
  }
  auto on_field_impl(http::field,
                     beast::string_view name,
                     beast::string_view value,
                     error&) -> void override {
    head_.fields.push_back(
        {std::string(ToView(name)), std::string(ToView(value))});
  }
  auto on_header_impl(error&) -> void override {
    head_.keep_alive = this->keep_alive();
    head_.framing = GetFraming();
    head_.announced_bytes = this->content_length().get_value_or(0);
    hooks_.on_head(std::move(head_));
  }
  auto on_body_init_impl(const boost::optional<std::uint64_t>&, error&)
      -> void override {}
  auto on_body_impl(beast::string_view body, error&) -> std::size_t override {
    hooks_.on_body(ToView(body));
    return body.size();
  }
  auto on_chunk_header_impl(std::uint64_t, beast::string_view, error&)
      -> void override {}
  auto on_chunk_body_impl(std::uint64_t, beast::string_view body, error&)
      -> std::size_t override {
    hooks_.on_body(ToView(body));
    return body.size();
  }
  auto on_finish_impl(error&) -> void override {}

 public:
  parser(hooks callbacks, limits max_sizes) : hooks_(std::move(callbacks)) {
    this->eager(true);
    this->header_limit(max_sizes.head_bytes);
    this->body_limit(max_sizes.body_bytes);
  }

  auto Feed(std::string_view bytes, std::size_t& consumed)
      -> parse_status override {
    consumed = 0;
    auto status = parse_status::need_more;
    while (consumed < bytes.size() && status == parse_status::need_more) {
      auto problem = error();
      const auto rest = bytes.substr(consumed);
      const auto used = this->put(
          boost::asio::const_buffer(rest.data(), rest.size()), problem);
      consumed += used;
      status = GetStatus(problem);
      if (used == 0 || problem == http::error::need_more) {
        break;
      }
    }
    return status;
  }

  auto FeedEof() -> parse_status override {
    if (!this->got_some()) {
      return parse_status::malformed;
    }
    auto problem = error();
    this->put_eof(problem);
    return problem || !this->is_done() ? parse_status::malformed
                                       : parse_status::complete;
  }

  auto has_head() const -> bool override { return this->is_header_done(); }
};
// NOLINTEND(readability-identifier-naming)

http_reader::http_reader(http_message_type type,
                         hooks callbacks,
                         limits max_sizes) {
  if (type == http_message_type::request) {
    parser_ = std::make_unique<parser<true>>(std::move(callbacks), max_sizes);
  } else {
    parser_ = std::make_unique<parser<false>>(std::move(callbacks), max_sizes);
  }
}

http_reader::~http_reader() = default;

auto http_reader::Feed(std::string_view bytes, std::size_t& consumed)
    -> parse_status {
  return parser_->Feed(bytes, consumed);
}

auto http_reader::FeedEof() -> parse_status {
  return parser_->FeedEof();
}

auto http_reader::has_head() const -> bool {
  return parser_->has_head();
}

auto RenderRequestHead(const http_head& head) -> std::string {
  auto out = std::string();
  out.reserve(512);
  out.append(head.method).append(" ").append(head.target);
  out.append(" HTTP/1.1\r\n");
  RenderFields(head, out);
  return out;
}

auto RenderResponseHead(const http_head& head) -> std::string {
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(head.status));
  auto out = std::string();
  out.reserve(256);
  out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
  out.append(ToView(reason)).append("\r\n");
  RenderFields(head, out);
  return out;
}

auto RenderChunk(std::string_view bytes) -> std::string {
  auto out = std::string();
  const auto append = [&out](const auto& buffers) {
    for (auto it = boost::asio::buffer_sequence_begin(buffers);
         it != boost::asio::buffer_sequence_end(buffers); ++it) {
      const auto piece = boost::asio::const_buffer(*it);
      out.append(static_cast<const char*>(piece.data()), piece.size());
    }
  };
  if (bytes.empty()) {
    append(http::make_chunk_last());
  } else {
    append(http::make_chunk(
        boost::asio::const_buffer(bytes.data(), bytes.size())));
  }
  return out;
}

}  // namespace ebony
