#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

// Half of what an engine with 12 slots takes on average to free one, while
// nothing is known of its requests.
constexpr auto kShortestFullTime = milliseconds(1000) / 12 / 2;

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: seal-$ID\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

auto CountReceived(const gateway_harness& harness) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& server : harness.servers) {
    count += server->get_received().size();
  }
  return count;
}

// Sends one request, whose first attempt on any server is answered with
// `script`. Returns the complete or aborted response.
auto SendScripted(gateway_harness& harness,
                  const std::string& route,
                  server_script script,
                  const std::string& fields = {})
    -> std::shared_ptr<caller_response> {
  for (const auto& server : harness.servers) {
    server->AddScript(script);
  }
  const auto response = harness.Send(MakeRequest(route, "id-1", fields));
  harness.RunUntil(
      [&] { return response->is_complete || response->is_closed; });
  return response;
}

// A caller that reads only when it is told to.
class slow_reader {
  int fd_;
  std::size_t received_ = 0;

 public:
  explicit slow_reader(const host_port& address)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    constexpr auto kReceiveBuffer = 4096;  // bytes
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
                 sizeof(kReceiveBuffer));
    const auto colon = address.get().rfind(':');
    auto to = sockaddr_in();
    to.sin_family = AF_INET;
    to.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(address.get().substr(colon + 1))));
    ::inet_pton(AF_INET, address.get().substr(0, colon).c_str(), &to.sin_addr);
    BOOST_REQUIRE(
        ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
  }
  ~slow_reader() { ::close(fd_); }
  slow_reader(const slow_reader&) = delete;
  auto operator=(const slow_reader&) -> slow_reader& = delete;

  auto Send(const std::string& bytes) -> void {
    BOOST_REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  auto ReadFaster() -> void {
    constexpr auto kLargeReceiveBuffer = 4 * 1024 * 1024;  // bytes
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kLargeReceiveBuffer,
                 sizeof(kLargeReceiveBuffer));
  }
  // Reads a little of what has arrived.
  auto ReadSlowly() -> void {
    auto buffer = std::array<char, 2048>();
    const auto count = ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    received_ += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  // Reads what has arrived. Returns the number of bytes read so far.
  auto Read() -> std::size_t {
    auto buffer = std::string(std::size_t{64} * 1024, 0);
    for (;;) {
      const auto count =
          ::recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count <= 0) {
        return received_;
      }
      received_ += static_cast<std::size_t>(count);
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_CASE(a_complete_response_is_forwarded_unchanged) {
  auto harness = gateway_harness(1);
  const auto response = harness.Send(
      MakeRequest("once", "id-1", "Ebonythread-Hold: 5\r\n", "a body"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "whole");
  BOOST_TEST(*response->head.Find("Ebonythread-Response-Seal") == "seal-id-1");
  const auto& request = *harness.servers[0]->get_received().at(0);
  BOOST_TEST(request.head.target == "/once/x");
  BOOST_TEST(request.body == "a body");
  BOOST_TEST(request.head.Find("Ebonythread-Hold") == nullptr);
  BOOST_TEST(*request.head.Find("Ebonythread-Expect-Instance") == "i-0");
}

BOOST_AUTO_TEST_CASE(an_unknown_route_is_404) {
  auto harness = gateway_harness(1);
  const auto response = harness.Send(MakeRequest("nowhere", "id-1"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 404);
}

// Guards against rejecting callers that reconnect to a gateway right after its
// restart, before it has synced.
BOOST_AUTO_TEST_CASE(a_request_before_the_first_configuration_is_held) {
  auto harness = gateway_harness(1);
  harness.Restart();
  const auto response = harness.Send(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 200);
}

BOOST_AUTO_TEST_CASE(without_a_configuration_requests_get_503_and_not_404) {
  auto harness = gateway_harness(1);
  harness.SetCoordinatorSilent(true);
  harness.Restart();
  const auto response = harness.Send(
      MakeRequest("plain", "id-1", "Ebonythread-Deadline-Ms: 400\r\n"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 503);
  BOOST_TEST(response->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_late_response_to_another_request_is_skipped) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: other\r\n"
      "Ebonythread-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong" +
      MakeResponse(200, "right")};
  const auto response = SendScripted(harness, "plain", script);
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "right");
}

BOOST_AUTO_TEST_CASE(surplus_bytes_never_reach_another_request) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {MakeResponse(200, "first") + "HTTP/1.1 200 OK\r\n"};
  BOOST_TEST(SendScripted(harness, "plain", script)->body == "first");
  const auto second = harness.Send(MakeRequest("plain", "id-2"));
  harness.RunUntil([&] { return second->is_complete; });
  BOOST_TEST(second->body == "whole");
  BOOST_TEST(harness.servers[0]->get_connections() == 2);
}

BOOST_AUTO_TEST_CASE(idle_connections_are_reused) {
  auto harness = gateway_harness(1);
  for (const auto* id : {"a", "b", "c"}) {
    const auto response = harness.Send(MakeRequest("plain", id));
    harness.RunUntil([&] { return response->is_complete; });
  }
  BOOST_TEST(harness.servers[0]->get_connections() == 1);
}

// For each kind of invalid or truncated response, a request that must not run
// twice is sent only once, and the caller gets neither a success nor a claim
// that it has not run.
BOOST_AUTO_TEST_CASE(an_invalid_response_is_not_retried_and_gives_502) {
  const auto sealed = std::string(
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
      "Ebonythread-Response-Seal: s\r\n");
  const auto invalid_responses = std::vector<server_script>{
      {{}, ending::reset},
      {{}, ending::close},
      {{"HTTP/1.1 200 OK\r\nConte"}, ending::close},
      {{sealed + "Content-Length: 50\r\n\r\nhalf"}, ending::close},
      {{sealed + "Content-Length: 50\r\n\r\nhalf"}, ending::reset},
      {{sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
       ending::close},
      {{sealed + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n"},
       ending::close},
      {{sealed + "\r\nno length"}, ending::reset},
      {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}, ending::keep},
      {{sealed + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"},
       ending::keep},
      {{"\x16\x03\x01 this is no HTTP\r\n\r\n"}, ending::keep},
      {{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"}, ending::keep},
  };
  for (const auto& script : invalid_responses) {
    auto harness = gateway_harness(2);
    const auto response = SendScripted(harness, "once", script);
    BOOST_TEST_CONTEXT("script "
                       << (script.writes.empty() ? std::string("without bytes")
                                                 : script.writes.front())) {
      BOOST_TEST(response->status == 502);
      BOOST_TEST(response->head.Find("Ebonythread-Response-Seal") == nullptr);
      BOOST_TEST(CountReceived(harness) == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_retried_on_another_server) {
  for (const auto& script :
       {server_script{{}, ending::reset},
        server_script{{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
                      ending::keep},
        server_script{{MakeResponse(500, "broken")}, ending::keep},
        server_script{{}, ending::hang}}) {
    auto harness = gateway_harness(2);
    harness.AddCommonScript(script);
    const auto response = harness.Send(MakeRequest("plain", "id-1"));
    harness.RunUntil([&] { return response->is_complete; });
    BOOST_TEST(response->status == 200);
    BOOST_TEST(response->body == "whole");
    BOOST_TEST(harness.servers[0]->get_received().size() == 1U);
    BOOST_TEST(harness.servers[1]->get_received().size() == 1U);
  }
}

// A server that cannot be connected to has received nothing, so even a request
// with a single attempt may be sent to another one.
BOOST_AUTO_TEST_CASE(a_failed_connect_is_not_counted_as_an_attempt) {
  auto harness = gateway_harness(3);
  for (const auto server : {0U, 1U, 2U}) {
    harness.SetEngine(server, {"m"}, 4);
  }
  harness.servers[0]->Stop();
  harness.servers[1]->Stop();
  for (const auto* id : {"a", "b", "c", "d"}) {
    const auto response = harness.Send(
        MakeRequest("model", id, "Ebonythread-Model: m\r\n", "prompt"));
    harness.RunUntil([&] { return response->is_complete; });
    BOOST_TEST(response->status == 200);
  }
  BOOST_TEST(harness.servers[2]->get_received().size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_response_without_length_ends_at_an_orderly_close) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
      "Ebonythread-Response-Seal: s\r\n\r\nall of it"};
  script.end = ending::close;
  const auto response = SendScripted(harness, "once", script);
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body == "all of it");
}

BOOST_AUTO_TEST_CASE(a_request_that_the_server_did_not_run_gets_503) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {
      "HTTP/1.1 503 X\r\nEbonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
  const auto response = SendScripted(harness, "once", script);
  BOOST_TEST(response->status == 503);
  BOOST_TEST(response->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_server_error_keeps_its_status_and_signature) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {MakeResponse(500, "broken")};
  const auto response = SendScripted(harness, "once", script);
  BOOST_TEST(response->status == 500);
  BOOST_TEST(response->body == "broken");
  BOOST_TEST(*response->head.Find("Ebonythread-Response-Seal") == "seal-id-1");
}

BOOST_AUTO_TEST_CASE(a_server_error_is_delivered_when_the_retry_fails_too) {
  auto harness = gateway_harness(2);
  auto script = server_script();
  script.writes = {MakeResponse(500, "broken")};
  const auto response = SendScripted(harness, "plain", script);
  BOOST_TEST(response->status == 500);
  BOOST_TEST(CountReceived(harness) == 2U);
}

BOOST_AUTO_TEST_CASE(events_are_forwarded_and_the_stream_completes) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n"),
                   RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})};
  const auto response = SendScripted(harness, "stream", script);
  BOOST_TEST(response->is_complete);
  BOOST_TEST(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(the_first_event_is_forwarded_before_the_second) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::hang;
  harness.servers[0]->AddScript(script);
  const auto response = harness.Send(MakeRequest("stream", "id-1"));
  harness.RunUntil([&] { return !response->body.empty(); });
  BOOST_TEST(!response->is_complete);
}

BOOST_AUTO_TEST_CASE(a_truncated_stream_does_not_look_complete) {
  auto harness = gateway_harness(2);
  auto script = server_script();
  script.writes = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::reset;
  const auto response = SendScripted(harness, "stream", script);
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->is_closed);
  BOOST_TEST(!response->is_complete);
  BOOST_TEST(CountReceived(harness) == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_has_no_gap_and_no_duplicate) {
  for (const auto end : {ending::reset, ending::close, ending::hang}) {
    auto harness = gateway_harness(2);
    harness.AddCommonScript(
        {{kStreamHead + RenderChunk("id: 1\ndata: a\n\nid: 2\nda")}, end});
    harness.AddCommonScript(
        {{kStreamHead + RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})},
         ending::keep});
    const auto response = harness.Send(MakeRequest("resume", "id-1"));
    harness.RunUntil([&] { return response->is_complete; });
    BOOST_TEST(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    auto resumed = 0;
    for (const auto& server : harness.servers) {
      const auto& request = *server->get_received().at(0);
      const auto* after = request.head.Find("Last-Event-Id");
      resumed += after != nullptr && *after == "1" ? 1 : 0;
    }
    BOOST_TEST(resumed == 1);
  }
}

// The route allows two attempts.
BOOST_AUTO_TEST_CASE(a_stream_is_aborted_after_its_last_attempt) {
  auto harness = gateway_harness(3);
  for (auto i = 0; i < 3; ++i) {
    harness.AddCommonScript(
        {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  }
  const auto response = harness.Send(MakeRequest("resume", "id-1"));
  harness.RunUntil([&] { return response->is_closed; });
  BOOST_TEST(CountReceived(harness) == 2U);
}

// Load that it answers: servers crash while models move, so that a stream is
// resumed at a server that has just dropped its model.
BOOST_AUTO_TEST_CASE(a_server_that_has_not_run_a_request_uses_up_no_attempt) {
  auto harness = gateway_harness(3);
  harness.AddCommonScript(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  harness.AddCommonScript(
      {{"HTTP/1.1 421 Misdirected Request\r\nEbonythread-Request-Id: $ID\r\n"
        "Ebonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
       ending::keep});
  harness.AddCommonScript(
      {{kStreamHead + RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})},
       ending::keep});
  const auto response = harness.Send(MakeRequest("resume", "id-1"));
  harness.RunUntil(
      [&] { return response->is_complete || response->is_closed; });
  BOOST_TEST(response->is_complete);
  BOOST_TEST(response->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(CountReceived(harness) == 3U);
}

// A request that no server runs is refused after a bounded number of tries.
BOOST_AUTO_TEST_CASE(servers_that_do_not_run_a_request_are_tried_a_few_times) {
  auto harness = gateway_harness(8);
  const auto script = server_script{
      {"HTTP/1.1 503 Service Unavailable\r\nEbonythread-Request-Id: $ID\r\n"
       "Ebonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
      ending::keep};
  const auto response = SendScripted(harness, "plain", script);
  BOOST_TEST(response->status == 503);
  BOOST_TEST(CountReceived(harness) <= 4U);
}

BOOST_AUTO_TEST_CASE(a_stalled_stream_is_kept_without_another_server) {
  auto harness = gateway_harness(1);
  harness.AddCommonScript(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::hang});
  const auto response = harness.Send(MakeRequest("resume", "id-1"));
  harness.RunUntil([&] { return !response->body.empty(); });
  harness.RunFor(milliseconds(1200));  // longer than the stall timeout
  BOOST_TEST(!response->is_closed);
  BOOST_TEST(!harness.servers[0]->get_received()[0]->is_disconnected);
}

// The server goes on sending bytes of an event that it never ends.
BOOST_AUTO_TEST_CASE(a_stream_stalled_inside_an_event_is_resumed) {
  auto harness = gateway_harness(2);
  auto stalled = server_script();
  stalled.writes = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n") +
                    RenderChunk("id: 2\ndata: ")};
  stalled.filler = RenderChunk("b");
  stalled.filler_pause = milliseconds(60);
  harness.AddCommonScript(stalled);
  harness.AddCommonScript(
      {{kStreamHead + RenderChunk("id: 2\ndata: c\n\n") + RenderChunk({})},
       ending::keep});
  const auto response = harness.Send(MakeRequest("resume", "id-1"));
  harness.RunUntil(
      [&] { return response->is_complete || response->is_closed; });
  BOOST_TEST(response->is_complete);
  BOOST_TEST(response->body == "id: 1\ndata: a\n\nid: 2\ndata: c\n\n");
}

// Each pause is below the stall timeout, and the whole takes much longer.
BOOST_AUTO_TEST_CASE(a_slow_stream_whose_events_go_on_is_not_cut) {
  auto harness = gateway_harness(2);
  auto slow = server_script();
  slow.writes = {kStreamHead};
  slow.filler = RenderChunk("data: x\n\n");
  slow.filler_pause = milliseconds(500);
  harness.AddCommonScript(slow);
  const auto response = harness.Send(MakeRequest("stream", "id-1"));
  harness.RunFor(milliseconds(1700));
  BOOST_TEST(!response->is_closed);
  BOOST_TEST(response->body.size() >= 3 * std::string("data: x\n\n").size());
  BOOST_TEST(CountReceived(harness) == 1U);
}

// A started stream must not stay open forever if no server can resume it.
BOOST_AUTO_TEST_CASE(a_truncated_stream_is_aborted_without_another_server) {
  auto harness = gateway_harness(1);
  harness.AddCommonScript(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  const auto response = harness.Send(MakeRequest("resume", "id-1"));
  harness.RunUntil([&] { return response->is_closed; });
  BOOST_TEST(!response->is_complete);
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_cancels_the_request) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.writes = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::hang;
  harness.servers[0]->AddScript(script);
  const auto response = harness.Send(MakeRequest("stream", "id-1"));
  harness.RunUntil([&] { return !response->body.empty(); });
  harness.Disconnect(response);
  harness.RunUntil(
      [&] { return harness.servers[0]->get_received()[0]->is_disconnected; });
}

BOOST_AUTO_TEST_CASE(the_deadline_ends_an_unanswered_request) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.end = ending::hang;
  const auto response =
      SendScripted(harness, "once", script, "Ebonythread-Deadline-Ms: 300\r\n");
  BOOST_TEST(response->status == 504);
  BOOST_TEST(harness.servers[0]->get_received()[0]->is_disconnected);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_new_requests) {
  auto harness = gateway_harness(2);
  harness.SetLeaving(0);
  for (auto i = 0; i < 6; ++i) {
    const auto response =
        harness.Send(MakeRequest("plain", "id-" + std::to_string(i)));
    harness.RunUntil([&] { return response->is_complete; });
  }
  BOOST_TEST(harness.servers[0]->get_received().empty());
  BOOST_TEST(harness.servers[1]->get_received().size() == 6U);
}

BOOST_AUTO_TEST_CASE(without_a_server_requests_are_rejected_at_once) {
  auto harness = gateway_harness(1);
  harness.SetLeaving(0);
  const auto response = harness.Send(MakeRequest("once", "id-1"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 503);
  BOOST_TEST(response->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_registry_takes_nothing_away) {
  auto harness = gateway_harness(1);
  harness.SetLeavesRegistryToRelays(true);
  harness.RunFor(milliseconds(200));
  const auto answer = harness.Send(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return answer->is_complete; });
  BOOST_TEST(answer->status == 200);
}

BOOST_AUTO_TEST_CASE(a_gateway_without_a_registry_holds_requests) {
  auto harness = gateway_harness(1);
  harness.SetLeavesRegistryToRelays(true);
  harness.Restart();
  const auto answer = harness.Send(MakeRequest("plain", "id-1"));
  harness.RunFor(milliseconds(200));
  BOOST_TEST(!answer->is_complete);
  harness.SetLeavesRegistryToRelays(false);
  harness.RunUntil([&] { return answer->is_complete; });
  BOOST_TEST(answer->status == 200);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_is_ignored) {
  auto harness = gateway_harness(1);
  harness.SetConfig(R"({"version":5,"routes":[],"services":[{"name":"s"}]})",
                    5);
  const auto response = harness.Send(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 404);
  BOOST_TEST(harness.syncs.back().have_config() == 5U);
  harness.SetConfig(R"({"version":4,"routes":[],"services":[{"name":"t"}]})",
                    4);
  BOOST_TEST(harness.syncs.back().have_config() == 5U);
}

BOOST_AUTO_TEST_CASE(a_draining_gateway_serves_and_reports_not_ready) {
  auto harness = gateway_harness(1);
  harness.get_gateway().Drain();
  const auto response = harness.Send(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 200);
  BOOST_TEST(*response->head.Find("Connection") == "close");
  harness.RunUntil([&] { return !harness.syncs.back().ready(); });
}

// The caller has not read all of its answer when the gateway has nothing else
// left to do. Takes as long as a gateway serves on after SIGTERM.
BOOST_AUTO_TEST_CASE(a_stop_cuts_off_no_answer_that_is_being_read) {
  constexpr auto kBytes = std::size_t{6} * 1024 * 1024;
  auto harness = gateway_harness(1);
  harness.AddCommonScript(
      {{MakeResponse(200, std::string(kBytes, 'x'))}, ending::keep});
  auto reader = slow_reader(harness.get_caller_address());
  reader.Send(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return CountReceived(harness) == 1; });
  auto& gateway = harness.get_gateway();
  gateway.Drain();
  for (auto i = 0; i < 69; ++i) {
    harness.RunFor(milliseconds(100));
    reader.ReadSlowly();
  }
  BOOST_TEST(!gateway.is_drained());
  reader.ReadFaster();
  harness.RunUntil([&] { return reader.Read() >= kBytes; });
  harness.RunUntil([&] { return gateway.is_drained(); });
}

// Several long prompts for one engine at once are sent one after another, so
// that their prefill does not delay running streams, and none is rejected: each
// is sent once it has waited long enough.
BOOST_AUTO_TEST_CASE(long_prompts_are_sent_in_turn_and_none_is_rejected) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 8);
  for (auto i = 0; i < 3; ++i) {
    harness.AddCommonScript({{}, ending::hang});
  }
  const auto fields = std::string(
      "Ebonythread-Model: m\r\nEbonythread-Token-Counts: 3000,10\r\n");
  for (const auto* id : {"a", "b", "c"}) {
    harness.Send(MakeRequest("model", id, fields, "prompt"));
  }
  harness.RunUntil([&] { return CountReceived(harness) >= 1; });
  harness.RunFor(milliseconds(30));
  BOOST_TEST(CountReceived(harness) == 1U);
  harness.RunUntil([&] { return CountReceived(harness) == 3; });
}

// Without a free slot a request is queued beyond its objective, then rejected
// as not run with a Retry-After.
BOOST_AUTO_TEST_CASE(a_request_to_a_full_engine_is_rejected_after_queueing) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 1);
  harness.AddCommonScript({{}, ending::hang});
  const auto fields = std::string("Ebonythread-Model: m\r\n");
  harness.Send(MakeRequest("model", "a", fields, "prompt"));
  harness.RunUntil([&] { return CountReceived(harness) == 1; });
  const auto response =
      harness.Send(MakeRequest("model", "b", fields, "prompt"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 503);
  BOOST_TEST(response->head.Find("Retry-After") != nullptr);
  BOOST_TEST(CountReceived(harness) == 1U);
}

// Load that it answers: many gateways send to the only server of a model at
// once, and it has no room for all of them.
BOOST_AUTO_TEST_CASE(a_request_that_a_full_engine_turns_away_waits_for_room) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 12);
  harness.AddCommonScript(
      {{"HTTP/1.1 503 Service Unavailable\r\nEbonythread-Request-Id: $ID\r\n"
        "Ebonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
       ending::keep});
  const auto fields = std::string("Ebonythread-Model: m\r\n");
  const auto first = harness.Send(MakeRequest("model", "a", fields, "prompt"));
  harness.RunUntil([&] { return CountReceived(harness) == 1; });
  harness.RunFor(milliseconds(10));
  const auto second = harness.Send(MakeRequest("model", "b", fields, "prompt"));
  harness.RunUntil([&] { return first->is_complete && second->is_complete; });
  BOOST_TEST(first->status == 200);
  BOOST_TEST(second->status == 200);
  // Others do not go there either meanwhile.
  const auto& received = harness.servers[0]->get_received();
  BOOST_REQUIRE(received.size() == 3U);
  const auto refused_at = received[0]->received_at;
  BOOST_TEST((received[1]->received_at - refused_at >= kShortestFullTime));
  BOOST_TEST((received[2]->received_at - refused_at >= kShortestFullTime));
}

BOOST_AUTO_TEST_CASE(a_request_is_queued_for_a_model_that_loads_soon) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"n"}, 4);
  const auto response = harness.Send(
      MakeRequest("model", "a", "Ebonythread-Model: m\r\n", "prompt"));
  harness.RunUntil([&] {
    return !harness.syncs.back().demands().empty() &&
           harness.syncs.back().demands(0).refused() == 1;
  });
  BOOST_TEST(!response->is_complete);
  harness.SetEngine(0, {"n", "m"}, 4);
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 200);
}

BOOST_AUTO_TEST_CASE(a_request_for_a_model_that_loads_slowly_is_rejected) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 4);
  const auto response = harness.Send(
      MakeRequest("model", "a", "Ebonythread-Model: n\r\n", "prompt"));
  harness.RunUntil([&] { return response->is_complete; });
  BOOST_TEST(response->status == 503);
  BOOST_TEST(std::stod(*response->head.Find("Retry-After")) > 1.0);
}

// Covers conflicting body lengths (request smuggling) and a caller that
// disconnects before it has sent the whole body.
BOOST_AUTO_TEST_CASE(an_incomplete_request_is_never_forwarded) {
  auto harness = gateway_harness(1);
  const auto smuggled = harness.Send(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/y "
      "HTTP/1.1\r\n\r\n");
  harness.RunUntil(
      [&] { return smuggled->is_complete || smuggled->is_closed; });
  BOOST_TEST(smuggled->status == 400);
  const auto incomplete = harness.Send(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nhalf");
  harness.RunFor(milliseconds(100));
  harness.Disconnect(incomplete);
  harness.RunFor(milliseconds(100));
  BOOST_TEST(CountReceived(harness) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
