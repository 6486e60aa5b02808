#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

constexpr auto kWhole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const auto kHead = std::string(
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: s-$ID\r\nContent-Type: text/event-stream\r\n");
const auto kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

auto MakeWhole(const std::string& body) -> server_script {
  return {{kChunkedHead + RenderChunk(body) + RenderChunk({})}, ending::keep};
}

auto MakeBroken(const std::string& body, ending end) -> server_script {
  return {{kChunkedHead + RenderChunk(body)}, end};
}

auto IsOver(const std::shared_ptr<caller_response>& response) -> bool {
  return response->is_complete || response->is_closed;
}

// Sends a resumable stream to two servers. `first` answers the first attempt
// and `second` the second one.
struct two_attempts {
  gateway_harness site{2};
  std::shared_ptr<caller_response> answer;

  two_attempts(const server_script& first, const server_script& second) {
    site.AddCommonScript(first);
    site.AddCommonScript(second);
    answer = site.Send(MakeRequest("resume", "id-1"));
  }

  auto Finish() -> void {
    site.RunUntil([this] { return IsOver(answer); });
  }
  // Returns `Last-Event-Id` of the attempt that has one.
  auto GetResumedAfter() -> std::string {
    for (const auto& server : site.servers) {
      for (const auto& request : server->get_received()) {
        if (const auto* after = request->head.Find("Last-Event-Id")) {
          return *after;
        }
      }
    }
    return "none";
  }
  auto CountAttempts() -> std::size_t {
    auto count = std::size_t{0};
    for (const auto& server : site.servers) {
      count += server->get_received().size();
    }
    return count;
  }
};

// Blocks that no `Last-Event-Id` stands for.
const auto kUnnumbered = {"data: x\n\n",
                          "id: x\ndata: x\n\n",
                          "id:\ndata: x\n\n",
                          "id: 3x\ndata: x\n\n",
                          "id: 99999999999999999999\ndata: x\n\n",
                          ": comment\n\n",
                          "event: e\n\n"};

}  // namespace

BOOST_AUTO_TEST_SUITE(joined_streams)

// Guards against complete answers with the bytes of two servers.
BOOST_AUTO_TEST_CASE(bytes_that_are_no_event_are_not_joined_to_a_stream) {
  const auto noise = std::string("<p>Internal error</p>\n\n");
  for (const auto end : {ending::reset, ending::close}) {
    for (const auto* start : {"", "id: 1\ndata: a\n\n"}) {
      const auto body = start + noise + noise;
      const auto rest = std::string(kWhole).substr(std::string(start).size());
      auto stream = two_attempts(MakeBroken(body, end), MakeWhole(rest));
      stream.Finish();
      BOOST_TEST(stream.answer->is_complete);
      BOOST_TEST(stream.answer->body == kWhole);
    }
  }
}

BOOST_AUTO_TEST_CASE(bytes_without_end_are_not_joined_to_a_stream) {
  constexpr auto kMaxBytes = std::uint64_t{24} * 1024 * 1024;
  const auto fillers =
      std::vector<std::string>{"<p>Internal error</p>\n\n", "x\n", "x"};
  for (const auto& filler : fillers) {
    auto noise = server_script{{kHead + "\r\n"}};
    for (auto i = 0; i < 1000; ++i) {
      noise.filler += filler;
    }
    auto stream = two_attempts(noise, MakeWhole(kWhole));
    stream.Finish();
    BOOST_TEST(stream.answer->is_complete);
    BOOST_TEST(stream.answer->body == kWhole);
    for (const auto& server : stream.site.servers) {
      BOOST_TEST(server->get_filler_bytes() < kMaxBytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_does_not_begin_anew_after_an_unnumbered_event) {
  for (const auto* event : kUnnumbered) {
    BOOST_TEST_CONTEXT("'" << event << "'") {
      auto stream =
          two_attempts(MakeBroken(event, ending::reset), MakeWhole(kWhole));
      stream.Finish();
      BOOST_TEST(!stream.answer->is_complete);
      BOOST_TEST(stream.answer->body == event);
      BOOST_TEST(stream.CountAttempts() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_stream_does_not_go_on_before_an_unnumbered_event) {
  auto stream =
      two_attempts(MakeBroken("id: 1\ndata: a\n\ndata: x\n\n", ending::reset),
                   MakeWhole("data: x\n\nid: 2\ndata: b\n\n"));
  stream.Finish();
  BOOST_TEST(!stream.answer->is_complete);
  BOOST_TEST(stream.answer->body == "id: 1\ndata: a\n\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_after_the_numbered_event_that_follows) {
  auto stream =
      two_attempts(MakeBroken("data: x\n\nid: 1\ndata: a\n\n", ending::reset),
                   MakeWhole("id: 2\ndata: b\n\n"));
  stream.Finish();
  BOOST_TEST(stream.answer->is_complete);
  BOOST_TEST(stream.GetResumedAfter() == "1");
  BOOST_TEST(stream.answer->body ==
             "data: x\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against taking the number 0 for none.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_after_event_0) {
  auto stream = two_attempts(MakeBroken("id: 0\ndata: a\n\n", ending::reset),
                             MakeWhole("id: 1\ndata: b\n\n"));
  stream.Finish();
  BOOST_TEST(stream.GetResumedAfter() == "0");
  BOOST_TEST(stream.answer->is_complete);
  BOOST_TEST(stream.answer->body == "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(a_run_that_begins_with_event_0_again_is_not_joined) {
  auto stream = two_attempts(MakeBroken("id: 0\ndata: a\n\n", ending::reset),
                             MakeWhole("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"));
  stream.Finish();
  BOOST_TEST(!stream.answer->is_complete);
  BOOST_TEST(stream.answer->body == "id: 0\ndata: a\n\n");
}

// Its silence is no reason to end it: no other server could go on.
BOOST_AUTO_TEST_CASE(a_silent_stream_that_cannot_go_on_elsewhere_is_kept) {
  auto stream =
      two_attempts(MakeBroken("data: x\n\n", ending::hang), MakeWhole(kWhole));
  stream.site.RunUntil([&] { return !stream.answer->body.empty(); });
  stream.site.RunFor(milliseconds(1200));  // longer than the stall timeout
  BOOST_TEST(!IsOver(stream.answer));
  BOOST_TEST(stream.CountAttempts() == 1U);
}

// A hand-over starts its attempt as a retry does.
BOOST_AUTO_TEST_CASE(a_stream_does_not_begin_anew_at_a_peer) {
  for (const auto* event : {"data: x\n\n", "id: 0\ndata: x\n\n"}) {
    auto site = gateway_harness(2);
    site.AddWiresAndGateways(2);
    site.AddCommonScript(MakeBroken(event, ending::hang));
    site.AddCommonScript(MakeWhole("id: 1\ndata: b\n\n"));
    const auto answer = site.Send(MakeRequest("resume", "id-1"));
    site.RunUntil([&] { return !answer->body.empty(); });
    site.Cut(cut_manner::reset);
    site.RunUntil([&] { return IsOver(answer); });
    const auto is_numbered = std::string(event).starts_with("id");
    BOOST_TEST(answer->is_complete == is_numbered);
    BOOST_TEST(answer->body ==
               event + std::string(is_numbered ? "id: 1\ndata: b\n\n" : ""));
  }
}

// What only looks like an event is what the server wrote: it comes unchanged.
BOOST_AUTO_TEST_CASE(a_whole_stream_without_numbers_is_delivered) {
  for (const auto* body :
       {"data: a\n\ndata: [DONE]\n\n", ": comment\n\ndata: a\n\n",
        "retry: 5\n\ndata\n\n", "event: e\r\ndata: a\r\n\r\n"}) {
    auto stream = two_attempts(MakeWhole(body), MakeWhole(kWhole));
    stream.Finish();
    BOOST_TEST(stream.answer->is_complete);
    BOOST_TEST(stream.answer->body == body);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
