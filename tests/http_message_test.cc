#include <boost/test/unit_test.hpp>
#include <string>

#include "drivers/http_message.h"

namespace ebony::testing {

namespace {

struct parse_result {
  http_head head;
  std::string body;
  std::string rest;
  parse_status status = parse_status::need_more;
};

// Parses `bytes` in pieces of `step` bytes, as a connection may deliver them.
auto Parse(http_message_type type, const std::string& bytes, std::size_t step)
    -> parse_result {
  auto result = parse_result();
  auto hooks = http_reader::hooks();
  hooks.on_head = [&](http_head head) { result.head = std::move(head); };
  hooks.on_body = [&](std::string_view piece) { result.body.append(piece); };
  auto reader = http_reader(type, hooks, {1024, 1024});
  auto unparsed = std::string();
  for (auto at = std::size_t{0};
       at < bytes.size() && result.status == parse_status::need_more;
       at += step) {
    unparsed.append(bytes.substr(at, step));
    auto consumed = std::size_t{0};
    result.status = reader.Feed(unparsed, consumed);
    unparsed.erase(0, consumed);
    result.rest = unparsed + bytes.substr(std::min(bytes.size(), at + step));
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_message)

BOOST_AUTO_TEST_CASE(a_request_parses_the_same_however_it_is_split) {
  const auto bytes = std::string(
      "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: "
      "5\r\n\r\nhelloNEXT");
  for (auto step = std::size_t{1}; step <= bytes.size(); ++step) {
    const auto result = Parse(http_message_type::request, bytes, step);
    BOOST_TEST_REQUIRE((result.status == parse_status::complete));
    BOOST_TEST_REQUIRE(result.head.target == "/a/b?x=1");
    BOOST_TEST_REQUIRE(result.body == "hello");
    BOOST_TEST_REQUIRE(result.rest == "NEXT");
  }
}

BOOST_AUTO_TEST_CASE(a_chunked_response_parses_the_same_however_it_is_split) {
  const auto bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     RenderChunk("id: 1\n\n") + RenderChunk("id: 2\n\n") +
                     RenderChunk({}) + "surplus";
  for (auto step = std::size_t{1}; step <= bytes.size(); ++step) {
    const auto result = Parse(http_message_type::response, bytes, step);
    BOOST_TEST_REQUIRE((result.status == parse_status::complete));
    BOOST_TEST_REQUIRE(result.body == "id: 1\n\nid: 2\n\n");
    BOOST_TEST_REQUIRE(result.rest == "surplus");
  }
}

BOOST_AUTO_TEST_CASE(a_request_with_ambiguous_length_is_malformed) {
  const auto both = Parse(http_message_type::request,
                          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                          7);
  BOOST_TEST((both.status == parse_status::malformed));
  const auto lengths =
      Parse(http_message_type::request,
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            "Content-Length: 5\r\n\r\nabcde",
            100);
  BOOST_TEST((lengths.status == parse_status::malformed));
}

BOOST_AUTO_TEST_CASE(an_oversized_head_or_body_is_rejected) {
  const auto head = Parse(http_message_type::request,
                          "GET / HTTP/1.1\r\nA: " + std::string(2000, 'x'), 64);
  BOOST_TEST((head.status == parse_status::head_too_large));
  const auto body = Parse(
      http_message_type::request,
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\nabc", 1000);
  BOOST_TEST((body.status == parse_status::body_too_large));
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_malformed) {
  auto hooks = http_reader::hooks();
  hooks.on_head = [](const http_head&) {};
  hooks.on_body = [](std::string_view) {};
  for (const auto* bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le", ""}) {
    auto reader = http_reader(http_message_type::response, hooks, {});
    auto consumed = std::size_t{0};
    reader.Feed(bytes, consumed);
    BOOST_TEST((reader.FeedEof() == parse_status::malformed));
  }
  auto reader = http_reader(http_message_type::response, hooks, {});
  auto consumed = std::size_t{0};
  reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc", consumed);
  BOOST_TEST((reader.FeedEof() == parse_status::complete));
}

BOOST_AUTO_TEST_CASE(hop_by_hop_fields_are_recognised) {
  auto head = http_head();
  head.fields = {{"Connection", "close, X-Own"}, {"X-Own", "1"}};
  BOOST_TEST(IsHopByHop(head, "keep-alive"));
  BOOST_TEST(IsHopByHop(head, "x-own"));
  BOOST_TEST(!IsHopByHop(head, "Host"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
