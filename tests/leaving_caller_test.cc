#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;
constexpr std::size_t kPieceBytes = 8 * 1024;

const auto kStreamHead = std::string(
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: s\r\nContent-Type: text/event-stream\r\n");
const auto kChunkedHead = kStreamHead + "Transfer-Encoding: chunked\r\n\r\n";

auto IsServed(gateway_harness& site) -> bool {
  const auto answer = site.Send(MakeRequest("plain", "other"));
  site.RunUntil([&] { return answer->is_complete || answer->is_closed; });
  return answer->status == 200;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_callers)

// Guards against a crash of the gateway: the bytes that its caller no longer
// takes are also those that make the stream unusable.
BOOST_AUTO_TEST_CASE(a_caller_may_leave_while_an_event_grows_too_long) {
  auto site = gateway_harness(2);
  const auto start = std::string(kMaxEventBytes - kPieceBytes / 2, 'x');
  for (const auto& server : site.servers) {
    server->AddScript({{kStreamHead + "\r\n" + start}, ending::hang});
  }
  const auto answer = site.Send(MakeRequest("stream", "id-1"));
  site.RunUntil([&] { return answer->body.size() == start.size(); });
  auto& server = *site.servers[site.servers[0]->get_received().empty() ? 1 : 0];
  // In the order in which the gateway then sees both.
  server.SendMore(std::string(kPieceBytes, 'x'));
  site.Reset(answer);
  site.RunFor(milliseconds(100));
  BOOST_TEST(server.get_received().at(0)->is_disconnected);
  BOOST_TEST(IsServed(site));
}

// The same with an event that has been delivered before.
BOOST_AUTO_TEST_CASE(a_caller_may_leave_while_a_run_repeats_an_event) {
  auto site = gateway_harness(2);
  site.AddCommonScript(
      {{kChunkedHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  site.AddCommonScript(
      {{kChunkedHead + RenderChunk("id: 2\ndata: b\n\n")}, ending::hang});
  const auto answer = site.Send(MakeRequest("resume", "id-1"));
  site.RunUntil(
      [&] { return answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; });
  for (const auto& server : site.servers) {
    if (server->get_received().at(0)->head.Find("Last-Event-Id") != nullptr) {
      server->SendMore(RenderChunk("id: 3\ndata: c\n\nid: 2\ndata: b\n\n"));
    }
  }
  site.Reset(answer);
  site.RunFor(milliseconds(100));
  BOOST_TEST(IsServed(site));
}

// Both write whole answers, after which the session is over.
BOOST_AUTO_TEST_CASE(a_caller_may_leave_while_its_answer_is_written) {
  for (const auto* route : {"plain", "stream"}) {
    auto site = gateway_harness(1);
    site.AddCommonScript({{kChunkedHead}, ending::hang});
    const auto answer = site.Send(MakeRequest(route, "id-1"));
    site.RunUntil([&] { return !site.servers[0]->get_received().empty(); });
    site.RunFor(milliseconds(20));
    site.servers[0]->SendMore(RenderChunk("id: 1\ndata: a\n\n") +
                              RenderChunk({}));
    site.Reset(answer);
    site.RunFor(milliseconds(50));
    BOOST_TEST(IsServed(site));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
