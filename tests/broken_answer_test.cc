#include <boost/test/unit_test.hpp>
#include <map>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using ending = server_script::ending;

const auto kFramings = {body_framing::length, body_framing::chunked,
                        body_framing::at_close};

// Renders a signed event stream. `stated_bytes` is the length that a response
// with a length states; 0 states that of the body.
auto MakeStream(body_framing framing,
                const std::string& body,
                std::size_t stated_bytes = 0) -> std::string {
  const auto head = std::string(
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
      "Ebonythread-Response-Seal: seal-$ID\r\n"
      "Content-Type: text/event-stream\r\n");
  switch (framing) {
    case body_framing::length:
      return head + "Content-Length: " +
             std::to_string(stated_bytes > 0 ? stated_bytes : body.size()) +
             "\r\n\r\n" + body;
    case body_framing::chunked:
      return head + "Transfer-Encoding: chunked\r\n\r\n" + RenderChunk(body);
    case body_framing::at_close:
      break;
  }
  return head + "\r\n" + body;
}

// The same, with an orderly end of the framing.
auto MakeFinishedStream(body_framing framing, const std::string& body)
    -> server_script {
  auto script = server_script();
  script.writes = {MakeStream(framing, body)};
  if (framing == body_framing::chunked) {
    script.writes.push_back(RenderChunk({}));
  }
  script.end = framing == body_framing::at_close ? ending::close : ending::keep;
  return script;
}

auto IsOver(const std::shared_ptr<caller_response>& response) -> bool {
  return response->is_complete || response->is_closed;
}

// Sends a request whose attempts are answered with `scripts`, one after the
// other, by as many servers.
auto SendScripted(const std::string& route,
                  const std::vector<server_script>& scripts)
    -> std::shared_ptr<caller_response> {
  auto harness = gateway_harness(static_cast<int>(scripts.size()));
  for (const auto& script : scripts) {
    harness.AddCommonScript(script);
  }
  const auto response = harness.Send(MakeRequest(route, "id-1"));
  harness.RunUntil([&] { return IsOver(response); });
  return response;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(broken_answers)

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_not_complete) {
  for (const auto* route : {"stream", "resume"}) {
    for (const auto framing : kFramings) {
      for (const auto* part : {"id: 2", "id: 2\n", "id: 2\ndata: b\n"}) {
        const auto body = std::string("id: 1\ndata: a\n\n") + part;
        BOOST_TEST_CONTEXT(route << ", " << GetBodyFramingText(framing) << ", '"
                                 << part << "'") {
          const auto response =
              SendScripted(route, {MakeFinishedStream(framing, body)});
          BOOST_TEST(response->status == 200);
          BOOST_TEST(!response->is_complete);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_its_first_event_is_a_failure) {
  for (const auto* route : {"stream", "resume"}) {
    for (const auto framing : kFramings) {
      BOOST_TEST_CONTEXT(route << ", " << GetBodyFramingText(framing)) {
        const auto response =
            SendScripted(route, {MakeFinishedStream(framing, "id: 1\ndata")});
        BOOST_TEST((response->status == 502 || !response->is_complete));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_closes_before_any_event_is_a_failure) {
  for (const auto* route : {"stream", "resume"}) {
    const auto response =
        SendScripted(route, {MakeFinishedStream(body_framing::at_close, {})});
    BOOST_TEST((response->status == 502 || !response->is_complete));
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_resumed) {
  for (const auto framing : kFramings) {
    BOOST_TEST_CONTEXT(GetBodyFramingText(framing)) {
      const auto response = SendScripted(
          "resume", {MakeFinishedStream(framing, "id: 1\ndata: a\n\nid: 2\nda"),
                     MakeFinishedStream(framing, "id: 2\ndata: b\n\n")});
      BOOST_TEST(response->is_complete);
      BOOST_TEST(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_that_ends_inside_an_event_is_aborted) {
  const auto first = server_script{
      {MakeStream(body_framing::chunked, "id: 1\ndata: a\n\n")}, ending::reset};
  for (const auto framing : kFramings) {
    for (const auto* second : {"id: 2\nda", "id: 2\ndata: b\n\nid: 3\n"}) {
      BOOST_TEST_CONTEXT(GetBodyFramingText(framing)
                         << ", '" << second << "'") {
        const auto response = SendScripted(
            "resume", {first, MakeFinishedStream(framing, second)});
        BOOST_TEST(response->status == 200);
        BOOST_TEST(!response->is_complete);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_that_starts_anew_is_not_joined) {
  const auto first =
      server_script{{MakeStream(body_framing::chunked,
                                "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")},
                    ending::reset};
  for (const auto* second : {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                             "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"}) {
    const auto response = SendScripted(
        "resume", {first, MakeFinishedStream(body_framing::chunked, second)});
    BOOST_TEST(!response->is_complete);
    BOOST_TEST(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }
}

BOOST_AUTO_TEST_CASE(a_stream_whose_framing_breaks_off_is_not_complete) {
  const auto body = std::string("id: 1\ndata: a\n\n");
  for (const auto* route : {"stream", "resume"}) {
    for (const auto framing : kFramings) {
      for (const auto end : {ending::close, ending::reset}) {
        if (framing == body_framing::at_close && end == ending::close) {
          continue;  // the orderly end of this framing
        }
        BOOST_TEST_CONTEXT(route << ", " << GetBodyFramingText(framing)) {
          const auto response = SendScripted(
              route, {{{MakeStream(framing, body, body.size() + 1)}, end}});
          BOOST_TEST(!response->is_complete);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_event_over_the_size_limit_is_not_skipped) {
  const auto long_event =
      "id: 2\ndata: " + std::string(std::size_t{1200} * 1024, 'x') + "\n\n";
  const auto response = SendScripted(
      "resume", {MakeFinishedStream(
                    body_framing::chunked,
                    "id: 1\ndata: a\n\n" + long_event + "id: 3\ndata: c\n\n")});
  BOOST_TEST(!response->is_complete);
}

BOOST_AUTO_TEST_CASE(a_whole_stream_is_complete_in_each_framing) {
  for (const auto* route : {"stream", "resume"}) {
    for (const auto framing : kFramings) {
      for (const auto* body :
           {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n",
            "id: 1\ndata: a\n\n: comment\n\n", "id: 1\ndata: a\n\n\n"}) {
        BOOST_TEST_CONTEXT(route << ", " << GetBodyFramingText(framing) << ", '"
                                 << body << "'") {
          const auto response =
              SendScripted(route, {MakeFinishedStream(framing, body)});
          BOOST_TEST(response->is_complete);
          BOOST_TEST(response->body == body);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_that_the_gateway_ends_is_not_complete) {
  const auto script = server_script{
      {MakeStream(body_framing::chunked, "id: 1\ndata: a\n\n")}, ending::hang};
  for (const auto* route : {"stream", "resume"}) {
    auto at_deadline = gateway_harness(1);
    at_deadline.AddCommonScript(script);
    const auto late = at_deadline.Send(
        MakeRequest(route, "id-1", "Ebonythread-Deadline-Ms: 200\r\n"));
    at_deadline.RunUntil([&] { return IsOver(late); });
    BOOST_TEST(late->status == 200);
    BOOST_TEST(!late->is_complete);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_to_head_on_a_stream_route_is_complete) {
  for (const auto* route : {"stream", "resume"}) {
    auto harness = gateway_harness(1);
    harness.AddCommonScript({{MakeStream(body_framing::at_close, {})}});
    auto request = MakeRequest(route, "id-1");
    request.replace(0, 3, "HEAD");
    const auto response = harness.Send(request);
    harness.RunUntil([&] { return IsOver(response); });
    BOOST_TEST(response->is_complete);
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->head.Find("Transfer-Encoding") == nullptr);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_type_than_events_is_not_lost) {
  for (const auto* route : {"stream", "resume"}) {
    auto script = server_script();
    script.writes = {
        "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
        "Ebonythread-Response-Seal: seal-$ID\r\n"
        "Content-Type: application/json\r\nContent-Length: 11\r\n\r\n"
        "{\"text\":\"\"}"};
    const auto response = SendScripted(route, {script});
    BOOST_TEST(response->is_complete);
    BOOST_TEST(response->body == "{\"text\":\"\"}");
  }
}

// Bytes without end, in each place where a gateway might keep or follow them.
BOOST_AUTO_TEST_CASE(an_answer_without_end_is_cut_before_it_fills_the_memory) {
  constexpr auto kMaxBytes = std::uint64_t{24} * 1024 * 1024;
  const auto piece = std::string(16 * 1024, 'x');
  const auto signature = std::string(
      "Ebonythread-Request-Id: $ID\r\nEbonythread-Response-Seal: s\r\n");
  const auto chunked = std::string("Transfer-Encoding: chunked\r\n\r\n");
  const auto events = std::string("Content-Type: text/event-stream\r\n");
  struct endless {
    std::string name;
    std::string start;
    std::string filler;
  };
  const auto cases = std::vector<endless>{
      {"no HTTP", "", piece},
      {"a field of the head", "HTTP/1.1 200 OK\r\nX: ", piece},
      {"fields of the head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a body in chunks", "HTTP/1.1 200 OK\r\n" + signature + chunked,
       RenderChunk(piece)},
      {"a body up to the close", "HTTP/1.1 200 OK\r\n" + signature + "\r\n",
       piece},
      {"a chunk's extension",
       "HTTP/1.1 200 OK\r\n" + signature + chunked + "5;", piece},
      {"an event in chunks",
       "HTTP/1.1 200 OK\r\n" + signature + events + chunked,
       RenderChunk(piece)},
      {"an event up to the close",
       "HTTP/1.1 200 OK\r\n" + signature + events + "\r\n", piece},
      {"an answer to another request",
       "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: other\r\n\r\n", piece},
      {"answers to other requests", "",
       "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: other\r\n"
       "Content-Length: 2\r\n\r\nno"},
  };
  for (const auto* route : {"once", "stream", "resume"}) {
    for (const auto& item : cases) {
      BOOST_TEST_CONTEXT(route << ", " << item.name) {
        auto site = gateway_harness(1);
        auto script = server_script();
        script.writes = {item.start};
        script.filler = item.filler;
        site.AddCommonScript(script);
        const auto answer = site.Send(MakeRequest(route, "id-1"));
        site.RunUntil([&] { return IsOver(answer); });
        BOOST_TEST(site.servers[0]->get_filler_bytes() < kMaxBytes);
        BOOST_TEST((answer->is_closed || answer->status == 502));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
